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

// WorkloadProfile is one sort of containers that owners submit.
type WorkloadProfile struct {
	Share            float64
	Services         int
	Cores            []float64 // one of them, by chance
	Memory           []float64
	MeanRuntime      time.Duration // on average
	PlacementTimeout time.Duration
	RetryRejected    bool // asked again after a push-back
	RetryUnanswered  bool // and when nothing was heard
}

// Tally counts what owners saw. Every container a client submits ends in one of the first five.
type Tally struct {
	Submitted        int
	Placed           int
	Rejected         int
	Failed           int
	NotAdmitted      int
	Unanswered       int // the link to the placer ended first
	DuplicateReplies int // answers beyond the one
	Retried          int // submissions that came before
	Ended            int // containers placed that ended while their owner listened
	Evicted          int
	Lost             int
	Unsent           int // no placer could be reached
	Pending          int
	PlacedLate       int                     // of the placed, those that took more than a second
	PlacementLatency *hdrhistogram.Histogram // submission to Placed, in microseconds
}

// Clients submit work to placers in open loop: the next submission never waits for an answer.
type Clients struct {
	SchedulerAddrs []string // of placers
	Workloads      []WorkloadProfile
	Tenants        int
	Backoff        func(tries int, holdOff time.Duration) time.Duration // until it is asked again; nil: a second, or the hold-off
	OnPlaced       func(kind int, took time.Duration)                   // of each yes; may be nil

	mu          sync.Mutex
	rate        float64
	conns       []*clientConn
	outstanding map[string]*submission
	tally       Tally
	rng         *rand.Rand
	lastID      int
	stop        chan struct{}
	background  sync.WaitGroup
}

type submission struct {
	spec           protocol.ContainerSpec
	workload       int
	timeToDeadline time.Duration
	sentAt         time.Time
	scheduler      int
	placed         bool
	retries        int
}

type clientConn struct {
	net.Conn
	frames chan protocol.Frame
}

// Start begins to submit so many a second.
func (o *Clients) Start(rate float64, seed uint64) {
	o.rate, o.rng, o.stop, o.outstanding = rate, rand.New(rand.NewPCG(seed, 5)), make(chan struct{}), map[string]*submission{}
	o.tally.PlacementLatency = hdrhistogram.New(1, 60_000_000, 3)
	o.conns = make([]*clientConn, len(o.SchedulerAddrs))
	for i := range o.SchedulerAddrs {
		o.background.Go(func() { o.maintainConn(i) })
	}
	o.background.Go(o.submitAll)
}

// SetRate changes how much is submitted.
func (o *Clients) SetRate(perSecond float64) {
	o.mu.Lock()
	o.rate = perSecond
	o.mu.Unlock()
}

// Pending is the number of containers without an answer.
func (o *Clients) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, w := range o.outstanding {
		if !w.placed {
			n++
		}
	}
	return n
}

// Snapshot is the tally so far, without the times.
func (o *Clients) Snapshot() Tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tally
	t.PlacementLatency = nil
	return t
}

// Retried is the number of submissions so far that came before.
func (o *Clients) Retried() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tally.Retried
}

// Close ends the owners and returns what they saw.
func (o *Clients) Close() Tally {
	close(o.stop)
	o.mu.Lock()
	for _, l := range o.conns {
		if l != nil {
			l.Close()
		}
	}
	o.mu.Unlock()
	o.background.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.outstanding {
		if !w.placed {
			o.tally.Pending++
		}
	}
	return o.tally
}

func (o *Clients) pause(d time.Duration) bool {
	select {
	case <-o.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// Redeploy cancels a part of what is placed and asks for all of it again, as a redeploy does.
func (o *Clients) Redeploy(part float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, w := range o.outstanding {
		l := o.conns[w.scheduler]
		if !w.placed || l == nil || o.rng.Float64() >= part {
			continue
		}
		delete(o.outstanding, id)
		select {
		case l.frames <- &protocol.CancelContainer{ContainerID: id}:
		default:
		}
		fresh := *w
		fresh.placed, fresh.spec.IdempotencyKey = false, ""
		o.submit(&fresh)
	}
}

// maintainConn holds a link to one door and reads it.
func (o *Clients) maintainConn(i int) {
	for o.pause(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", o.SchedulerAddrs[i], time.Second)
		if err != nil {
			o.pause(100 * time.Millisecond)
			continue
		}
		hello, _ := protocol.Append(nil, protocol.NewHello(protocol.RoleClient, fmt.Sprint("owners-", i), uint64(time.Now().UnixMicro())))
		c.Write(hello)
		l := &clientConn{c, make(chan protocol.Frame, 10_000)}
		if f, err := protocol.ReadFrame(c, 4096); err != nil {
			c.Close()
			continue
		} else if _, ok := f.(*protocol.Hello); !ok {
			c.Close()
			continue
		}
		o.mu.Lock()
		o.conns[i] = l
		o.mu.Unlock()
		done := make(chan struct{})
		o.background.Go(func() { l.writeAll(done) })
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				break
			}
			o.handleFrame(i, f)
		}
		close(done)
		c.Close()
		o.connectionLost(i)
	}
}

func (l *clientConn) writeAll(done chan struct{}) {
	var p []byte
	for {
		select {
		case f := <-l.frames:
			p, _ = protocol.Append(p[:0], f)
			for len(l.frames) > 0 && len(p) < 32<<10 {
				p, _ = protocol.Append(p, <-l.frames)
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

// connectionLost settles what was open at a door whose link has ended. What may have run and must not run twice is left
// alone; the rest is asked again elsewhere.
func (o *Clients) connectionLost(i int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns[i] = nil
	for id, w := range o.outstanding {
		if w.scheduler != i {
			continue
		}
		delete(o.outstanding, id)
		if w.placed {
			continue
		}
		o.tally.Unanswered++
		if o.Workloads[w.workload].RetryUnanswered {
			o.retryLater(w, 200*time.Millisecond)
		}
	}
}

// retryLater submits again, over a span of chance that doubles with each try.
func (o *Clients) retryLater(w *submission, base time.Duration) {
	if w.retries >= 6 && o.Backoff == nil || w.retries >= 12 {
		return
	}
	wait := base
	if o.Backoff == nil {
		wait += time.Duration(o.rng.Float64() * float64(base) * float64(int(1)<<min(w.retries, 5)))
	}
	again := &submission{spec: w.spec, workload: w.workload, timeToDeadline: w.timeToDeadline, retries: w.retries + 1}
	again.spec.ClientRetry = true
	o.background.Go(func() {
		if o.pause(wait) {
			o.mu.Lock()
			o.tally.Retried++
			o.submit(again)
			o.mu.Unlock()
		}
	})
}

func (o *Clients) submitAll() {
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
		o.submit(o.drawSubmission())
		o.mu.Unlock()
	}
}

func (o *Clients) drawSubmission() *submission {
	x, kind := o.rng.Float64(), 0
	for i, w := range o.Workloads {
		if kind = i; x < w.Share {
			break
		}
		x -= w.Share
	}
	w := &o.Workloads[kind]
	n := o.rng.IntN(w.Services)
	pick := o.rng.IntN(len(w.Cores))
	life := time.Duration(float64(w.MeanRuntime) * (0.3 + 1.4*o.rng.Float64()))
	return &submission{workload: kind, timeToDeadline: w.PlacementTimeout, spec: protocol.ContainerSpec{Service: fmt.Sprintf("service-%d-%d", kind, n), WorkloadClass: kind,
		Tenant: o.rng.IntN(max(1, o.Tenants)), Cores: w.Cores[pick], Memory: w.Memory[pick],
		ExpectedRuntime: protocol.Duration(life.Microseconds() / 100)}}
}

// submit submits to a placer by chance, or to the next that can be reached.
func (o *Clients) submit(w *submission) {
	o.lastID++
	w.spec.ContainerID = fmt.Sprint("c", o.lastID)
	if w.spec.IdempotencyKey == "" {
		w.spec.IdempotencyKey = fmt.Sprint("key", o.lastID)
	}
	o.tally.Submitted++
	first := o.rng.IntN(len(o.conns))
	for i := range o.conns {
		n := (first + i) % len(o.conns)
		l := o.conns[n]
		if l == nil {
			continue
		}
		w.scheduler, w.sentAt = n, time.Now()
		o.outstanding[w.spec.ContainerID] = w
		select {
		case l.frames <- &protocol.Submit{TimeToDeadline: protocol.Duration(w.timeToDeadline.Microseconds() / 100), Spec: w.spec}:
		default:
			l.Close()
		}
		return
	}
	o.tally.Unsent++
}

func (o *Clients) handleFrame(door int, f protocol.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch f := f.(type) {
	case *protocol.PlacementReply:
		w := o.outstanding[f.ContainerID]
		if w == nil || w.placed || w.scheduler != door {
			o.tally.DuplicateReplies++
			return
		}
		switch f.Verdict {
		case protocol.VerdictPlaced:
			w.placed = true
			o.tally.Placed++
			took := time.Since(w.sentAt)
			o.tally.PlacementLatency.RecordValue(max(1, took.Microseconds()))
			if took > time.Second {
				o.tally.PlacedLate++
			}
			if o.OnPlaced != nil {
				o.OnPlaced(w.workload, took)
			}
			return
		case protocol.VerdictRejected:
			o.tally.Rejected++
		case protocol.VerdictFailed:
			o.tally.Failed++
		case protocol.VerdictNotAdmitted:
			o.tally.NotAdmitted++
		}
		delete(o.outstanding, f.ContainerID)
		if f.Verdict != protocol.VerdictFailed && o.Workloads[w.workload].RetryRejected {
			hold := time.Duration(f.RetryAfter) * 100 * time.Microsecond
			if o.Backoff != nil {
				o.retryLater(w, o.Backoff(w.retries, hold))
			} else {
				o.retryLater(w, max(time.Second, hold))
			}
		}
	case *protocol.Termination:
		w := o.outstanding[f.ContainerID]
		if w == nil || !w.placed {
			return
		}
		delete(o.outstanding, f.ContainerID)
		o.tally.Ended++
		switch {
		case f.Reason == protocol.ReasonOutOfMemory:
			o.tally.Evicted++
		case f.Outcome == protocol.OutcomeLost:
			o.tally.Lost++
		}
	}
}
