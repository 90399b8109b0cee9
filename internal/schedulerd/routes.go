package schedulerd

import (
	"glenport/internal/bgp/announce"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// announceRunning counts a running container for the address of its service, or its machine's draining.
func (s *Server) announceRunning(a *attempt) {
	request := &a.container.request
	if s.announces(request.Service) {
		s.speaker.Handle(
			announce.ContainerRunning{
				Service:   request.Service,
				Container: string(request.ID),
				Draining:  a.machine.draining,
			},
		)
	}
}

func (s *Server) announceEnded(a *attempt) {
	request := &a.container.request
	if s.announces(request.Service) {
		s.speaker.Handle(announce.ContainerEnded{Service: request.Service, Container: string(request.ID)})
	}
}

func (s *Server) announces(service string) bool {
	return s.speaker != nil && s.speaker.HasService(service)
}

// routesReply returns the state of the BGP peers and the announcements of one service, or of all services if it is
// empty.
func (s *Server) routesReply(service string) *protocol.RoutesReply {
	reply := &protocol.RoutesReply{}
	if s.speaker == nil {
		return reply
	}
	for _, peer := range s.speaker.Peers() {
		reply.Peers = append(reply.Peers, protocol.BGPPeerStatus{
			Address:       peer.Addr,
			ASN:           peer.AS,
			State:         peer.State,
			Routes:        peer.Routes,
			PendingRoutes: peer.PendingRoutes,
			UpdatesSent:   peer.Updates,
			BytesSent:     peer.Bytes,
			SessionsEnded: peer.Flaps,
			LastError:     peer.LastError,
		})
	}
	for _, name := range s.speaker.Services() {
		if service == "" || service == name {
			reply.Services = append(reply.Services, s.serviceRoute(name))
		}
	}
	return reply
}

func (s *Server) serviceRoute(service string) protocol.ServiceRoute {
	status, _ := s.speaker.Status(service) // it is one of speaker.Services
	route := protocol.ServiceRoute{
		Service:         service,
		Prefix:          s.config.BGP.Services[service].Prefix.String(),
		Announced:       status.Announced,
		LocalPreference: status.Path.Preference,
		Running:         status.Running,
		Draining:        status.Draining,
		MinRunning:      status.MinRunning,
		Penalty:         status.Penalty,
		Suppressed:      status.Suppressed,
	}
	if status.NextUpdate > 0 {
		route.NextChangeIn = max(0, protocol.Duration(status.NextUpdate-scheduler.Time(s.loop.Now())))
	}
	return route
}
