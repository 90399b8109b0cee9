// Package speaker runs BGP sessions on the event loop. It carries out what packages announce and session decide: one
// Speaker holds the routes' decisions and one peer for each session. All of it runs on the loop's goroutine.
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

// firstInboundID is below the identifiers of inbound connections; a session numbers those it dials from 1 on.
const firstInboundID session.ConnID = 1_000_000

// RouteDecider decides what is announced. It is an announce.Announcer, or wraps one in tests.
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
	listener       *eventloop.Listener // nil: peers do not connect
	routes         RouteDecider
	peers          []*peer
	lastInbound    session.ConnID
	routesComplete bool // all running containers are known, so that the end of routes may be marked
}

// New returns a speaker on a loop. Start begins its sessions.
func New(loop *eventloop.Loop, settings Config, log *slog.Logger) *Speaker {
	s := &Speaker{settings: settings, log: log, loop: loop, routes: announce.New(), lastInbound: firstInboundID}
	for _, p := range settings.Peers {
		s.peers = append(s.peers, newPeer(s, p))
	}
	return s
}

// WrapDecider replaces the route decisions by what wrap returns for them. It has to be called before Start.
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

// listen opens the listener, which verifies the segments of peers that have a key.
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

// Handle takes events of containers and services and sends peers the routes that change by them.
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

// MarkRoutesComplete says that all running containers are known: peers that kept routes over a restart receive the end
// of routes and may drop those that were not announced again.
func (s *Speaker) MarkRoutesComplete() {
	if s.routesComplete {
		return
	}
	s.routesComplete = true
	s.sendPending()
}

// changeRoute has all peers receive a prefix's path, or its withdrawal if path is nil.
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

// peerOf returns the peer that an inbound connection belongs to: of those with its address, the first that has no
// established session. It returns nil if there is none; a single peer may be established, as its session then rejects
// the connection.
func (s *Speaker) peerOf(remote netip.Addr) *peer {
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
