package simnet

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	pollerFD      = 3
	wakeupFD      = 4
	firstSocketFD = 5
	iterationCost = 10 * time.Microsecond // least time that the process takes between two waits
	costVariation = 40 * time.Microsecond // random time on top of that, at most
	unlimitedFDs  = 1 << 20
	startOfClock  = 1_900_000_000 * time.Second // since the Unix epoch
	maxIdleWait   = time.Hour                   // longest step of the clock in a wait without a timeout
)

var (
	// ErrKilled ends the wait of a process that was killed.
	ErrKilled = errors.New("killed")
	// ErrNoEvents ends the wait of a process that waits without a timeout when no callback is scheduled.
	ErrNoEvents = errors.New("no event is left to wait for")
	// ErrStopped ends the wait of a process at the end of the simulation.
	ErrStopped = errors.New("the simulation is over")
)

// Kernel implements eventloop.Kernel for one process on a network. The clock moves while the process waits, and by a
// small step at the beginning of each Wait, which stands for the work of the process.
type Kernel struct {
	// Limit is the maximum number of open descriptors. Lowering it closes none.
	Limit int
	// OnWait, if set, is called at the beginning of each Wait. Its error is returned by Wait and ends the process.
	OnWait func() error

	network   *Network
	sockets   []*socket // by descriptor, from firstSocketFD; nil: it is not open
	polling   bool
	woken     bool
	killed    bool
	iteration int
	stallLeft time.Duration // remaining time for which the process is suspended
}

// NewKernel returns a kernel for a process on the network.
func (n *Network) NewKernel() *Kernel { return &Kernel{Limit: unlimitedFDs, network: n} }

// Kill ends the process: Wait fails, connections are reset, and no further write succeeds.
func (k *Kernel) Kill() { k.killed = true }

// Stall suspends the process for a time from now on. It is called while the process waits.
func (k *Kernel) Stall(span time.Duration) { k.stallLeft += span }

// Iteration returns the number of calls of Wait so far.
func (k *Kernel) Iteration() int { return k.iteration }

// OpenDescriptors returns the number of open descriptors.
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

// CPUTime implements eventloop.Clock. The simulated process uses no processor time.
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
	s.watched, s.watchedEvents = true, events
	return nil
}

// Wait implements eventloop.Poller. It runs the network until a descriptor is ready or the timeout is over.
func (k *Kernel) Wait(events []unix.EpollEvent, timeout int) (int, error) {
	n := k.network
	k.iteration++
	n.now += iterationCost + time.Duration(n.random.Int64N(int64(costVariation)))
	if k.OnWait != nil {
		if err := k.OnWait(); err != nil {
			return 0, err
		}
	}
	deadline := n.now + maxIdleWait
	if timeout >= 0 {
		deadline = n.now + time.Duration(timeout)*time.Millisecond
	}
	for {
		k.runPeers()
		if k.killed {
			return 0, ErrKilled
		}
		if ready := k.collectReady(events); ready > 0 {
			return ready, nil
		}
		next, ok := n.nextDue()
		if !ok && timeout < 0 {
			return 0, ErrNoEvents
		}
		if !ok || next > deadline {
			n.now = deadline
			return 0, nil
		}
		n.now = next
	}
}

// runPeers runs the callbacks that are due, and those that become due while the process is stalled.
func (k *Kernel) runPeers() {
	k.network.runDue()
	for k.stallLeft > 0 {
		span := k.stallLeft
		k.stallLeft = 0
		k.network.RunFor(span)
	}
}

// collectReady fills events with the ready descriptors and returns their number. The order of the descriptors is
// random, as epoll guarantees no order.
func (k *Kernel) collectReady(events []unix.EpollEvent) int {
	found := events[:0:len(events)]
	if k.woken {
		found = append(found, unix.EpollEvent{Fd: wakeupFD, Events: unix.EPOLLIN})
	}
	for _, s := range k.sockets {
		if s == nil || !s.watched || len(found) == cap(found) {
			continue
		}
		if pending := s.events() & (s.watchedEvents | unix.EPOLLERR | unix.EPOLLHUP); pending != 0 {
			found = append(found, unix.EpollEvent{Fd: int32(s.fd), Events: pending})
		}
	}
	k.network.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return len(found)
}

// lookup returns the socket of a descriptor, or nil if the descriptor is not open.
func (k *Kernel) lookup(fd int) *socket {
	if fd < firstSocketFD || fd >= firstSocketFD+len(k.sockets) {
		return nil
	}
	return k.sockets[fd-firstSocketFD]
}

// openSocket returns a new socket with the lowest free descriptor.
func (k *Kernel) openSocket() (*socket, error) {
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
