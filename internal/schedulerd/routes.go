package schedulerd

import (
	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/internal/protocol"
)

// shutdownReason is sent to the BGP peers when the server stops: it is part of the wire format.
const shutdownReason = "this placer is stopped"

// routeAnnouncer reports the running containers to the BGP speaker. Without a speaker it does nothing.
type routeAnnouncer struct {
	*process
	speaker *speaker.Speaker // nil if no address is announced
}

func newRouteAnnouncer(p *process) *routeAnnouncer {
	r := &routeAnnouncer{process: p}
	if p.config.BGP != nil {
		r.speaker = speaker.New(p.loop, *p.config.BGP, p.log)
	}
	return r
}

// start starts the speaker. If that fails, the server continues without one.
func (r *routeAnnouncer) start() {
	if r.speaker == nil {
		return
	}
	if err := r.speaker.Start(); err != nil {
		r.log.Error("BGP speaker not started, service addresses are not announced", "error", err)
		r.speaker = nil
	}
}

func (r *routeAnnouncer) stop() {
	if r.speaker != nil {
		r.speaker.Stop(shutdownReason)
	}
}

// markRecoveryComplete tells the speaker that all containers of earlier incarnations have been reported.
func (r *routeAnnouncer) markRecoveryComplete() {
	if r.speaker != nil {
		r.speaker.MarkRoutesComplete()
	}
}

// updateContainer reports a running container, and whether its machine drains.
func (r *routeAnnouncer) updateContainer(a *attempt) {
	request := a.request()
	if r.announces(request.Service) {
		r.speaker.Handle(announce.ContainerRunning{
			Service:   request.Service,
			Container: string(request.ID),
			Draining:  a.machine.isDraining(),
		})
	}
}

func (r *routeAnnouncer) removeContainer(a *attempt) {
	request := a.request()
	if r.announces(request.Service) {
		r.speaker.Handle(announce.ContainerEnded{Service: request.Service, Container: string(request.ID)})
	}
}

func (r *routeAnnouncer) announces(service string) bool {
	return r.speaker != nil && r.speaker.HasService(service)
}

// routesReply returns the state of the BGP peers and the announcement of a service. An empty name selects all services.
func (r *routeAnnouncer) routesReply(service string) *protocol.RoutesReply {
	reply := &protocol.RoutesReply{}
	if r.speaker == nil {
		return reply
	}
	for _, peer := range r.speaker.Peers() {
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
	for _, name := range r.speaker.Services() {
		if service == "" || service == name {
			reply.Services = append(reply.Services, r.serviceRoute(name))
		}
	}
	return reply
}

func (r *routeAnnouncer) serviceRoute(service string) protocol.ServiceRoute {
	status, _ := r.speaker.Status(service) // the name comes from speaker.Services
	route := protocol.ServiceRoute{
		Service:         service,
		Prefix:          r.config.BGP.Services[service].Prefix.String(),
		Announced:       status.Announced,
		LocalPreference: status.Path.Preference,
		Running:         status.Running,
		Draining:        status.Draining,
		MinRunning:      status.MinRunning,
		Penalty:         status.Penalty,
		Suppressed:      status.Suppressed,
	}
	if status.NextUpdate > 0 {
		route.NextChangeIn = max(0, protocol.Duration(status.NextUpdate-r.now()))
	}
	return route
}
