package session

import (
	"log/slog"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// PeerConfig is the configuration of the session with one peer.
type PeerConfig struct {
	LocalAS     uint32
	PeerAS      uint32
	LocalID     [4]byte        // local BGP identifier
	HoldTime    scheduler.Time // 0: no keepalives
	Families    []wire.Family
	Passive     bool           // never dial; only the peer connects
	RestartTime scheduler.Time // time for which the peer keeps routes; 0: no graceful restart
}

// Session is the state machine of the session with one peer.
type Session struct {
	actions     *actionQueue
	negotiation negotiation
	timers      timers
	connections *connections
	passive     bool
	started     bool // between Start and Stop
	// wasEstablished is set once the session has been established after New. Until then, Opens announce a restart.
	wasEstablished bool
	state          State
}

// New returns a session in state Idle. It does nothing until Start.
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

// Handle handles one event and returns the resulting actions in order.
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
	default: // not a timer of the session
	}
}

// transition moves the session to another state; the state changes only here. An illegal transition is logged and not
// made.
func (s *Session) transition(to State) {
	if err := successors.Apply("BGP session", &s.state, to); err != nil {
		s.log("illegal BGP session state transition", slog.Any("error", err))
	}
}

// stateOf returns the state of one connection, which is OpenSent until the Open of the peer is received.
func (s *Session) stateOf(c *connection) State {
	if c.peerOpen == nil {
		return OpenSent
	}
	return s.state
}

func (s *Session) log(message string, attributes ...slog.Attr) {
	s.actions.emit(Log{Message: message, Attributes: attributes})
}
