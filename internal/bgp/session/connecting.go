package session

import (
	"glenport/internal/bgp/wire"
)

func (s *Session) start(input) {
	if s.running {
		return
	}
	s.running = true
	s.connect()
}

// retry ends the idle hold time.
func (s *Session) retry(input) {
	if s.running {
		s.connect()
	}
}

func (s *Session) abandonDialAndRetry(input) {
	s.abandonDial()
	s.connect()
}

// connect dials the peer, or waits for it to connect.
func (s *Session) connect() {
	s.emit(ClearTimer{IdleHoldTimer})
	s.emit(SetTimer{ConnectRetryTimer, connectRetryTime})
	if s.peer.Passive {
		s.state = Active
		return
	}
	s.lastDialed++
	s.dialing = s.lastDialed
	s.state = Connect
	s.emit(Dial{s.dialing})
}

// abandonDial gives up the connection attempt that is under way, if any.
func (s *Session) abandonDial() {
	if s.dialing != 0 {
		s.emit(CloseConn{s.dialing})
		s.dialing = 0
	}
}

func (s *Session) closeAbandonedDial(in input) { s.emit(CloseConn{in.opened.Conn}) }

func (s *Session) forgetDial(input) { s.dialing = 0 }

func (s *Session) backOffAfterDial(input) {
	s.dialing = 0
	s.backOff()
}

// acceptConnection sends an Open on the first connection.
func (s *Session) acceptConnection(in input) {
	s.openConnection(in.opened)
	s.state = OpenSent
}

// acceptCollidingConnection accepts a connection beside the first one. Which of them stays is decided when the peer's
// Open has come on both.
func (s *Session) acceptCollidingConnection(in input) {
	if len(s.connections) >= maxConnections {
		s.rejectConnection(in)
		return
	}
	s.openConnection(in.opened)
}

func (s *Session) openConnection(opened ConnOpened) {
	s.endDial(opened)
	s.connections[opened.Conn] = &connection{id: opened.Conn, inbound: opened.Inbound}
	s.emit(ClearTimer{ConnectRetryTimer})
	s.emit(SetTimer{HoldTimer, openHoldTime})
	s.emit(SendMessage{opened.Conn, s.open()})
}

// rejectConnection turns a connection away that no state is waiting for.
func (s *Session) rejectConnection(in input) {
	s.endDial(in.opened)
	s.emit(
		SendMessage{in.opened.Conn, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeConnectionRejected}},
	)
	s.emit(CloseConn{in.opened.Conn})
}

// endDial notes that the connection attempt under way has succeeded.
func (s *Session) endDial(opened ConnOpened) {
	if !opened.Inbound {
		s.dialing = 0
	}
}
