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
	Cut         bool    // nothing passes; what was sent waits until it ends, or the link does
	LoseAnswers float64 // part of the machines' yeses that never arrive
	Delay       time.Duration
}

// Net is the network of a trial: taps, and the faults between placers and what they talk to.
type Net struct {
	record *Writer

	mu      sync.Mutex
	changed *sync.Cond
	fault   func(placer string, far protocol.Role, name string) Fault
	links   map[*wire]bool
	taps    []net.Listener
	last    uint32
	rng     *rand.Rand
	ended   bool
	working sync.WaitGroup
}

func NewNet(record *Writer, seed uint64) *Net {
	n := &Net{record: record, links: map[*wire]bool{}, rng: rand.New(rand.NewPCG(seed, 3))}
	n.changed = sync.NewCond(&n.mu)
	n.fault = func(string, protocol.Role, string) Fault { return Fault{} }
	return n
}

// Set puts another rule of faults in force; it is asked for each frame.
func (n *Net) Set(fault func(placer string, far protocol.Role, name string) Fault) {
	n.mu.Lock()
	n.fault = fault
	n.changed.Broadcast()
	n.mu.Unlock()
}

// Reset resets every link for which which is true, at both ends.
func (n *Net) Reset(which func(placer string, far protocol.Role, name string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for w := range n.links {
		if which(w.placer, w.far, w.name) {
			count++
			w.reset()
		}
	}
	return count
}

// Close ends all taps and links.
func (n *Net) Close() {
	n.mu.Lock()
	n.ended = true
	for _, t := range n.taps {
		t.Close()
	}
	for w := range n.links {
		w.reset()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.working.Wait()
}

// Tap opens a way to what is at the address that to gives. Of the two ends of a link through it one is a placer;
// far and name are the other's, where it is the one called, and else the placer's own name is name and far is
// the role of the caller.
func (n *Net) Tap(far protocol.Role, name string, to func() string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.taps = append(n.taps, l)
	n.mu.Unlock()
	n.working.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.working.Go(func() { n.carry(c, far, name, to) })
		}
	})
	return l.Addr().String(), nil
}

// Quiet waits until all that a dead placer had sent is written down.
func (n *Net) Quiet(placer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for open := true; open; {
		open = false
		for w := range n.links {
			open = open || w.placer == placer && !w.over
		}
		if open {
			n.changed.Wait()
		}
	}
}

// wire is one link through a tap.
type wire struct {
	n           *Net
	id          uint32
	caller, far protocol.Role
	placer      string
	name        string
	ends        [2]net.Conn // the caller, the called
	dead        bool        // nothing more passes
	over        bool        // and its end is written down
}

func (w *wire) reset() {
	w.dead = true
	for _, c := range w.ends {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
	w.n.changed.Broadcast()
}

// carry reads the caller's greeting, calls the other end and passes frames both ways until one end closes.
func (n *Net) carry(caller net.Conn, far protocol.Role, name string, to func() string) {
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
	w := &wire{n: n, caller: hello.Role, far: far, placer: hello.Name, name: name}
	if far == protocol.RoleClient { // an owner calls a placer's door
		w.placer, w.name = name, hello.Name
	}
	called, err := net.DialTimeout("tcp", to(), time.Second)
	if err != nil {
		caller.(*net.TCPConn).SetLinger(0)
		return
	}
	w.ends = [2]net.Conn{caller, called}
	n.mu.Lock()
	if n.ended {
		n.mu.Unlock()
		called.Close()
		return
	}
	n.last++
	w.id = n.last
	n.links[w] = true
	n.mu.Unlock()
	n.record.put(Entry{Sort: Opened, Link: w.id, Placer: w.placer, Far: w.far, Name: w.name})
	done := make(chan struct{}, 2)
	n.working.Go(func() { w.pass(0, p); done <- struct{}{} })
	n.working.Go(func() { w.pass(1, nil); done <- struct{}{} })
	<-done
	n.mu.Lock()
	w.dead = true
	n.changed.Broadcast()
	n.mu.Unlock()
	called.Close()
	caller.Close()
	<-done
	n.mu.Lock()
	delete(n.links, w)
	n.mu.Unlock()
}

// pass carries what one end sends to the other. Reading never waits for a fault to end: what a placer sent is
// written down when it was sent.
func (w *wire) pass(from int, first []byte) {
	type held struct {
		p  []byte
		at time.Time
	}
	queue := make(chan held, 100_000)
	stopped := make(chan struct{})
	fromPlacer := (w.far == protocol.RoleClient) == (from == 1)
	w.n.working.Go(func() {
		defer close(stopped)
		for h := range queue {
			if !w.let(h.p, h.at, fromPlacer) {
				continue
			}
			if !fromPlacer {
				// Before it goes: a placer may answer before this goroutine runs again, and the record
				// must not show the answer first.
				if !w.put(ToPlacer, h.p) {
					continue
				}
			}
			if _, err := w.ends[1-from].Write(h.p); err != nil {
				w.ends[from].Close()
			}
		}
	})
	for p := first; ; {
		if p != nil {
			if fromPlacer {
				w.put(FromPlacer, p)
			}
			select {
			case queue <- held{p, time.Now()}:
			default: // more than any buffer holds: the sender would have been stopped long before
				w.ends[from].Close()
			}
		}
		var err error
		if p, err = readFrame(w.ends[from]); err != nil {
			break
		}
	}
	// What the far end sent before it closed still arrives, when the network lets it. A placer's own end is told
	// at once, and what it had sent is lost with it.
	if fromPlacer {
		w.end()
	}
	close(queue)
	<-stopped
}

// end writes down that the link is over for its placer, and lets nothing more pass.
func (w *wire) end() {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	w.over, w.dead = true, true
	w.n.changed.Broadcast()
	w.n.record.put(Entry{Sort: Closed, Link: w.id, Placer: w.placer, Far: w.far, Name: w.name})
}

// put writes a frame down, unless its placer's end is over: the record of a link ends with that end.
func (w *wire) put(s Sort, p []byte) bool {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	if w.over {
		return false
	}
	w.n.record.put(Entry{Sort: s, Link: w.id, Placer: w.placer, Far: w.far, Name: w.name, Frame: p[4:]})
	return true
}

// let waits while the link is cut and tells whether a frame arrives at all.
func (w *wire) let(p []byte, sent time.Time, fromPlacer bool) bool {
	n := w.n
	n.mu.Lock()
	f := n.fault(w.placer, w.far, w.name)
	for f.Cut && !w.dead && !n.ended {
		n.changed.Wait()
		f = n.fault(w.placer, w.far, w.name)
	}
	dead := w.dead || n.ended
	lost := !fromPlacer && f.LoseAnswers > 0 && p[4] == 3 && n.rng.Float64() < f.LoseAnswers
	n.mu.Unlock()
	if dead {
		return false
	}
	if lost {
		w.put(Lost, p)
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
