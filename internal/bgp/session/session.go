// Package session is the state machine of one BGP peer (RFC 4271, section 8), with collision resolution (6.8),
// capabilities (RFC 5492), hold and keepalive timers, graceful restart of the side that restarts (RFC 4724) and a
// pause between tries that doubles. It is pure: Handle takes what happened on connections and timers and returns
// what is to be sent, opened, closed and told.
package session

import (
	"fmt"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// State of a session, as RFC 4271 names them.
type State uint8

const (
	Idle State = iota
	Connect
	Active
	OpenSent
	OpenConfirm
	Established
)

func (s State) String() string {
	return [...]string{"Idle", "Connect", "Active", "OpenSent", "OpenConfirm", "Established"}[s]
}

// Tuned values; the first two are those that RFC 4271 suggests.
const (
	connectRetry = 120 * scheduler.Second
	openWait     = 4 * 60 * scheduler.Second // for the peer's Open
	idleFirst    = scheduler.Second          // after a fault, doubled with each until a session has stood
	idleMost     = 60 * scheduler.Second
)

// PeerConfig is what is agreed with the peer beforehand.
type PeerConfig struct {
	OwnAS       uint32
	PeerAS      uint32
	ID          [4]byte
	HoldTime    scheduler.Time // 0: no keepalives
	Families    []wire.Family
	Passive     bool           // the peer calls
	RestartTime scheduler.Time // for how long the peer may keep our routes when we are gone; 0: not asked for
}

// ConnID is a connection, by a number of the host's choice.
type ConnID int

// Timer is one of the session's timers.
type Timer uint8

const (
	ConnectRetryTimer Timer = iota
	HoldTimer
	KeepaliveTimer
	IdleHoldTimer
	timers
)

// Event is something that happened.
type Event interface{ event() }

type (
	Start struct{}
	// Stop ends the session for good, with a word to the peer.
	Stop struct{ Reason string }
	// ConnOpened is a connection that stands; Called tells that the peer made it. Closed is its end, or of a try.
	ConnOpened struct {
		Conn    ConnID
		Inbound bool
	}
	ConnClosed struct{ Conn ConnID }
	// MessageReceived is a message, Broken what is none.
	MessageReceived struct {
		Conn    ConnID
		Message wire.Message
	}
	MessageInvalid struct {
		Conn ConnID
		Err  *wire.MessageError
	}
	TimerExpired struct{ Timer Timer }
)

func (Start) event()           {}
func (Stop) event()            {}
func (ConnOpened) event()      {}
func (ConnClosed) event()      {}
func (MessageReceived) event() {}
func (MessageInvalid) event()  {}
func (TimerExpired) event()    {}

// Action is something to be done.
type Action interface{ action() }

type (
	// Dial asks for a connection, under that number.
	Dial        struct{ Conn ConnID }
	SendMessage struct {
		Conn    ConnID
		Message wire.Message
	}
	CloseConn struct{ Conn ConnID }
	SetTimer  struct {
		Timer Timer
		After scheduler.Time
	}
	ClearTimer struct{ Timer Timer }
	// SessionUp is an established session: all routes are to be sent, and then, for each family where that was agreed, the
	// end of them. Down is its end.
	SessionUp struct {
		Families     []wire.Family
		SendEndOfRIB bool
		FourOctetAS  bool
	}
	SessionDown struct{ Reason string }
	// ResendRoutes asks for all routes of a family again.
	ResendRoutes struct{ Family wire.Family }
	// UpdateIgnored is an update: what peers announce is never taken (RFC 8212).
	UpdateIgnored struct{ Update *wire.Update }
	LogMessage    struct{ Message string }
)

func (Dial) action()          {}
func (SendMessage) action()   {}
func (CloseConn) action()     {}
func (SetTimer) action()      {}
func (ClearTimer) action()    {}
func (SessionUp) action()     {}
func (SessionDown) action()   {}
func (ResendRoutes) action()  {}
func (UpdateIgnored) action() {}
func (LogMessage) action()    {}

// Session is one peer's. It holds two connections at most, while it is open which of them stays.
type Session struct {
	peer    PeerConfig
	out     []Action
	running bool
	state   State
	conns   map[ConnID]*conn
	last    ConnID // number of the last one dialled: the host numbers called ones from 1,000,000 on
	dialing ConnID
	hold    scheduler.Time // as agreed
	pause   scheduler.Time
	ever    bool // a session has stood in this life
}

type conn struct {
	number ConnID
	called bool
	open   *wire.Open // the peer's
}

func New(p PeerConfig) *Session {
	return &Session{peer: p, conns: map[ConnID]*conn{}, pause: idleFirst}
}

// State is where the session stands.
func (s *Session) State() State { return s.state }

// Handle takes one event and returns what is to be done, in that order.
func (s *Session) Handle(e Event) []Action {
	s.out = nil
	switch e := e.(type) {
	case Start:
		if !s.running {
			s.running = true
			s.begin()
		}
	case Stop:
		s.running = false
		s.finish(wire.NewShutdown(e.Reason), "stopped: "+e.Reason)
		s.state = Idle
	case ConnOpened:
		s.opened(e)
	case ConnClosed:
		s.closed(e.Conn)
	case MessageReceived:
		s.came(e.Conn, e.Message)
	case MessageInvalid:
		if s.conns[e.Conn] != nil {
			s.drop(e.Conn, &e.Err.Notification, e.Err.Reason)
		}
	case TimerExpired:
		s.expired(e.Timer)
	}
	return s.out
}

func (s *Session) do(a Action) { s.out = append(s.out, a) }

func (s *Session) turn(to State) { s.state = to }

// begin calls the peer, or waits for its call.
func (s *Session) begin() {
	s.do(ClearTimer{IdleHoldTimer})
	s.do(SetTimer{ConnectRetryTimer, connectRetry})
	if s.peer.Passive {
		s.turn(Active)
		return
	}
	s.last++
	s.dialing = s.last
	s.turn(Connect)
	s.do(Dial{s.dialing})
}

func (s *Session) opened(e ConnOpened) {
	if !e.Inbound && e.Conn != s.dialing {
		s.do(CloseConn{e.Conn}) // a try that was given up
		return
	}
	if !e.Inbound {
		s.dialing = 0
	}
	// A peer that calls while nothing runs, or where there are two connections already, is turned away.
	if !s.running || s.state == Idle || s.state == Established || len(s.conns) >= 2 {
		s.do(SendMessage{e.Conn, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeConnectionRejected}})
		s.do(CloseConn{e.Conn})
		return
	}
	s.conns[e.Conn] = &conn{number: e.Conn, called: e.Inbound}
	s.do(ClearTimer{ConnectRetryTimer})
	s.do(SetTimer{HoldTimer, openWait})
	s.do(SendMessage{e.Conn, s.hello()})
	if s.state < OpenSent {
		s.turn(OpenSent)
	}
}

func (s *Session) hello() *wire.Open {
	o := &wire.Open{AS: s.peer.OwnAS, HoldTime: uint16(s.peer.HoldTime / scheduler.Second), ID: s.peer.ID, Families: s.peer.Families,
		FourOctetAS: true, Refresh: true}
	if s.peer.RestartTime > 0 {
		o.Restart = &wire.GracefulRestart{Restarted: !s.ever, Time: uint16(min(4095, s.peer.RestartTime/scheduler.Second)), ForwardingPreserved: map[wire.Family]bool{}}
		for _, f := range s.peer.Families {
			o.Restart.ForwardingPreserved[f] = true // machines forward on without us
		}
	}
	return o
}

// closed is the end of a connection. The session ends with it, unless another one is still being agreed on.
func (s *Session) closed(n ConnID) {
	if n == s.dialing {
		s.dialing = 0
		if s.state == Connect {
			s.turn(Active)
			s.rest("no connection")
		}
		return
	}
	if s.conns[n] == nil {
		return
	}
	delete(s.conns, n)
	if len(s.conns) > 0 {
		return
	}
	s.ended("the connection ended")
}

// drop ends a connection with a notification.
func (s *Session) drop(n ConnID, m *wire.Notification, why string) {
	s.do(SendMessage{n, m})
	s.do(CloseConn{n})
	delete(s.conns, n)
	if len(s.conns) == 0 {
		s.ended(why)
	}
}

// finish ends all connections.
func (s *Session) finish(m *wire.Notification, why string) {
	for _, c := range s.ordered() {
		s.do(SendMessage{c.number, m})
		s.do(CloseConn{c.number})
		delete(s.conns, c.number)
	}
	if s.dialing != 0 {
		s.do(CloseConn{s.dialing})
		s.dialing = 0
	}
	s.ended(why)
}

func (s *Session) ordered() []*conn {
	var all []*conn
	for _, c := range s.conns {
		all = append(all, c)
	}
	if len(all) == 2 && all[0].number > all[1].number {
		all[0], all[1] = all[1], all[0]
	}
	return all
}

// ended tells of a session's end and rests before the next try.
func (s *Session) ended(why string) {
	if s.state == Established {
		s.do(SessionDown{why})
	}
	s.do(ClearTimer{HoldTimer})
	s.do(ClearTimer{KeepaliveTimer})
	s.do(ClearTimer{ConnectRetryTimer})
	if s.state != Idle {
		s.do(LogMessage{fmt.Sprintf("%s, was %s", why, s.state)})
	}
	s.turn(Idle)
	if s.running {
		s.rest(why)
	}
}

// rest waits before the next try, longer after each that came to nothing.
func (s *Session) rest(string) {
	s.turn(Idle)
	s.do(ClearTimer{ConnectRetryTimer})
	s.do(SetTimer{IdleHoldTimer, s.pause})
	s.pause = min(idleMost, 2*s.pause)
}

func (s *Session) expired(t Timer) {
	switch t {
	case IdleHoldTimer:
		if s.running && s.state == Idle {
			s.begin()
		}
	case ConnectRetryTimer:
		if s.state == Connect || s.state == Active {
			if s.dialing != 0 {
				s.do(CloseConn{s.dialing})
				s.dialing = 0
			}
			s.begin()
		}
	case HoldTimer:
		if s.state >= OpenSent {
			s.finish(&wire.Notification{Code: wire.CodeHoldTimerExpired}, "the peer was silent for the hold time")
		}
	case KeepaliveTimer:
		if s.state < OpenConfirm || s.hold == 0 {
			return
		}
		for _, c := range s.ordered() {
			if c.open != nil {
				s.do(SendMessage{c.number, &wire.Keepalive{}})
			}
		}
		s.do(SetTimer{KeepaliveTimer, s.hold / 3})
	}
}

func (s *Session) came(n ConnID, m wire.Message) {
	c := s.conns[n]
	if c == nil {
		return
	}
	if note, ok := m.(*wire.Notification); ok {
		why := fmt.Sprintf("the peer sent notification %d/%d", note.Code, note.Subcode)
		if said := note.ShutdownText(); said != "" {
			why += ": " + said
		}
		s.do(CloseConn{n})
		delete(s.conns, n)
		if len(s.conns) == 0 {
			s.ended(why)
		}
		return
	}
	if c.open == nil {
		if o, ok := m.(*wire.Open); ok {
			s.greeted(c, o)
		} else {
			s.drop(n, &wire.Notification{Code: wire.CodeFSM, Subcode: 1}, fmt.Sprintf("%T where an Open was due", m))
		}
		return
	}
	if s.state == OpenConfirm {
		if _, ok := m.(*wire.Keepalive); !ok {
			s.drop(n, &wire.Notification{Code: wire.CodeFSM, Subcode: 2}, fmt.Sprintf("%T where a Keepalive was due", m))
			return
		}
		s.establish(c)
		return
	}
	switch m := m.(type) {
	case *wire.Keepalive:
	case *wire.Update:
		s.do(UpdateIgnored{m})
	case *wire.RouteRefresh:
		for _, f := range s.shared(c.open) {
			if f == m.Family {
				s.do(ResendRoutes{f})
			}
		}
	default:
		s.drop(n, &wire.Notification{Code: wire.CodeFSM, Subcode: 3}, fmt.Sprintf("%T in an established session", m))
		return
	}
	s.alive()
}

func (s *Session) alive() {
	if s.hold > 0 {
		s.do(SetTimer{HoldTimer, s.hold})
	}
}

// shared are the families that both sides have; a peer without the capability has IPv4.
func (s *Session) shared(o *wire.Open) (all []wire.Family) {
	theirs := o.Families
	if len(theirs) == 0 {
		theirs = []wire.Family{wire.IPv4}
	}
	for _, f := range s.peer.Families {
		for _, x := range theirs {
			if x == f {
				all = append(all, f)
				break
			}
		}
	}
	return all
}

// greeted holds the peer's Open against what is agreed, and of two connections keeps the one that the side with the
// higher identifier has made.
func (s *Session) greeted(c *conn, o *wire.Open) {
	switch {
	case o.AS != s.peer.PeerAS:
		s.drop(c.number, &wire.Notification{Code: wire.CodeOpen, Subcode: wire.SubcodeBadPeerAS}, fmt.Sprintf("the peer is AS %d, not %d", o.AS, s.peer.PeerAS))
		return
	case o.ID == s.peer.ID:
		s.drop(c.number, &wire.Notification{Code: wire.CodeOpen, Subcode: wire.SubcodeBadIdentifier}, "the peer has our identifier")
		return
	case !o.FourOctetAS && (s.peer.OwnAS > 0xFFFF || s.peer.PeerAS > 0xFFFF):
		s.drop(c.number, &wire.Notification{Code: wire.CodeOpen, Subcode: wire.SubcodeUnsupportedCapability}, "the peer has no four-octet AS numbers")
		return
	case len(s.shared(o)) == 0:
		s.drop(c.number, &wire.Notification{Code: wire.CodeOpen, Subcode: wire.SubcodeUnsupportedCapability}, "no family is shared")
		return
	}
	for _, other := range s.ordered() {
		if other == c || other.open == nil {
			continue
		}
		loser := c
		if keepCalled := string(s.peer.ID[:]) < string(o.ID[:]); keepCalled == c.called {
			loser = other
		}
		s.do(SendMessage{loser.number, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeCollisionResolution}})
		s.do(CloseConn{loser.number})
		delete(s.conns, loser.number)
		s.do(LogMessage{"two connections met: one was closed"})
		if loser == c {
			return
		}
	}
	c.open = o
	s.hold = min(s.peer.HoldTime, scheduler.Time(o.HoldTime)*scheduler.Second)
	s.turn(OpenConfirm)
	s.do(SendMessage{c.number, &wire.Keepalive{}})
	if s.hold == 0 {
		s.do(ClearTimer{HoldTimer})
		s.do(ClearTimer{KeepaliveTimer})
		return
	}
	s.do(SetTimer{HoldTimer, s.hold})
	s.do(SetTimer{KeepaliveTimer, s.hold / 3})
}

// establish is the session's begin. A connection that had not got so far is closed.
func (s *Session) establish(c *conn) {
	for _, other := range s.ordered() {
		if other != c {
			s.do(SendMessage{other.number, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeCollisionResolution}})
			s.do(CloseConn{other.number})
			delete(s.conns, other.number)
		}
	}
	if s.dialing != 0 {
		s.do(CloseConn{s.dialing})
		s.dialing = 0
	}
	s.turn(Established)
	s.alive()
	s.pause, s.ever = idleFirst, true
	s.do(SessionUp{s.shared(c.open), c.open.Restart != nil && s.peer.RestartTime > 0, c.open.FourOctetAS})
	s.do(LogMessage{"established"})
}
