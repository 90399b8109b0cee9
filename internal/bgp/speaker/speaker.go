// Package speaker hosts BGP sessions on the event loop and carries out what announce and session decide. All of it
// runs on the loop's goroutine.
package speaker

import (
	"errors"
	"log/slog"
	"net/netip"
	"sort"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/session"
	"glenport/internal/bgp/wire"
	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/scheduler"

	"github.com/gaissmai/bart"
)

const (
	output     = 1 << 20  // bytes that may wait for one peer
	enough     = 64 << 10 // beyond which changes gather and are joined in place of being written
	dialWithin = 5 * eventloop.Second
	calledFrom = 1_000_000 // numbers of connections that peers made
	drainAgain = 20 * eventloop.Millisecond
	atOnce     = 4000 // changes told to one peer in a turn: the loop has other work
)

// RouteDecider is announce.Announcer, or what the laboratory puts around it.
type RouteDecider interface {
	Handle(now scheduler.Time, events []announce.Event) []announce.Action
	Announced() []announce.Announce
	Status(service string) (announce.Status, bool)
}

// Config and Peer are what the placer's file says of announcing.
type (
	Config     = config.BGP
	PeerConfig = config.BGPPeer
)

// Speaker is a running one.
type Speaker struct {
	place    Config
	log      *slog.Logger
	loop     *eventloop.Loop
	listener *eventloop.Listener
	announce RouteDecider
	peers    []*peer
	lastCall session.ConnID
	whole    bool // all that runs is known: ends of routes may be marked
}

// peer is the host's side of one session.
type peer struct {
	s       *Speaker
	terms   PeerConfig
	session *session.Session
	allow   bart.Lite
	conns   map[session.ConnID]*peerConn
	timers  map[session.Timer]*eventloop.Timer
	up      *session.SessionUp
	conn    *peerConn
	due     map[netip.Prefix]*announce.Path // changes to be told; nil: a withdrawal. Emptied as they are written
	sent    map[netip.Prefix]bool           // what the peer was told
	ending  bool                            // the ends of routes are to be marked
	filling *eventloop.Timer

	Updates, Bytes, Flaps int
	Why                   string
}

// peerConn is one connection of a peer.
type peerConn struct {
	p      *peer
	number session.ConnID
	called bool
	conn   *eventloop.Conn
	part   []byte
	gone   bool
}

// New makes a speaker on a loop; Start begins its sessions.
func New(l *eventloop.Loop, place Config, log *slog.Logger) *Speaker {
	s := &Speaker{place: place, log: log, loop: l, announce: announce.New(), lastCall: calledFrom}
	for _, t := range place.Peers {
		p := &peer{s: s, terms: t, conns: map[session.ConnID]*peerConn{}, timers: map[session.Timer]*eventloop.Timer{},
			due: map[netip.Prefix]*announce.Path{}, sent: map[netip.Prefix]bool{}}
		for _, a := range t.Allow {
			p.allow.Insert(a)
		}
		p.session = session.New(session.PeerConfig{OwnAS: place.ASN, PeerAS: t.ASN, ID: place.RouterID, HoldTime: t.HoldTime, Families: t.Families,
			Passive: t.Passive, RestartTime: t.RestartTime})
		s.peers = append(s.peers, p)
	}
	return s
}

// WrapDecider puts something around the decisions, before Start.
func (s *Speaker) WrapDecider(f func(RouteDecider) RouteDecider) { s.announce = f(s.announce) }

// Start opens the listener and all sessions.
func (s *Speaker) Start() error {
	if s.place.ListenAddr != "" {
		var err error
		if s.listener, err = s.loop.Listen(s.place.ListenAddr, func() (eventloop.Handler, int) { return &peerConn{called: true, p: &peer{s: s}}, output },
			s.loop.AcceptStateLogger(s.log, "BGP peers")); err != nil {
			return err
		}
		for _, p := range s.peers {
			if err := p.sign(s.listener.FD()); err != nil {
				return err
			}
		}
	}
	var events []announce.Event
	for _, name := range s.Services() {
		events = append(events, announce.ServiceSet{Name: name, Service: s.place.Services[name]})
	}
	s.Handle(events...)
	for _, p := range s.peers {
		p.handle(session.Start{})
	}
	return nil
}

// Addr is where peers may call.
func (s *Speaker) Addr() string { return s.listener.Addr().String() }

// Stop ends all sessions with a word.
func (s *Speaker) Stop(why string) {
	for _, p := range s.peers {
		p.handle(session.Stop{Reason: why})
	}
}

// Services are the names of those that have an address, in order.
func (s *Speaker) Services() []string {
	names := make([]string, 0, len(s.place.Services))
	for name := range s.place.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasService tells whether a service has an address.
func (s *Speaker) HasService(service string) bool {
	_, ok := s.place.Services[service]
	return ok
}

// Handle takes what happened to containers.
func (s *Speaker) Handle(events ...announce.Event) {
	changed := false
	for _, a := range s.announce.Handle(scheduler.Time(s.loop.Now()), events) {
		switch a := a.(type) {
		case announce.Announce:
			s.change(a.Prefix, &a.Path)
			changed = true
		case announce.Withdraw:
			s.change(a.Prefix, nil)
			changed = true
		case announce.SetTimer:
			s.loop.After(eventloop.Tick(a.After), func() { s.Handle(announce.TimerFired{}) })
		case announce.LogMessage:
			s.log.Info("route", "prefix", a.Prefix, "text", a.Message, "penalty", int(a.Penalty))
		}
	}
	if changed {
		for _, p := range s.peers {
			p.drain()
		}
	}
}

// MarkRoutesComplete says that all that runs is known: peers that kept routes over a restart may now drop the rest.
func (s *Speaker) MarkRoutesComplete() {
	if s.whole {
		return
	}
	s.whole = true
	for _, p := range s.peers {
		p.drain()
	}
}

func (s *Speaker) change(prefix netip.Prefix, path *announce.Path) {
	for _, p := range s.peers {
		p.change(prefix, path)
	}
}

// change notes what a peer is to be told of a prefix: a later change takes the place of an earlier one that is
// still unsent, and a withdrawal of what was never told is none.
func (p *peer) change(prefix netip.Prefix, path *announce.Path) {
	if p.up == nil || !p.takes(prefix) {
		return
	}
	if path == nil && !p.sent[prefix] {
		delete(p.due, prefix)
		return
	}
	p.due[prefix] = path
}

func (p *peer) takes(prefix netip.Prefix) bool {
	if !p.allow.LookupPrefix(prefix) {
		return false
	}
	for _, f := range p.up.Families {
		if (f == wire.IPv4) == prefix.Addr().Is4() {
			return true
		}
	}
	return false
}

// drain writes what is due, as long as the peer takes it. While it is behind, changes gather and are joined.
func (p *peer) drain() {
	if p.up == nil || p.conn == nil || p.filling != nil {
		return
	}
	if p.conn.conn.PendingOutput() > enough {
		p.filling = p.s.loop.After(drainAgain, func() {
			p.filling = nil
			p.drain()
		})
		return
	}
	type group struct {
		path     announce.Path
		prefixes []netip.Prefix
	}
	groups, gone := map[announce.Path]*group{}, []netip.Prefix(nil)
	var order []*group
	taken := 0
	for prefix, path := range p.due {
		if taken++; taken > atOnce {
			break
		}
		delete(p.due, prefix)
		if path == nil {
			gone = append(gone, prefix)
			delete(p.sent, prefix)
			continue
		}
		g := groups[*path]
		if g == nil {
			g = &group{path: *path}
			groups[*path] = g
			order = append(order, g)
		}
		g.prefixes = append(g.prefixes, prefix)
		p.sent[prefix] = true
	}
	sort.Slice(order, func(i, j int) bool { return less(order[i].path, order[j].path) })
	updates := wire.Pack(gone, nil, wire.Path{})
	for _, g := range order {
		updates = append(updates, wire.Pack(nil, g.prefixes, p.path(g.path))...)
	}
	for _, u := range updates {
		p.write(u)
	}
	if len(p.due) > 0 {
		p.filling = p.s.loop.After(0, func() {
			p.filling = nil
			p.drain()
		})
		return
	}
	if p.ending && p.s.whole {
		p.ending = false
		for _, f := range p.up.Families {
			p.write(wire.EndOfRIB(f))
		}
	}
}

func less(a, b announce.Path) bool {
	if c := a.NextHop.Compare(b.NextHop); c != 0 {
		return c < 0
	}
	if a.Preference != b.Preference {
		return a.Preference > b.Preference
	}
	return a.MED < b.MED || a.MED == b.MED && a.Communities < b.Communities
}

// path is the path as this peer is told it: outside our AS with our number on it and no local preference.
func (p *peer) path(a announce.Path) wire.Path {
	x := wire.Path{NextHop: a.NextHop}
	if p.terms.ASN == p.s.place.ASN {
		x.LocalPref, x.HasPref = a.Preference, true
	} else {
		x.AS = []uint32{p.s.place.ASN}
	}
	if a.MED > 0 {
		x.MED, x.HasMED = a.MED, true
	}
	for c := a.Communities; len(c) >= 4; c = c[4:] {
		x.Communities = append(x.Communities, uint32(c[0])<<24|uint32(c[1])<<16|uint32(c[2])<<8|uint32(c[3]))
	}
	return x
}

func (p *peer) write(m wire.Message) {
	if p.conn != nil {
		p.conn.write(m)
	}
}

func (w *peerConn) write(m wire.Message) {
	b, err := wire.Append(nil, m)
	if err != nil {
		w.p.s.log.Error("message not sent", "peer", w.p.terms.Addr, "why", err)
		return
	}
	if _, ok := m.(*wire.Update); ok {
		w.p.Updates++
		w.p.Bytes += len(b)
	}
	if w.conn != nil && w.conn.Write(b) != nil {
		w.p.s.loop.After(0, w.conn.Reset) // it takes so little that its hold time would end too
	}
}

// handle carries out what the session decides on an event.
func (p *peer) handle(e session.Event) {
	for _, a := range p.session.Handle(e) {
		switch a := a.(type) {
		case session.Dial:
			w := &peerConn{p: p, number: a.Conn}
			p.conns[a.Conn] = w
			w.conn = p.s.loop.DialWithControl(p.terms.Addr, w, output, dialWithin, p.sign)
		case session.SendMessage:
			if w := p.conns[a.Conn]; w != nil {
				w.write(a.Message)
			}
		case session.CloseConn:
			if w := p.conns[a.Conn]; w != nil {
				w.gone = true
				delete(p.conns, a.Conn)
				w.conn.Close()
			}
		case session.SetTimer:
			p.s.loop.Cancel(p.timers[a.Timer])
			p.timers[a.Timer] = p.s.loop.After(eventloop.Tick(a.After), func() { p.handle(session.TimerExpired{Timer: a.Timer}) })
		case session.ClearTimer:
			p.s.loop.Cancel(p.timers[a.Timer])
		case session.SessionUp:
			p.begin(a)
		case session.SessionDown:
			p.up, p.conn, p.Why = nil, nil, a.Reason
			p.Flaps++
			clear(p.due)
			clear(p.sent)
			p.s.loop.Cancel(p.filling)
			p.filling = nil
		case session.ResendRoutes:
			p.resend(a.Family)
		case session.LogMessage:
			p.s.log.Info("session", "peer", p.terms.Addr, "as", p.terms.ASN, "text", a.Message)
		}
	}
}

// sign sets the key up on a socket to the peer. Where the kernel refuses, no session is opened: an unsigned one is
// not what the file asks for.
func (p *peer) sign(fd int) error {
	if p.terms.MD5Key == "" {
		return nil
	}
	a, err := netip.ParseAddrPort(p.terms.Addr)
	if err == nil {
		err = eventloop.SetTCPMD5Key(fd, a.Addr(), p.terms.MD5Key)
	}
	if err != nil {
		p.s.log.Error("no session", "peer", p.terms.Addr, "why", err)
	}
	return err
}

// begin tells a peer all that stands.
func (p *peer) begin(u session.SessionUp) {
	p.up, p.ending = &u, u.SendEndOfRIB
	for _, w := range p.conns {
		if !w.gone {
			p.conn = w
		}
	}
	for _, a := range p.s.announce.Announced() {
		p.change(a.Prefix, &a.Path)
	}
	p.drain()
}

func (p *peer) resend(f wire.Family) {
	for _, a := range p.s.announce.Announced() {
		if (f == wire.IPv4) == a.Prefix.Addr().Is4() {
			p.change(a.Prefix, &a.Path)
		}
	}
	p.drain()
}

// Opened hands a connection that a peer made to the session of its address and, where several have it, the first
// that waits for one.
func (w *peerConn) Opened(c *eventloop.Conn) {
	w.conn = c
	if !w.called {
		w.p.handle(session.ConnOpened{Conn: w.number})
		return
	}
	s := w.p.s
	from := c.Peer()
	for _, p := range s.peers {
		a, err := netip.ParseAddrPort(p.terms.Addr)
		if err != nil || a.Addr() != from.Addr() || p.session.State() == session.Established && len(s.peers) > 1 {
			continue
		}
		s.lastCall++
		w.p, w.number = p, s.lastCall
		p.conns[w.number] = w
		p.handle(session.ConnOpened{Conn: w.number, Inbound: true})
		return
	}
	s.log.Warn("unknown peer turned away", "from", from)
	c.Close()
}

func (w *peerConn) Read(_ *eventloop.Conn, b []byte) {
	if w.gone {
		return
	}
	w.part = append(w.part, b...)
	for !w.gone {
		n, err := wire.MessageLength(w.part)
		if err == nil && (n == 0 || len(w.part) < n) {
			return
		}
		var m wire.Message
		if err == nil {
			m, err = wire.Decode(w.part[:n])
		}
		var f *wire.MessageError
		if errors.As(err, &f) {
			w.p.handle(session.MessageInvalid{Conn: w.number, Err: f})
			return
		}
		w.part = append(w.part[:0], w.part[n:]...)
		w.p.handle(session.MessageReceived{Conn: w.number, Message: m})
	}
}

func (w *peerConn) Closed(_ *eventloop.Conn, _ error) {
	if w.gone || w.number == 0 {
		return
	}
	w.gone = true
	delete(w.p.conns, w.number)
	w.p.handle(session.ConnClosed{Conn: w.number})
}

// PeerStatus of one peer, for an operator.
type PeerStatus struct {
	Addr                  string
	AS                    uint32
	State                 string
	Routes, PendingRoutes int
	Updates, Bytes, Flaps int
	LastError             string
}

// Peers tells how the sessions stand.
func (s *Speaker) Peers() (all []PeerStatus) {
	for _, p := range s.peers {
		all = append(all, PeerStatus{p.terms.Addr, p.terms.ASN, p.session.State().String(), len(p.sent), len(p.due), p.Updates, p.Bytes,
			p.Flaps, p.Why})
	}
	return all
}

// Status tells how a service's address stands.
func (s *Speaker) Status(service string) (announce.Status, bool) { return s.announce.Status(service) }
