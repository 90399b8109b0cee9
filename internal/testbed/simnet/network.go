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

	splitOneIn       = 4 // writes that arrive in two parts
	smallBufferOneIn = 4 // connections whose buffer towards the peer is small
	smallBuffer      = 64
	largeBuffer      = 64 << 10
)

// Network is the clock, the connections and the chance of one simulation.
type Network struct {
	now       time.Duration // since the simulation began
	random    *rand.Rand
	scheduled schedule
	sequence  uint64 // of the last callback scheduled
	endpoints map[netip.AddrPort]*Endpoint
	listeners map[netip.AddrPort]*socket
}

// New makes a network whose chance is determined by a seed.
func New(seed uint64) *Network {
	return &Network{
		random:    rand.New(rand.NewPCG(seed, 0)),
		endpoints: map[netip.AddrPort]*Endpoint{},
		listeners: map[netip.AddrPort]*socket{},
	}
}

// Now is the time since the simulation began.
func (n *Network) Now() time.Duration { return n.now }

// After schedules a callback. Those of one moment run in the order of the calls.
func (n *Network) After(delay time.Duration, callback func()) {
	n.sequence++
	heap.Push(&n.scheduled, scheduledCall{n.now + max(0, delay), n.sequence, callback})
}

// next is when the next callback is due; false where there is none.
func (n *Network) next() (time.Duration, bool) {
	if len(n.scheduled) == 0 {
		return 0, false
	}
	return n.scheduled[0].at, true
}

// runDue runs the callbacks whose time has come, those that they schedule for this moment included.
func (n *Network) runDue() {
	for len(n.scheduled) > 0 && n.scheduled[0].at <= n.now {
		call, _ := heap.Pop(&n.scheduled).(scheduledCall) // it holds nothing else
		call.callback()
	}
}

// RunFor lets time pass for the peers alone, without a process.
func (n *Network) RunFor(span time.Duration) {
	end := n.now + span
	for at, ok := n.next(); ok && at <= end; at, ok = n.next() {
		n.now = max(n.now, at)
		n.runDue()
	}
	n.now = max(n.now, end)
}

// delay draws how long something is on its way.
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

// schedule is a heap of callbacks, the next one first.
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
