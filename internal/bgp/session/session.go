package session

import (
	"log/slog"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// PeerConfig is what is configured for a peer.
type PeerConfig struct {
	OwnAS       uint32
	PeerAS      uint32
	ID          [4]byte        // our BGP identifier
	HoldTime    scheduler.Time // 0: no keepalives
	Families    []wire.Family
	Passive     bool           // only the peer connects
	RestartTime scheduler.Time // how long the peer may keep our routes while we restart; 0: no graceful restart
}

// Session is the state machine of one peer.
type Session struct {
	actions     *actionQueue
	negotiation negotiation
	timers      timers
	connections *connections
	passive     bool
	started     bool // between Start and Stop
	// wasEstablished says that a session has been established since New: the peer is told of a restart until then.
	wasEstablished bool
	state          State
}

// New returns a session in Idle, which waits for Start.
func New(p PeerConfig) *Session {
	actions := &actionQueue{}
	return &Session{
		actions:     actions,
		negotiation: negotiation{peer: p},
		timers:      newTimers(actions),
		connections: newConnections(actions),
		passive:     p.Passive,
	}
}

// State returns the state of the session.
func (s *Session) State() State { return s.state }

// Handle takes one event and returns what is to be done, in order.
func (s *Session) Handle(e Event) []Action {
	switch e := e.(type) {
	case Start:
		s.start()
	case Stop:
		s.stop(e.Reason)
	case ConnOpened:
		s.connectionOpened(e)
	case ConnClosed:
		s.connectionClosed(e.Conn)
	case MessageReceived:
		if c := s.connections.open[e.Conn]; c != nil {
			s.messageReceived(c, e.Message)
		}
	case MessageInvalid:
		if c := s.connections.open[e.Conn]; c != nil {
			s.resetConnection(c, e.Err)
		}
	case TimerExpired:
		s.timerExpired(e.Timer)
	}
	return s.actions.take()
}

func (s *Session) messageReceived(c *connection, m wire.Message) {
	switch m := m.(type) {
	case *wire.Open:
		s.openReceived(c, m)
	case *wire.Update:
		s.updateReceived(c, m)
	case *wire.Notification:
		s.notificationReceived(c, m)
	case *wire.Keepalive:
		s.keepaliveReceived(c, m)
	case *wire.RouteRefresh:
		s.routeRefreshReceived(c, m)
	}
}

func (s *Session) timerExpired(t Timer) {
	switch t {
	case ConnectRetryTimer:
		s.connectRetryTimerExpired()
	case HoldTimer:
		s.holdTimerExpired()
	case KeepaliveTimer:
		s.keepaliveTimerExpired()
	case IdleHoldTimer:
		s.idleHoldTimerExpired()
	default: // no timer of a session
	}
}

// transition takes the session to another state; only here its state changes. A transition that the state machine does
// not have is logged and not made.
func (s *Session) transition(to State) {
	if err := successors.Apply("BGP session", &s.state, to); err != nil {
		s.log("illegal transition of a BGP session", slog.Any("error", err))
	}
}

// stateOf returns the state of one connection.
func (s *Session) stateOf(c *connection) State {
	if c.peerOpen == nil {
		return OpenSent
	}
	return s.state
}

func (s *Session) log(message string, attributes ...slog.Attr) {
	s.actions.emit(Log{Message: message, Attributes: attributes})
}
