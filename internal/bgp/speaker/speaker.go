// Package speaker runs BGP sessions on the event loop. It executes the actions that the packages announce and session
// return. A Speaker holds one RouteDecider and one peer for each session. All code runs on the goroutine of the loop.
package speaker

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/session"
	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

// inboundIDBase is the number from which the IDs of inbound connections count up. It is far above the IDs of dialed
// connections, which sessions count from 1.
const inboundIDBase session.ConnID = 1_000_000

// RouteDecider decides which routes are announced. It is an announce.Announcer, or wraps one in tests.
type RouteDecider interface {
	Handle(now scheduler.Time, events []announce.Event) []announce.Action
	Announced() []announce.Announce
	Status(service string) (announce.Status, bool)
}

// Config is the BGP part of the scheduler's settings.
type Config = config.BGP

// PeerConfig is the configuration of one peer.
type PeerConfig = config.BGPPeer

// Speaker runs the sessions to all peers.
type Speaker struct {
	settings       Config
	log            *slog.Logger
	loop           *eventloop.Loop
	listener       *eventloop.Listener // nil: peers cannot connect
	routes         RouteDecider
	peers          []*peer
	lastInboundID  session.ConnID
	routesComplete bool // all running containers are known, so that End-of-RIB may be sent
}

// New returns a speaker on a loop. Start starts its sessions.
func New(loop *eventloop.Loop, settings Config, log *slog.Logger) *Speaker {
	s := &Speaker{settings: settings, log: log, loop: loop, routes: announce.New(), lastInboundID: inboundIDBase}
	for _, p := range settings.Peers {
		s.peers = append(s.peers, newPeer(s, p))
	}
	return s
}

// WrapDecider replaces the route decider with the one that wrap returns for it. It has to be called before Start.
func (s *Speaker) WrapDecider(wrap func(RouteDecider) RouteDecider) { s.routes = wrap(s.routes) }

// Start opens the listener, if one is configured, and starts all sessions.
func (s *Speaker) Start() error {
	if s.settings.ListenAddr != "" {
		if err := s.listen(); err != nil {
			return err
		}
	}
	var events []announce.Event
	for _, name := range s.Services() {
		events = append(events, announce.ServiceSet{Name: name, Service: s.settings.Services[name]})
	}
	s.Handle(events...)
	for _, p := range s.peers {
		p.handle(session.Start{})
	}
	return nil
}

// listen opens the listener and sets the TCP MD5 keys of peers on it.
func (s *Speaker) listen() error {
	accept := func() (eventloop.Handler, int) { return &connection{speaker: s, inbound: true}, outputLimit }
	var err error
	s.listener, err = s.loop.Listen(s.settings.ListenAddr, accept, s.loop.AcceptStateLogger(s.log, "BGP peers"))
	if err != nil {
		return err
	}
	for _, p := range s.peers {
		if err := p.setMD5Key(s.listener.FD()); err != nil {
			return err
		}
	}
	return nil
}

// Addr returns the address of the listener, which has to be configured.
func (s *Speaker) Addr() string { return s.listener.Addr().String() }

// Stop ends all sessions. Peers receive the reason in a shutdown message.
func (s *Speaker) Stop(reason string) {
	for _, p := range s.peers {
		p.handle(session.Stop{Reason: reason})
	}
}

// Services returns the names of the services that have an address, in order.
func (s *Speaker) Services() []string { return slices.Sorted(maps.Keys(s.settings.Services)) }

// HasService reports whether a service has an address.
func (s *Speaker) HasService(service string) bool {
	_, ok := s.settings.Services[service]
	return ok
}

// Handle handles events of containers and services and sends the resulting route changes to peers.
func (s *Speaker) Handle(events ...announce.Event) {
	changed := false
	for _, a := range s.routes.Handle(scheduler.Time(s.loop.Now()), events) {
		switch a := a.(type) {
		case announce.Announce:
			s.changeRoute(a.Prefix, &a.Path)
			changed = true
		case announce.Withdraw:
			s.changeRoute(a.Prefix, nil)
			changed = true
		case announce.SetTimer:
			s.loop.After(eventloop.Tick(a.After), func() { s.Handle(announce.TimerFired{}) })
		case announce.Log:
			s.logRoute(a)
		}
	}
	if changed {
		s.sendPending()
	}
}

func (s *Speaker) logRoute(l announce.Log) {
	if l.Err != nil {
		s.log.Error(l.Message, "prefix", l.Prefix, "error", l.Err)
		return
	}
	s.log.Info(l.Message, "prefix", l.Prefix, "penalty", int(l.Penalty))
}

// MarkRoutesComplete declares that all running containers are known. Peers that kept routes during a restart then
// receive End-of-RIB and may drop the routes that were not announced again.
func (s *Speaker) MarkRoutesComplete() {
	if s.routesComplete {
		return
	}
	s.routesComplete = true
	s.sendPending()
}

// changeRoute records a new path of a prefix for all peers, or a withdrawal if path is nil.
func (s *Speaker) changeRoute(prefix netip.Prefix, path *announce.Path) {
	for _, p := range s.peers {
		p.changeRoute(prefix, path)
	}
}

func (s *Speaker) sendPending() {
	for _, p := range s.peers {
		p.sendPending()
	}
}

// inboundPeer returns the peer of an inbound connection: of the peers with this address, the first that has no
// established session. It returns nil if there is none. If only one peer is configured, it is returned even if its
// session is established; the session then rejects the connection.
func (s *Speaker) inboundPeer(remote netip.Addr) *peer {
	for _, p := range s.peers {
		address, err := netip.ParseAddrPort(p.settings.Addr)
		if err != nil || address.Addr() != remote {
			continue
		}
		if p.session.State() != session.Established || len(s.peers) == 1 {
			return p
		}
	}
	return nil
}
