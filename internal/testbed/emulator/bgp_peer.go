package emulator

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"glenport/internal/bgp/wire"
	"glenport/internal/statemachine"
	"glenport/internal/testbed/loopback"
)

// peerState is a state of a BGP peer.
type peerState string

const (
	peerListening   peerState = "listening" // it has no session
	peerEstablished peerState = "established"
	peerClosed      peerState = "closed" // for good
)

// peerEvent is an event of a BGP peer.
type peerEvent string

const (
	sessionEstablished peerEvent = "session established"
	sessionEnded       peerEvent = "session ended"
	peerWasClosed      peerEvent = "closed"
)

// A speaker may open a session before the end of the one before is seen: the later one replaces it. The session that a
// peer has when it is closed ends after that.
var peerTransitions = statemachine.Table[peerState, peerEvent]{
	peerListening:   {sessionEstablished: peerEstablished, peerWasClosed: peerClosed},
	peerEstablished: {sessionEstablished: peerEstablished, sessionEnded: peerListening, peerWasClosed: peerClosed},
	peerClosed:      {sessionEnded: peerClosed, peerWasClosed: peerClosed},
}

// BGPPeer is an emulated BGP peer: it accepts sessions, keeps a route table and a log of changes, helps a speaker that
// restarts (RFC 4724), and misbehaves on demand. Sessions are not authenticated.
type BGPPeer struct {
	AS            uint32
	ID            [4]byte
	HoldTime      time.Duration // whole seconds
	RestartTime   time.Duration // whole seconds, offered in the graceful restart capability
	RecordChanges bool          // keep the log that Changes returns; set before Open

	listener   net.Listener
	background sync.WaitGroup

	mu         sync.Mutex // guards what follows
	state      stateful[peerState, peerEvent]
	conn       net.Conn // of the session; nil without one
	routes     routeTable
	stats      BGPPeerStats
	faults     peerFaults
	staleTimer *time.Timer
}

// peerFaults are the ways in which a peer misbehaves.
type peerFaults struct {
	silent    bool          // it sends no keepalives
	readDelay time.Duration // before each read
	wrongAS   bool          // it opens sessions with a number that is not its own
}

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
	addr = p.listener.Addr().String()
	p.state = stateful[peerState, peerEvent]{"BGP peer " + addr, peerTransitions, peerListening}
	p.routes = newRouteTable(p.RecordChanges)
	p.background.Go(func() {
		loopback.AcceptAll(p.listener, func(conn net.Conn) { p.background.Go(func() { p.serve(conn) }) })
	})
	return addr, nil
}

// Close ends the session and waits for the peer's goroutines.
func (p *BGPPeer) Close() {
	p.locked(func() {
		p.state.applyOrLog(peerWasClosed)
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
func (p *BGPPeer) SetSilent(silent bool) { p.locked(func() { p.faults.silent = silent }) }

// SetReadDelay makes the peer wait before each message that it reads.
func (p *BGPPeer) SetReadDelay(delay time.Duration) { p.locked(func() { p.faults.readDelay = delay }) }

// SetWrongAS has the peer open sessions with an autonomous system number that is not its own.
func (p *BGPPeer) SetWrongAS(wrong bool) { p.locked(func() { p.faults.wrongAS = wrong }) }

// Route reports whether a route is in the table, and whether it is stale: kept only until its speaker has restarted.
func (p *BGPPeer) Route(prefix netip.Prefix) (present, stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, present := p.routes.states[prefix]
	return present, state == routeStale
}

// Stats returns the counts so far.
func (p *BGPPeer) Stats() BGPPeerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Routes = len(p.routes.states)
	return stats
}

// Changes returns the changes since the last call, where RecordChanges is set.
func (p *BGPPeer) Changes() []RouteChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes.takeChanges()
}

// Established reports whether a session is established.
func (p *BGPPeer) Established() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}

func (p *BGPPeer) currentFaults() peerFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

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
