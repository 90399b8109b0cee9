package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const dialTimeout = time.Second

// Fault is the set of network faults of a connection.
type Fault struct {
	Partitioned bool    // frames wait until the partition or the connection ends
	AcceptLoss  float64 // fraction of the accept frames of machines that are lost
	Delay       time.Duration
}

// Rule returns the fault of the connection between a scheduler and a peer. It is called for each frame with the proxy's
// lock held.
type Rule func(scheduler string, peer protocol.Role, peerName string) Fault

// Proxy is the network of a trial. Its listeners in front of schedulers and their peers record the forwarded frames and
// inject network faults.
type Proxy struct {
	recorder *Writer
	sampler  *sampler
	stop     chan struct{} // closed by Close

	mu           sync.Mutex
	stateChanged *sync.Cond
	rule         Rule
	connections  map[*connection]bool
	listeners    []net.Listener
	lastID       uint32
	rng          *rand.Rand
	closed       bool
	background   sync.WaitGroup
}

// New returns a proxy without faults that writes to a recording. The caller closes it.
func New(recorder *Writer, seed uint64) *Proxy {
	p := &Proxy{
		recorder:    recorder,
		sampler:     &sampler{streams: map[*arrivalTracker]bool{}},
		stop:        make(chan struct{}),
		connections: map[*connection]bool{},
		rng:         rand.New(rand.NewPCG(seed, 3)),
		rule:        func(string, protocol.Role, string) Fault { return Fault{} },
	}
	p.stateChanged = sync.NewCond(&p.mu)
	p.background.Go(func() { p.sampler.run(p.stop) })
	return p
}

// SetFaults replaces the rule of the proxy.
func (p *Proxy) SetFaults(rule Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = rule
	p.stateChanged.Broadcast()
}

// Reset resets both ends of each matching connection and returns the number of connections.
func (p *Proxy) Reset(matches func(scheduler string, peer protocol.Role, peerName string) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for c := range p.connections {
		if matches(c.scheduler, c.peer, c.peerName) {
			count++
			c.reset()
		}
	}
	return count
}

// Close closes all listeners and connections and waits for the goroutines of the proxy. It must be called only once.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	close(p.stop)
	for _, listener := range p.listeners {
		loopback.CloseQuietly(listener)
	}
	for c := range p.connections {
		c.reset()
	}
	p.stateChanged.Broadcast()
	p.mu.Unlock()
	p.background.Wait()
}

// Listen opens a listener in front of a target and returns its address. target returns the address to connect to and is
// called for each connection. One end of each connection is a scheduler: if schedulers connect to the listener, peer
// and name are the role and the name of the target; if clients connect, peer is RoleClient and name is the name of the
// scheduler.
func (p *Proxy) Listen(peer protocol.Role, name string, target func() string) (string, error) {
	listener, err := loopback.Listen(loopback.AnyPort)
	if err != nil {
		return "", fmt.Errorf("proxy in front of %s: %w", name, err)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, listener)
	p.mu.Unlock()
	p.background.Go(func() {
		loopback.AcceptAll(listener, func(caller net.Conn) {
			p.background.Go(func() { p.serve(caller, peer, name, target) })
		})
	})
	return listener.Addr().String(), nil
}

// WaitRecorded waits until all frames that a scheduler sent before it was killed have been recorded.
func (p *Proxy) WaitRecorded(scheduler string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.hasOpenConnection(scheduler) {
		p.stateChanged.Wait()
	}
}

func (p *Proxy) hasOpenConnection(scheduler string) bool {
	for c := range p.connections {
		if c.scheduler == scheduler && c.state != connRecorded {
			return true
		}
	}
	return false
}

// serve reads the hello of the caller, connects to the target and forwards frames both ways until one end closes.
func (p *Proxy) serve(caller net.Conn, peer protocol.Role, name string, target func() string) {
	defer loopback.CloseQuietly(caller)
	c := &connection{proxy: p, peer: peer}
	defer func() { p.sampler.remove(c.arrivals) }()
	if c.setEnd(fromCaller, caller) != nil {
		return
	}
	first, hello, err := readHello(caller)
	if err != nil {
		return
	}
	c.scheduler, c.peerName = hello.Name, name
	if peer == protocol.RoleClient { // the target is the scheduler
		c.scheduler, c.peerName = name, hello.Name
	}
	dialedAt := time.Now()
	targetConn, err := loopback.Dial(target(), dialTimeout)
	if err != nil {
		loopback.Reset(caller)
		return
	}
	if c.setEnd(fromTarget, targetConn) != nil || !p.add(c) {
		loopback.CloseQuietly(targetConn)
		return
	}
	p.recorder.addSince(c.entry(Opened), dialedAt)
	c.run(first)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// add registers a connection under a new ID; it returns false if the proxy has been closed.
func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.lastID++
	c.id = p.lastID
	p.connections[c] = true
	return true
}
