package simnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	minDelay = 20 * time.Microsecond
	maxDelay = 2 * time.Millisecond

	splitOneIn       = 4 // one write in this many arrives in two parts
	smallBufferOneIn = 4 // one connection in this many has a small buffer towards the peer
	smallBuffer      = 64
	largeBuffer      = 64 << 10
)

// Network holds the clock, the scheduled callbacks and the random number generator of one simulation.
type Network struct {
	now       time.Duration // since the simulation began
	random    *rand.Rand
	scheduled schedule
	sequence  uint64 // number of the last callback scheduled
	endpoints map[netip.AddrPort]*Endpoint
	listeners map[netip.AddrPort]*socket
}

// New returns a network whose random choices are determined by a seed.
func New(seed uint64) *Network {
	return &Network{
		random:    rand.New(rand.NewPCG(seed, 0)),
		endpoints: map[netip.AddrPort]*Endpoint{},
		listeners: map[netip.AddrPort]*socket{},
	}
}

// Now returns the time since the simulation began.
func (n *Network) Now() time.Duration { return n.now }

// After schedules a callback. Callbacks due at the same time run in the order of the calls.
func (n *Network) After(delay time.Duration, callback func()) {
	n.sequence++
	heap.Push(&n.scheduled, scheduledCall{n.now + max(0, delay), n.sequence, callback})
}

// nextDue returns when the next callback is due, and false if there is none.
func (n *Network) nextDue() (time.Duration, bool) {
	if len(n.scheduled) == 0 {
		return 0, false
	}
	return n.scheduled[0].at, true
}

// runDue runs the callbacks that are due, including those that they schedule for the current time.
func (n *Network) runDue() {
	for len(n.scheduled) > 0 && n.scheduled[0].at <= n.now {
		call, _ := heap.Pop(&n.scheduled).(scheduledCall) // the heap holds no other type
		call.callback()
	}
}

// RunFor runs the callbacks of a span of time while no process runs.
func (n *Network) RunFor(span time.Duration) {
	end := n.now + span
	for at, ok := n.nextDue(); ok && at <= end; at, ok = n.nextDue() {
		n.now = max(n.now, at)
		n.runDue()
	}
	n.now = max(n.now, end)
}

// delay returns a random transit time.
func (n *Network) delay() time.Duration {
	return minDelay + time.Duration(n.random.Int64N(int64(maxDelay-minDelay)))
}

func (n *Network) oneIn(count int) bool { return n.random.IntN(count) == 0 }

// scheduledCall is a callback with the time at which it is due.
type scheduledCall struct {
	at       time.Duration
	sequence uint64
	callback func()
}

// schedule is a heap of callbacks with the earliest on top.
type schedule []scheduledCall

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) {
	if call, ok := x.(scheduledCall); ok {
		*s = append(*s, call)
	}
}

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := len(*s) - 1
	call := (*s)[last]
	(*s)[last] = scheduledCall{}
	*s = (*s)[:last]
	return call
}
