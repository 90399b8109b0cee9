package emulator

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"glenport/internal/bgp/wire"
	"glenport/internal/testbed/loopback"
)

const (
	bgpHeaderLength           = 19 // bytes
	bgpWriteTimeout           = 5 * time.Second
	minKeepaliveInterval      = 100 * time.Millisecond
	communityGracefulShutdown = 0xFFFF0000 // RFC 8326
)

// RouteChange is one route that a peer was sent or that it lost.
type RouteChange struct {
	At               time.Time
	Prefix           netip.Prefix
	Withdrawn        bool
	LocalPref        uint32
	GracefulShutdown bool // it carries the community of that name
}

// BGPPeer is an emulated BGP peer: it accepts sessions, keeps a route table and a log of changes, helps a speaker that
// restarts (RFC 4724), and misbehaves on demand. Sessions are not authenticated.
type BGPPeer struct {
	AS            uint32
	ID            [4]byte
	HoldTime      time.Duration // whole seconds
	RestartTime   time.Duration // whole seconds, offered in the graceful restart capability
	RecordChanges bool          // keep the log that Changes returns

	mu         sync.Mutex
	listener   net.Listener
	conn       net.Conn // of the established session; nil without one
	routes     map[netip.Prefix]routeState
	changes    []RouteChange
	stats      BGPPeerStats
	silent     bool
	readDelay  time.Duration // before each read
	wrongAS    bool
	staleTimer *time.Timer
	closed     bool
	background sync.WaitGroup
}

// routeState says whether a route is kept only until its speaker has restarted.
type routeState struct{ stale bool }

// BGPPeerStats counts what a peer has seen since it was opened.
type BGPPeerStats struct {
	Routes     int // in the table now
	Sessions   int
	EndOfRIBs  int
	Updates    int
	UpdateSize int // bytes of all updates
}

// Open starts to accept sessions, and returns the address.
func (p *BGPPeer) Open() (addr string, err error) {
	if p.listener, err = loopback.Listen(loopback.AnyPort); err != nil {
		return "", fmt.Errorf("BGP peer: %w", err)
	}
	p.routes = map[netip.Prefix]routeState{}
	p.background.Go(func() {
		loopback.AcceptAll(p.listener, func(conn net.Conn) { p.background.Go(func() { p.serve(conn) }) })
	})
	return p.listener.Addr().String(), nil
}

// Close ends the session and waits for the peer's goroutines.
func (p *BGPPeer) Close() {
	p.locked(func() {
		p.closed = true
		if p.conn != nil {
			loopback.CloseQuietly(p.conn)
		}
		if p.staleTimer != nil {
			p.staleTimer.Stop()
		}
	})
	loopback.CloseQuietly(p.listener)
	p.background.Wait()
}

// Reset resets the session's connection.
func (p *BGPPeer) Reset() { p.withConn(loopback.Reset) }

// SendGarbage sends bytes into the session that are no message of the protocol.
func (p *BGPPeer) SendGarbage() {
	p.withConn(func(conn net.Conn) {
		writeBestEffort(conn, []byte("this is no message of the protocol, nor the half of one"))
	})
}

// SendPartial sends the beginning of a message into the session.
func (p *BGPPeer) SendPartial() {
	message := mustEncodeBGP(&wire.RouteRefresh{Family: wire.IPv4})
	p.withConn(func(conn net.Conn) { writeBestEffort(conn, message[:bgpHeaderLength+1]) })
}

// SetSilent stops keepalives, or sends them again.
func (p *BGPPeer) SetSilent(silent bool) { p.locked(func() { p.silent = silent }) }

// SetReadDelay makes the peer wait before each message that it reads.
func (p *BGPPeer) SetReadDelay(delay time.Duration) { p.locked(func() { p.readDelay = delay }) }

// SetWrongAS has the peer open sessions with an autonomous system number that is not its own.
func (p *BGPPeer) SetWrongAS(wrong bool) { p.locked(func() { p.wrongAS = wrong }) }

func (p *BGPPeer) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *BGPPeer) withConn(f func(net.Conn)) {
	p.locked(func() {
		if p.conn != nil {
			f(p.conn)
		}
	})
}

// Route reports whether a route is in the table, and whether it is stale: kept only until its speaker has restarted.
func (p *BGPPeer) Route(prefix netip.Prefix) (present, stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, present := p.routes[prefix]
	return present, state.stale
}

// Stats returns the counts so far.
func (p *BGPPeer) Stats() BGPPeerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Routes = len(p.routes)
	return stats
}

// Changes returns the changes since the last call, where RecordChanges is set.
func (p *BGPPeer) Changes() []RouteChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.changes
	p.changes = nil
	return changes
}

// Established reports whether a session is established.
func (p *BGPPeer) Established() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}

// mustEncodeBGP encodes a message that the peer itself has made; one that cannot be encoded is a programming error.
func mustEncodeBGP(message wire.Message) []byte {
	data, err := wire.Append(nil, message)
	if err != nil {
		panic(err)
	}
	return data
}

// writeBestEffort writes to a session. An error is ignored: it means that the session is ending, which its reader sees.
func writeBestEffort(conn net.Conn, data []byte) { _ = writeWithin(conn, data, bgpWriteTimeout) }

func send(conn net.Conn, message wire.Message) { writeBestEffort(conn, mustEncodeBGP(message)) }

// readMessage reads one message and its size in bytes.
func readMessage(conn net.Conn) (message wire.Message, size int, err error) {
	data := make([]byte, bgpHeaderLength, wire.MaxMessageLength)
	if _, err := io.ReadFull(conn, data); err != nil {
		return nil, 0, err
	}
	size, err = wire.MessageLength(data)
	if err != nil {
		return nil, 0, err
	}
	data = data[:size]
	if _, err := io.ReadFull(conn, data[bgpHeaderLength:]); err != nil {
		return nil, 0, err
	}
	message, err = wire.Decode(data)
	return message, size, err
}

// serve runs one session from its opening to its end.
func (p *BGPPeer) serve(conn net.Conn) {
	defer loopback.CloseQuietly(conn)
	open := p.openSession(conn)
	if open == nil {
		return
	}
	p.locked(func() {
		p.conn = conn
		p.stats.Sessions++
		if p.staleTimer != nil {
			p.staleTimer.Stop()
		}
	})
	stop := make(chan struct{})
	defer close(stop)
	p.background.Go(func() { p.sendKeepalives(conn, stop) })
	notified := p.receive(conn)
	p.locked(func() {
		if p.conn == conn {
			p.conn = nil
			p.sessionLost(open, notified)
		}
	})
}

// openSession exchanges the opening messages; nil where the other side breaks off.
func (p *BGPPeer) openSession(conn net.Conn) *wire.Open {
	as := p.AS
	p.locked(func() {
		if p.wrongAS {
			as++
		}
	})
	send(conn, &wire.Open{
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
	send(conn, &wire.Keepalive{})
	message, _, err = readMessage(conn)
	if _, ok := message.(*wire.Keepalive); err != nil || !ok {
		return nil
	}
	return open
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
		silent := false
		p.locked(func() { silent = p.silent })
		if !silent {
			send(conn, &wire.Keepalive{})
		}
	}
}

// receive applies updates until the session ends, and reports whether a notification ended it.
func (p *BGPPeer) receive(conn net.Conn) (notified bool) {
	for {
		delay := time.Duration(0)
		p.locked(func() { delay = p.readDelay })
		time.Sleep(delay)
		message, size, err := readMessage(conn)
		if err != nil {
			return false
		}
		switch message := message.(type) {
		case *wire.Notification:
			return true
		case *wire.Update:
			p.locked(func() { p.applyUpdate(message, size) })
		}
	}
}

func (p *BGPPeer) applyUpdate(update *wire.Update, size int) {
	now := time.Now()
	p.stats.Updates++
	p.stats.UpdateSize += size
	if _, isEndOfRIB := update.EndOfRIBFamily(); isEndOfRIB {
		p.stats.EndOfRIBs++
		p.removeStale(now)
		return
	}
	for _, prefix := range update.Withdrawn {
		p.remove(prefix, now)
	}
	shutdown := false
	for _, community := range update.Path.Communities {
		shutdown = shutdown || community == communityGracefulShutdown
	}
	for _, prefix := range update.Announced {
		p.routes[prefix] = routeState{}
		p.recordChange(
			RouteChange{At: now, Prefix: prefix, LocalPref: update.Path.LocalPref, GracefulShutdown: shutdown},
		)
	}
}

func (p *BGPPeer) removeStale(now time.Time) {
	for prefix, state := range p.routes {
		if state.stale {
			p.remove(prefix, now)
		}
	}
}

func (p *BGPPeer) removeAll() {
	for prefix := range p.routes {
		p.remove(prefix, time.Now())
	}
}

func (p *BGPPeer) remove(prefix netip.Prefix, now time.Time) {
	delete(p.routes, prefix)
	p.recordChange(RouteChange{At: now, Prefix: prefix, Withdrawn: true})
}

func (p *BGPPeer) recordChange(change RouteChange) {
	if p.RecordChanges {
		p.changes = append(p.changes, change)
	}
}

// sessionLost removes the routes of a session that has ended; they stay stale for the agreed time where the speaker may
// be restarting.
func (p *BGPPeer) sessionLost(open *wire.Open, notified bool) {
	if open.Restart == nil || notified || p.closed {
		p.removeAll()
		return
	}
	for prefix := range p.routes {
		p.routes[prefix] = routeState{stale: true}
	}
	restartTime := time.Duration(open.Restart.Time) * time.Second
	p.staleTimer = time.AfterFunc(restartTime, func() { p.locked(p.removeAll) })
}
