package session

func (s *Session) start() {
	if s.started {
		return
	}
	s.started = true
	s.connect()
}

func (s *Session) idleHoldTimerExpired() {
	if s.state == Idle && s.started {
		s.connect()
	}
}

func (s *Session) connectRetryTimerExpired() {
	if s.state == Connect || s.state == Active {
		s.connections.abandonDial()
		s.connect()
	}
}

// connect dials the peer, or waits for the peer to connect if the session is passive.
func (s *Session) connect() {
	s.timers.startConnectRetryTimer()
	if s.passive {
		s.transition(Active)
		return
	}
	s.transition(Connect)
	s.connections.dial()
}

func (s *Session) connectionOpened(opened ConnOpened) {
	if s.connections.isAbandoned(opened) {
		s.actions.emit(CloseConn{opened.Conn})
		return
	}
	switch s.state {
	case Connect, Active:
		s.sendOpen(opened)
		s.transition(OpenSent)
	case OpenSent, OpenConfirm:
		s.acceptColliding(opened)
	case Idle, Established:
		s.connections.reject(opened)
	}
}

// acceptColliding accepts a second connection. The collision is resolved when the peer's Open has been received on both
// connections.
func (s *Session) acceptColliding(opened ConnOpened) {
	if len(s.connections.open) >= maxConnections {
		s.connections.reject(opened)
		return
	}
	s.sendOpen(opened)
}

// sendOpen adds a connection and starts the negotiation on it.
func (s *Session) sendOpen(opened ConnOpened) {
	s.connections.add(opened)
	s.timers.startOpenHoldTimer()
	restarted := !s.wasEstablished
	s.connections.send(opened.Conn, s.negotiation.open(restarted))
}

// connectionClosed handles the end of a connection or a failed dial.
func (s *Session) connectionClosed(id ConnID) {
	if id == s.connections.dialing {
		s.dialFailed()
	} else if c := s.connections.open[id]; c != nil {
		s.connections.remove(c)
		s.endIfNoConnections("the connection ended")
	}
}

func (s *Session) dialFailed() {
	s.connections.dialing = 0
	if s.state == Connect {
		s.backOff()
	}
}
