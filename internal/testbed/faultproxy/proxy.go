package faultproxy

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
)

// Fault is what the network does to a link.
type Fault struct {
	Partitioned bool    // nothing passes; what was sent waits until it ends, or the link does
	LoseAccepts float64 // part of the machines' yeses that never arrive
	Delay       time.Duration
}

// Proxy is the network of a trial: taps, and the faults between placers and what they talk to.
type Proxy struct {
	record *Writer

	mu           sync.Mutex
	stateChanged *sync.Cond
	fault        func(placer string, far protocol.Role, name string) Fault
	connections  map[*connection]bool
	listeners    []net.Listener
	lastID       uint32
	rng          *rand.Rand
	closed       bool
	background   sync.WaitGroup
}

func New(record *Writer, seed uint64) *Proxy {
	n := &Proxy{record: record, connections: map[*connection]bool{}, rng: rand.New(rand.NewPCG(seed, 3))}
	n.stateChanged = sync.NewCond(&n.mu)
	n.fault = func(string, protocol.Role, string) Fault { return Fault{} }
	return n
}

// SetFaults puts another rule of faults in force; it is asked for each frame.
func (n *Proxy) SetFaults(fault func(placer string, far protocol.Role, name string) Fault) {
	n.mu.Lock()
	n.fault = fault
	n.stateChanged.Broadcast()
	n.mu.Unlock()
}

// Reset resets every link for which which is true, at both ends.
func (n *Proxy) Reset(which func(placer string, far protocol.Role, name string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for w := range n.connections {
		if which(w.scheduler, w.peer, w.peerName) {
			count++
			w.reset()
		}
	}
	return count
}

// Close ends all taps and links.
func (n *Proxy) Close() {
	n.mu.Lock()
	n.closed = true
	for _, t := range n.listeners {
		t.Close()
	}
	for w := range n.connections {
		w.reset()
	}
	n.stateChanged.Broadcast()
	n.mu.Unlock()
	n.background.Wait()
}

// Listen opens a way to what is at the address that to gives. Of the two ends of a link through it one is a placer;
// far and name are the other's, where it is the one called, and else the placer's own name is name and far is
// the role of the caller.
func (n *Proxy) Listen(far protocol.Role, name string, to func() string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.background.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.background.Go(func() { n.serve(c, far, name, to) })
		}
	})
	return l.Addr().String(), nil
}

// WaitRecorded waits until all that a dead placer had sent is written down.
func (n *Proxy) WaitRecorded(placer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for open := true; open; {
		open = false
		for w := range n.connections {
			open = open || w.scheduler == placer && !w.closeRecorded
		}
		if open {
			n.stateChanged.Wait()
		}
	}
}

// connection is one link through a tap.
type connection struct {
	proxy            *Proxy
	id               uint32
	callerRole, peer protocol.Role
	scheduler        string
	peerName         string
	conns            [2]net.Conn // the caller, the called
	dead             bool        // nothing more passes
	closeRecorded    bool        // and its end is written down
}

func (w *connection) reset() {
	w.dead = true
	for _, c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
	w.proxy.stateChanged.Broadcast()
}

// serve reads the caller's greeting, calls the other end and passes frames both ways until one end closes.
func (n *Proxy) serve(caller net.Conn, far protocol.Role, name string, to func() string) {
	defer caller.Close()
	p, err := readFrame(caller)
	if err != nil {
		return
	}
	f, err := protocol.Decode(p[4:])
	hello, ok := f.(*protocol.Hello)
	if err != nil || !ok {
		return
	}
	w := &connection{proxy: n, callerRole: hello.Role, peer: far, scheduler: hello.Name, peerName: name}
	if far == protocol.RoleClient { // an owner calls a placer's door
		w.scheduler, w.peerName = name, hello.Name
	}
	called, err := net.DialTimeout("tcp", to(), time.Second)
	if err != nil {
		caller.(*net.TCPConn).SetLinger(0)
		return
	}
	w.conns = [2]net.Conn{caller, called}
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		called.Close()
		return
	}
	n.lastID++
	w.id = n.lastID
	n.connections[w] = true
	n.mu.Unlock()
	n.record.add(Entry{Kind: Opened, ConnID: w.id, Scheduler: w.scheduler, Peer: w.peer, PeerName: w.peerName})
	done := make(chan struct{}, 2)
	n.background.Go(func() { w.forward(0, p); done <- struct{}{} })
	n.background.Go(func() { w.forward(1, nil); done <- struct{}{} })
	<-done
	n.mu.Lock()
	w.dead = true
	n.stateChanged.Broadcast()
	n.mu.Unlock()
	called.Close()
	caller.Close()
	<-done
	n.mu.Lock()
	delete(n.connections, w)
	n.mu.Unlock()
}

// forward carries what one end sends to the other. Reading never waits for a fault to end: what a placer sent is
// written down when it was sent.
func (w *connection) forward(from int, first []byte) {
	type held struct {
		p  []byte
		at time.Time
	}
	queue := make(chan held, 100_000)
	stopped := make(chan struct{})
	fromPlacer := (w.peer == protocol.RoleClient) == (from == 1)
	w.proxy.background.Go(func() {
		defer close(stopped)
		for h := range queue {
			if !w.awaitDelivery(h.p, h.at, fromPlacer) {
				continue
			}
			if !fromPlacer {
				// Before it goes: a placer may answer before this goroutine runs again, and the record
				// must not show the answer first.
				if !w.record(ToScheduler, h.p) {
					continue
				}
			}
			if _, err := w.conns[1-from].Write(h.p); err != nil {
				w.conns[from].Close()
			}
		}
	})
	for p := first; ; {
		if p != nil {
			if fromPlacer {
				w.record(FromScheduler, p)
			}
			select {
			case queue <- held{p, time.Now()}:
			default: // more than any buffer holds: the sender would have been stopped long before
				w.conns[from].Close()
			}
		}
		var err error
		if p, err = readFrame(w.conns[from]); err != nil {
			break
		}
	}
	// What the far end sent before it closed still arrives, when the network lets it. A placer's own end is told
	// at once, and what it had sent is lost with it.
	if fromPlacer {
		w.recordClose()
	}
	close(queue)
	<-stopped
}

// recordClose writes down that the link is over for its placer, and lets nothing more pass.
func (w *connection) recordClose() {
	w.proxy.mu.Lock()
	defer w.proxy.mu.Unlock()
	w.closeRecorded, w.dead = true, true
	w.proxy.stateChanged.Broadcast()
	w.proxy.record.add(Entry{Kind: Closed, ConnID: w.id, Scheduler: w.scheduler, Peer: w.peer, PeerName: w.peerName})
}

// record writes a frame down, unless its placer's end is over: the record of a link ends with that end.
func (w *connection) record(s EntryKind, p []byte) bool {
	w.proxy.mu.Lock()
	defer w.proxy.mu.Unlock()
	if w.closeRecorded {
		return false
	}
	w.proxy.record.add(Entry{Kind: s, ConnID: w.id, Scheduler: w.scheduler, Peer: w.peer, PeerName: w.peerName, Frame: p[4:]})
	return true
}

// awaitDelivery waits while the link is cut and tells whether a frame arrives at all.
func (w *connection) awaitDelivery(p []byte, sent time.Time, fromPlacer bool) bool {
	n := w.proxy
	n.mu.Lock()
	f := n.fault(w.scheduler, w.peer, w.peerName)
	for f.Partitioned && !w.dead && !n.closed {
		n.stateChanged.Wait()
		f = n.fault(w.scheduler, w.peer, w.peerName)
	}
	dead := w.dead || n.closed
	lost := !fromPlacer && f.LoseAccepts > 0 && p[4] == 3 && n.rng.Float64() < f.LoseAccepts
	n.mu.Unlock()
	if dead {
		return false
	}
	if lost {
		w.record(Lost, p)
		return false
	}
	time.Sleep(f.Delay - time.Since(sent))
	return true
}

// parseGroup reads a frame with its length, unopened.
func readFrame(c net.Conn) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > protocol.MaxFrame {
		return nil, io.ErrUnexpectedEOF
	}
	p := make([]byte, 4+size)
	copy(p, head[:])
	_, err := io.ReadFull(c, p[4:])
	return p, err
}
