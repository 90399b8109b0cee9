package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Work is one sort of containers that owners submit.
type Work struct {
	Share     float64
	Services  int
	Cores     []float64 // one of them, by chance
	Memory    []float64
	Life      time.Duration // on average
	HardStop  time.Duration
	Again     bool // asked again after a push-back
	AgainLost bool // and when nothing was heard
}

// Tally counts what owners saw. Every container a client submits ends in one of the first five.
type Tally struct {
	Submitted  int
	Placed     int
	PushedBack int
	GivenUp    int
	TurnedAway int
	NoAnswer   int // the link to the placer ended first
	Twice      int // answers beyond the one
	Again      int // submissions that came before
	Ended      int // containers placed that ended while their owner listened
	Evicted    int
	Lost       int
	Unsent     int // no placer could be reached
	Waiting    int
	Late       int                     // of the placed, those that took more than a second
	Took       *hdrhistogram.Histogram // submission to Placed, in microseconds
}

// Owners submit work to placers in open loop: the next submission never waits for an answer.
type Owners struct {
	Doors     []string // of placers
	Works     []Work
	Customers int
	Back      func(tries int, holdOff time.Duration) time.Duration // until it is asked again; nil: a second, or the hold-off
	OnPlaced  func(kind int, took time.Duration)                   // of each yes; may be nil

	mu      sync.Mutex
	rate    float64
	links   []*doorLink
	open    map[string]*wanted
	tally   Tally
	rng     *rand.Rand
	next    int
	stop    chan struct{}
	working sync.WaitGroup
}

type wanted struct {
	work   protocol.ContainerSpec
	kind   int
	left   time.Duration
	sentAt time.Time
	door   int
	placed bool
	tries  int
}

type doorLink struct {
	net.Conn
	out chan protocol.Frame
}

// Start begins to submit so many a second.
func (o *Owners) Start(rate float64, seed uint64) {
	o.rate, o.rng, o.stop, o.open = rate, rand.New(rand.NewPCG(seed, 5)), make(chan struct{}), map[string]*wanted{}
	o.tally.Took = hdrhistogram.New(1, 60_000_000, 3)
	o.links = make([]*doorLink, len(o.Doors))
	for i := range o.Doors {
		o.working.Go(func() { o.keepLink(i) })
	}
	o.working.Go(o.submitAll)
}

// Rate changes how much is submitted.
func (o *Owners) Rate(perSecond float64) {
	o.mu.Lock()
	o.rate = perSecond
	o.mu.Unlock()
}

// Waiting is the number of containers without an answer.
func (o *Owners) Waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, w := range o.open {
		if !w.placed {
			n++
		}
	}
	return n
}

// Snapshot is the tally so far, without the times.
func (o *Owners) Snapshot() Tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tally
	t.Took = nil
	return t
}

// Again is the number of submissions so far that came before.
func (o *Owners) Again() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tally.Again
}

// Close ends the owners and returns what they saw.
func (o *Owners) Close() Tally {
	close(o.stop)
	o.mu.Lock()
	for _, l := range o.links {
		if l != nil {
			l.Close()
		}
	}
	o.mu.Unlock()
	o.working.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.open {
		if !w.placed {
			o.tally.Waiting++
		}
	}
	return o.tally
}

func (o *Owners) pause(d time.Duration) bool {
	select {
	case <-o.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// Reask cancels a part of what is placed and asks for all of it again, as a redeploy does.
func (o *Owners) Reask(part float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, w := range o.open {
		l := o.links[w.door]
		if !w.placed || l == nil || o.rng.Float64() >= part {
			continue
		}
		delete(o.open, id)
		select {
		case l.out <- &protocol.CancelContainer{ContainerID: id}:
		default:
		}
		fresh := *w
		fresh.placed, fresh.work.IdempotencyKey = false, ""
		o.send(&fresh)
	}
}

// keepLink holds a link to one door and reads it.
func (o *Owners) keepLink(i int) {
	for o.pause(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", o.Doors[i], time.Second)
		if err != nil {
			o.pause(100 * time.Millisecond)
			continue
		}
		hello, _ := protocol.Append(nil, protocol.NewHello(protocol.RoleClient, fmt.Sprint("owners-", i), uint64(time.Now().UnixMicro())))
		c.Write(hello)
		l := &doorLink{c, make(chan protocol.Frame, 10_000)}
		if f, err := protocol.ReadFrame(c, 4096); err != nil {
			c.Close()
			continue
		} else if _, ok := f.(*protocol.Hello); !ok {
			c.Close()
			continue
		}
		o.mu.Lock()
		o.links[i] = l
		o.mu.Unlock()
		done := make(chan struct{})
		o.working.Go(func() { l.writeAll(done) })
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				break
			}
			o.heard(i, f)
		}
		close(done)
		c.Close()
		o.broke(i)
	}
}

func (l *doorLink) writeAll(done chan struct{}) {
	var p []byte
	for {
		select {
		case f := <-l.out:
			p, _ = protocol.Append(p[:0], f)
			for len(l.out) > 0 && len(p) < 32<<10 {
				p, _ = protocol.Append(p, <-l.out)
			}
			if _, err := l.Write(p); err != nil {
				l.Close()
				return
			}
		case <-done:
			return
		}
	}
}

// broke settles what was open at a door whose link has ended. What may have run and must not run twice is left
// alone; the rest is asked again elsewhere.
func (o *Owners) broke(i int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.links[i] = nil
	for id, w := range o.open {
		if w.door != i {
			continue
		}
		delete(o.open, id)
		if w.placed {
			continue
		}
		o.tally.NoAnswer++
		if o.Works[w.kind].AgainLost {
			o.later(w, 200*time.Millisecond)
		}
	}
}

// later submits again, over a span of chance that doubles with each try.
func (o *Owners) later(w *wanted, base time.Duration) {
	if w.tries >= 6 && o.Back == nil || w.tries >= 12 {
		return
	}
	wait := base
	if o.Back == nil {
		wait += time.Duration(o.rng.Float64() * float64(base) * float64(int(1)<<min(w.tries, 5)))
	}
	again := &wanted{work: w.work, kind: w.kind, left: w.left, tries: w.tries + 1}
	again.work.ClientRetry = true
	o.working.Go(func() {
		if o.pause(wait) {
			o.mu.Lock()
			o.tally.Again++
			o.send(again)
			o.mu.Unlock()
		}
	})
}

func (o *Owners) submitAll() {
	next := time.Now()
	for {
		o.mu.Lock()
		rate := o.rate
		o.mu.Unlock()
		if rate <= 0 {
			if !o.pause(10 * time.Millisecond) {
				return
			}
			next = time.Now()
			continue
		}
		if wait := time.Until(next); wait > 0 && !o.pause(wait) {
			return
		}
		select {
		case <-o.stop:
			return
		default:
		}
		o.mu.Lock()
		next = next.Add(time.Duration(o.rng.ExpFloat64() / rate * float64(time.Second)))
		o.send(o.draw())
		o.mu.Unlock()
	}
}

func (o *Owners) draw() *wanted {
	x, kind := o.rng.Float64(), 0
	for i, w := range o.Works {
		if kind = i; x < w.Share {
			break
		}
		x -= w.Share
	}
	w := &o.Works[kind]
	n := o.rng.IntN(w.Services)
	pick := o.rng.IntN(len(w.Cores))
	life := time.Duration(float64(w.Life) * (0.3 + 1.4*o.rng.Float64()))
	return &wanted{kind: kind, left: w.HardStop, work: protocol.ContainerSpec{Service: fmt.Sprintf("service-%d-%d", kind, n), WorkloadClass: kind,
		Tenant: o.rng.IntN(max(1, o.Customers)), Cores: w.Cores[pick], Memory: w.Memory[pick],
		ExpectedRuntime: protocol.Duration(life.Microseconds() / 100)}}
}

// send submits to a placer by chance, or to the next that can be reached.
func (o *Owners) send(w *wanted) {
	o.next++
	w.work.ContainerID = fmt.Sprint("c", o.next)
	if w.work.IdempotencyKey == "" {
		w.work.IdempotencyKey = fmt.Sprint("key", o.next)
	}
	o.tally.Submitted++
	first := o.rng.IntN(len(o.links))
	for i := range o.links {
		n := (first + i) % len(o.links)
		l := o.links[n]
		if l == nil {
			continue
		}
		w.door, w.sentAt = n, time.Now()
		o.open[w.work.ContainerID] = w
		select {
		case l.out <- &protocol.Submit{TimeToDeadline: protocol.Duration(w.left.Microseconds() / 100), Spec: w.work}:
		default:
			l.Close()
		}
		return
	}
	o.tally.Unsent++
}

func (o *Owners) heard(door int, f protocol.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch f := f.(type) {
	case *protocol.PlacementReply:
		w := o.open[f.ContainerID]
		if w == nil || w.placed || w.door != door {
			o.tally.Twice++
			return
		}
		switch f.Verdict {
		case protocol.VerdictPlaced:
			w.placed = true
			o.tally.Placed++
			took := time.Since(w.sentAt)
			o.tally.Took.RecordValue(max(1, took.Microseconds()))
			if took > time.Second {
				o.tally.Late++
			}
			if o.OnPlaced != nil {
				o.OnPlaced(w.kind, took)
			}
			return
		case protocol.VerdictRejected:
			o.tally.PushedBack++
		case protocol.VerdictFailed:
			o.tally.GivenUp++
		case protocol.VerdictNotAdmitted:
			o.tally.TurnedAway++
		}
		delete(o.open, f.ContainerID)
		if f.Verdict != protocol.VerdictFailed && o.Works[w.kind].Again {
			hold := time.Duration(f.RetryAfter) * 100 * time.Microsecond
			if o.Back != nil {
				o.later(w, o.Back(w.tries, hold))
			} else {
				o.later(w, max(time.Second, hold))
			}
		}
	case *protocol.Termination:
		w := o.open[f.ContainerID]
		if w == nil || !w.placed {
			return
		}
		delete(o.open, f.ContainerID)
		o.tally.Ended++
		switch {
		case f.Reason == protocol.ReasonOutOfMemory:
			o.tally.Evicted++
		case f.Outcome == protocol.OutcomeLost:
			o.tally.Lost++
		}
	}
}
