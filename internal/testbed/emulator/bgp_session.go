package emulator

import (
	"net"
	"time"

	"glenport/internal/bgp/wire"
	"glenport/internal/testbed/loopback"
)

const minKeepaliveInterval = 100 * time.Millisecond

// sessionEnd is the cause of the end of a session.
type sessionEnd string

const (
	connectionEnded      sessionEnd = "connection ended"
	notificationReceived sessionEnd = "notification received"
)

// serve runs one session from its opening to its end.
func (p *BGPPeer) serve(conn net.Conn) {
	defer loopback.CloseQuietly(conn)
	open := p.openSession(conn)
	if open == nil || p.establish(conn) != nil {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	p.background.Go(func() { p.sendKeepalives(conn, stop) })
	end := p.receive(conn)
	p.withLock(func() {
		if p.conn == conn { // not replaced by a later session
			p.conn = nil
			p.state.applyOrLog(sessionEnded)
			p.releaseRoutes(open, end)
		}
	})
}

// openSession exchanges OPEN and KEEPALIVE messages; it returns nil if the speaker does not complete the exchange.
func (p *BGPPeer) openSession(conn net.Conn) *wire.Open {
	as := p.AS
	if p.currentFaults().wrongAS {
		as++
	}
	sendMessage(conn, &wire.Open{
		AS:          as,
		HoldTime:    uint16(p.HoldTime / time.Second),
		ID:          p.ID,
		Families:    []wire.Family{wire.IPv4, wire.IPv6},
		FourOctetAS: true,
		Refresh:     true,
		Restart: &wire.GracefulRestart{
			Time:                uint16(p.RestartTime / time.Second),
			ForwardingPreserved: map[wire.Family]bool{},
		},
	})
	message, _, err := readMessage(conn)
	open, ok := message.(*wire.Open)
	if err != nil || !ok {
		return nil
	}
	sendMessage(conn, &wire.Keepalive{})
	message, _, err = readMessage(conn)
	if _, ok := message.(*wire.Keepalive); err != nil || !ok {
		return nil
	}
	return open
}

// establish makes a session the current one. It returns a *statemachine.TransitionError if the peer was closed.
func (p *BGPPeer) establish(conn net.Conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.state.apply(sessionEstablished); err != nil {
		return err
	}
	p.conn = conn
	p.stats.Sessions++
	if p.staleTimer != nil {
		p.staleTimer.Stop()
	}
	return nil
}

func (p *BGPPeer) sendKeepalives(conn net.Conn, stop chan struct{}) {
	ticker := time.NewTicker(max(minKeepaliveInterval, p.HoldTime/3))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if !p.currentFaults().silent {
			sendMessage(conn, &wire.Keepalive{})
		}
	}
}

// receive applies updates until the session ends and returns the cause.
func (p *BGPPeer) receive(conn net.Conn) sessionEnd {
	for {
		time.Sleep(p.currentFaults().readDelay)
		message, size, err := readMessage(conn)
		if err != nil {
			return connectionEnded
		}
		switch message := message.(type) {
		case *wire.Notification:
			return notificationReceived
		case *wire.Update:
			p.withLock(func() { p.applyUpdate(message, size) })
		}
	}
}

func (p *BGPPeer) applyUpdate(update *wire.Update, size int) {
	now := time.Now()
	p.stats.Updates++
	p.stats.UpdateSize += size
	if _, isEndOfRIB := update.EndOfRIBFamily(); isEndOfRIB {
		p.stats.EndOfRIBs++
		p.routes.withdrawStale(now)
		return
	}
	p.routes.applyUpdate(update, now)
}

// releaseRoutes withdraws the routes of a session that has ended. If the speaker may be in a graceful restart, they
// stay in the table as stale for its restart time.
func (p *BGPPeer) releaseRoutes(open *wire.Open, end sessionEnd) {
	if open.Restart == nil || end == notificationReceived || p.state.state == peerClosed {
		p.routes.withdrawAll()
		return
	}
	p.routes.markAllStale()
	restartTime := time.Duration(open.Restart.Time) * time.Second
	p.staleTimer = time.AfterFunc(restartTime, func() { p.withLock(p.routes.withdrawAll) })
}
