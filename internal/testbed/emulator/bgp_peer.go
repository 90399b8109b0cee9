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

// peerState is the state of a BGP peer.
type peerState string

const (
	peerListening   peerState = "listening" // without a session
	peerEstablished peerState = "established"
	peerClosed      peerState = "closed" // permanently
)

// peerEvent is an event of a BGP peer.
type peerEvent string

const (
	sessionEstablished peerEvent = "session established"
	sessionEnded       peerEvent = "session ended"
	peerCloseEvent     peerEvent = "closed"
)

// A speaker may open a new session before the peer has noticed the end of the previous session. The new session then
// replaces the previous one. After the close of a peer, the end of its session is still reported.
var peerTransitions = statemachine.Table[peerState, peerEvent]{
	peerListening:   {sessionEstablished: peerEstablished, peerCloseEvent: peerClosed},
	peerEstablished: {sessionEstablished: peerEstablished, sessionEnded: peerListening, peerCloseEvent: peerClosed},
	peerClosed:      {sessionEnded: peerClosed, peerCloseEvent: peerClosed},
}

// BGPPeer is an emulated BGP peer: it accepts sessions, keeps a route table and a log of route changes, acts as a
// helper for graceful restart (RFC 4724), and injects faults on request. Sessions are not authenticated.
type BGPPeer struct {
	AS            uint32
	ID            [4]byte
	HoldTime      time.Duration // whole seconds
	RestartTime   time.Duration // whole seconds, offered in the graceful restart capability
	RecordChanges bool          // keep the log for Changes; set before Open

	listener   net.Listener
	background sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	state      stateMachine[peerState, peerEvent]
	conn       net.Conn // nil without an established session
	routes     routeTable
	stats      BGPPeerStats
	faults     peerFaults
	staleTimer *time.Timer
}

// peerFaults holds the faults injected into a peer.
type peerFaults struct {
	silent    bool          // sends no keepalives
	readDelay time.Duration // before each read
	wrongAS   bool          // sends a wrong AS number in the OPEN message
}

// BGPPeerStats holds the counters of a peer since Open.
type BGPPeerStats struct {
	Routes     int // in the table now
	Sessions   int
	EndOfRIBs  int
	Updates    int
	UpdateSize int // bytes of all updates
}

// Open starts to accept sessions and returns the address of the peer.
func (p *BGPPeer) Open() (addr string, err error) {
	if p.listener, err = loopback.Listen(loopback.AnyPort); err != nil {
		return "", fmt.Errorf("BGP peer: %w", err)
	}
	addr = p.listener.Addr().String()
	p.state = stateMachine[peerState, peerEvent]{"BGP peer " + addr, peerTransitions, peerListening}
	p.routes = newRouteTable(p.RecordChanges)
	p.background.Go(func() {
		loopback.AcceptAll(p.listener, func(conn net.Conn) { p.background.Go(func() { p.serve(conn) }) })
	})
	return addr, nil
}

// Close ends the session and waits for the peer's goroutines.
func (p *BGPPeer) Close() {
	p.withLock(func() {
		p.state.applyOrLog(peerCloseEvent)
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

// SendGarbage sends bytes that are not a BGP message.
func (p *BGPPeer) SendGarbage() {
	p.withConn(func(conn net.Conn) {
		writeBestEffort(conn, []byte("this is no message of the protocol, nor the half of one"))
	})
}

// SendPartial sends the beginning of a message and not the rest.
func (p *BGPPeer) SendPartial() {
	message := mustEncodeBGP(&wire.RouteRefresh{Family: wire.IPv4})
	p.withConn(func(conn net.Conn) { writeBestEffort(conn, message[:bgpHeaderLength+1]) })
}

// SetSilent stops or resumes the keepalives.
func (p *BGPPeer) SetSilent(silent bool) { p.withLock(func() { p.faults.silent = silent }) }

// SetReadDelay makes the peer wait before each message that it reads.
func (p *BGPPeer) SetReadDelay(delay time.Duration) {
	p.withLock(func() { p.faults.readDelay = delay })
}

// SetWrongAS makes the peer send a wrong AS number in the OPEN messages of new sessions.
func (p *BGPPeer) SetWrongAS(wrong bool) { p.withLock(func() { p.faults.wrongAS = wrong }) }

// Route reports whether a route is in the table and whether it is stale, that is kept during a graceful restart.
func (p *BGPPeer) Route(prefix netip.Prefix) (present, stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, present := p.routes.states[prefix]
	return present, state == routeStale
}

// Stats returns the current counters.
func (p *BGPPeer) Stats() BGPPeerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Routes = len(p.routes.states)
	return stats
}

// Changes returns the route changes since the last call, if RecordChanges is set.
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

func (p *BGPPeer) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *BGPPeer) withConn(f func(net.Conn)) {
	p.withLock(func() {
		if p.conn != nil {
			f(p.conn)
		}
	})
}
