package simnet

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	pollerFD        = 3
	wakeupFD        = 4
	firstSocketFD   = 5
	iterationCost   = 10 * time.Microsecond // of the clock, for what the process does between two waits, at least
	costVariation   = 40 * time.Microsecond
	unlimitedFDs    = 1 << 20
	startOfClock    = 1_900_000_000 * time.Second // since the Unix epoch
	maxWaitIdleSpan = time.Hour                   // a process that waits for nothing at all is ended
)

var (
	// ErrKilled ends the wait of a process that was killed.
	ErrKilled = errors.New("killed")
	// ErrNothingHappens ends the wait of a process for which nothing will ever happen.
	ErrNothingHappens = errors.New("nothing happens any more")
	// ErrStopped ends the wait of a process at the end of the simulation.
	ErrStopped = errors.New("the simulation is over")
)

// Kernel implements eventloop.Kernel for one process on a network. The clock moves by a little at each Wait, which
// stands for the work of the process, and while the process waits.
type Kernel struct {
	// Limit bounds the open descriptors; what is open already stays so.
	Limit int
	// OnWait, if set, is called at the begin of each Wait; an error ends the process.
	OnWait func() error

	network   *Network
	sockets   []*socket // by descriptor, from firstSocketFD; nil: it is not open
	polling   bool
	woken     bool
	killed    bool
	iteration int
	stall     time.Duration // that lies ahead
}

// NewKernel makes the kernel of a process.
func (n *Network) NewKernel() *Kernel { return &Kernel{Limit: unlimitedFDs, network: n} }

// Kill has the process end: Wait fails, connections are reset, and nothing more is written.
func (k *Kernel) Kill() { k.killed = true }

// Stall has the process not run for a time, from now on. It is called while the process waits.
func (k *Kernel) Stall(span time.Duration) { k.stall += span }

// Iteration is the number of calls of Wait so far.
func (k *Kernel) Iteration() int { return k.iteration }

// OpenDescriptors is the number of descriptors that are open.
func (k *Kernel) OpenDescriptors() int {
	count := 0
	for _, s := range k.sockets {
		if s != nil {
			count++
		}
	}
	if k.polling {
		count += firstSocketFD - pollerFD
	}
	return count
}

// Now implements eventloop.Clock.
func (k *Kernel) Now() time.Time { return time.Unix(0, int64(startOfClock+k.network.now)) }

// Since implements eventloop.Clock.
func (k *Kernel) Since(earlier time.Time) time.Duration { return k.Now().Sub(earlier) }

// CPUTime implements eventloop.Clock: nothing takes processor time.
func (k *Kernel) CPUTime() time.Duration { return 0 }

// OpenPoller implements eventloop.Poller.
func (k *Kernel) OpenPoller() error {
	k.polling = true
	return nil
}

// ClosePoller implements eventloop.Poller.
func (k *Kernel) ClosePoller() { k.polling = false }

// Wake implements eventloop.Poller.
func (k *Kernel) Wake() { k.woken = true }

// ClearWake implements eventloop.Poller.
func (k *Kernel) ClearWake() { k.woken = false }

// Watch implements eventloop.Poller.
func (k *Kernel) Watch(fd int, events uint32) error {
	if s := k.lookup(fd); s != nil && s.conn != nil {
		s.conn.accepted = true
	}
	return k.ChangeWatch(fd, events)
}

// ChangeWatch implements eventloop.Poller.
func (k *Kernel) ChangeWatch(fd int, events uint32) error {
	s := k.lookup(fd)
	if s == nil {
		return unix.EBADF
	}
	s.watched, s.watchedFor = true, events
	return nil
}

// Wait implements eventloop.Poller: it lets time pass for the network until something is ready.
func (k *Kernel) Wait(events []unix.EpollEvent, timeout int) (int, error) {
	n := k.network
	k.iteration++
	n.now += iterationCost + time.Duration(n.random.Int64N(int64(costVariation)))
	if k.OnWait != nil {
		if err := k.OnWait(); err != nil {
			return 0, err
		}
	}
	deadline := n.now + maxWaitIdleSpan
	if timeout >= 0 {
		deadline = n.now + time.Duration(timeout)*time.Millisecond
	}
	for {
		k.runPeers()
		if k.killed {
			return 0, ErrKilled
		}
		if ready := k.ready(events); ready > 0 {
			return ready, nil
		}
		next, ok := n.next()
		if !ok && timeout < 0 {
			return 0, ErrNothingHappens
		}
		if !ok || next > deadline {
			n.now = deadline
			return 0, nil
		}
		n.now = next
	}
}

// runPeers runs what is due, and all that happens while the process is not run.
func (k *Kernel) runPeers() {
	k.network.runDue()
	for k.stall > 0 {
		span := k.stall
		k.stall = 0
		k.network.RunFor(span)
	}
}

// ready enters what is ready, in an order drawn by chance: epoll promises none.
func (k *Kernel) ready(events []unix.EpollEvent) int {
	found := events[:0:len(events)]
	if k.woken {
		found = append(found, unix.EpollEvent{Fd: wakeupFD, Events: unix.EPOLLIN})
	}
	for _, s := range k.sockets {
		if s == nil || !s.watched || len(found) == cap(found) {
			continue
		}
		if happened := s.events() & (s.watchedFor | unix.EPOLLERR | unix.EPOLLHUP); happened != 0 {
			found = append(found, unix.EpollEvent{Fd: int32(s.fd), Events: happened})
		}
	}
	k.network.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return len(found)
}

// lookup returns an open socket; nil where there is none.
func (k *Kernel) lookup(fd int) *socket {
	if fd < firstSocketFD || fd >= firstSocketFD+len(k.sockets) {
		return nil
	}
	return k.sockets[fd-firstSocketFD]
}

// open makes a socket with the lowest descriptor that is free.
func (k *Kernel) open() (*socket, error) {
	if k.OpenDescriptors() >= k.Limit {
		return nil, unix.EMFILE
	}
	index := slices.Index(k.sockets, nil)
	if index < 0 {
		index = len(k.sockets)
		k.sockets = append(k.sockets, nil)
	}
	s := &socket{fd: firstSocketFD + index}
	k.sockets[index] = s
	return s, nil
}
