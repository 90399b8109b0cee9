package eventloop

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferSize        = 64 << 10 // bytes read from a connection at once
	maxEventsPerIteration = 512
	maxWaitMilliseconds   = 60_000
	microsecondsPerTick   = 100
)

// Loop is one event loop. Create it with New and run it with Run.
type Loop struct {
	kernel        Kernel
	spareFD       int // reserved to refuse connections when descriptors run out; -1: none
	accept4       func(fd, flags int) (int, unix.Sockaddr, error)
	startedAt     time.Time
	base          Tick // value of the loop's clock at started
	now           Tick
	wheel         *TimerWheel
	state         loopState
	onIteration   func()
	onFlushed     func()
	busy          time.Duration // time spent in iterations, without the waiting
	iterations    int
	stalls        stallMonitor
	posts         postQueue
	sources       map[int]eventSource // by descriptor
	flushQueue    []*Conn             // without duplicates, see Conn.flushQueued
	buffer        []byte              // read buffer shared by all connections
	events        []unix.EpollEvent
	connCount     int
	peakConnCount int
}

// New creates a loop whose Run calls onIteration once in every iteration, after sockets and timers and before the
// writes. It fails if the epoll or eventfd descriptor cannot be created.
func New(onIteration func()) (*Loop, error) { return NewOn(&systemKernel{}, onIteration) }

// NewOn is like New and uses the given kernel in place of the operating system. A kernel serves one loop only.
func NewOn(kernel Kernel, onIteration func()) (*Loop, error) {
	if err := kernel.OpenPoller(); err != nil {
		return nil, err
	}
	now := kernel.Now()
	l := &Loop{
		kernel:      kernel,
		accept4:     kernel.Accept,
		startedAt:   now,
		base:        Tick(now.UnixMicro() / microsecondsPerTick),
		onIteration: onIteration,
		posts:       postQueue{kernel: kernel},
		sources:     map[int]eventSource{},
		buffer:      make([]byte, readBufferSize),
		events:      make([]unix.EpollEvent, maxEventsPerIteration),
	}
	l.now = l.base
	l.wheel = NewTimerWheel(l.now)
	l.stalls.loop = l
	l.openSpareFD()
	return l, nil
}

// Run runs the loop until Stop, or until StopWhenIdle finds no more events, and then returns nil. It returns an error
// if waiting for events fails. It closes every connection and listener before it returns. It must be called only once.
func (l *Loop) Run() error {
	defer l.shutdown()
	for l.state != loopStopping {
		ready, err := l.kernel.Wait(l.events, l.waitTimeout())
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll: %w", err)
		}
		if l.state == loopDraining && ready == 0 {
			return nil
		}
		l.state = loopWaiting
		l.iterate(max(ready, 0))
	}
	return nil
}

// iterate runs one iteration on the first ready entries of events, in the order that the package documents.
func (l *Loop) iterate(ready int) {
	began := l.kernel.Since(l.startedAt)
	l.now = max(l.now, l.ReadClock())
	late := l.stalls.lateness()
	l.posts.run()
	l.dispatch(ready)
	l.wheel.Advance(l.now)
	if l.state != loopStopping {
		l.onIteration()
	}
	l.flushConns()
	if l.onFlushed != nil {
		l.onFlushed()
	}
	l.iterations++
	busy := l.kernel.Since(l.startedAt) - began
	l.busy += busy
	l.stalls.recordIteration(late, busy)
}

// flushConns writes the output of queued connections. A connection that closes meanwhile is appended to the queue and
// released by the same call.
func (l *Loop) flushConns() {
	flushed := 0
	for flushed < len(l.flushQueue) {
		c := l.flushQueue[flushed]
		flushed++
		c.flushQueued = false
		if c.state == connClosed {
			c.release()
		} else {
			c.flush()
		}
	}
	l.flushQueue = l.flushQueue[:0]
}

// OnFlushed sets the callback that runs at the end of each iteration, after pending output was written as far as the
// sockets accept it.
func (l *Loop) OnFlushed(callback func()) { l.onFlushed = callback }

// SkipWait makes the next iteration begin without waiting for an event.
func (l *Loop) SkipWait() { l.requestState(loopSkippingWait) }

// StopWhenIdle ends Run after this iteration if no event has arrived by then. Otherwise one more iteration handles the
// events and may call StopWhenIdle again, so that input that peers had sent is not left unhandled.
func (l *Loop) StopWhenIdle() { l.requestState(loopDraining) }

// Stop ends Run after the iteration that handles the call. Pending output is flushed once more. Any goroutine may call
// it.
func (l *Loop) Stop() {
	l.Post(func() { l.requestState(loopStopping) })
}

// shutdown ends Run: it writes the output that sockets accept at once, notifies handlers with ErrClosed, and closes
// every descriptor.
func (l *Loop) shutdown() {
	l.posts.close()
	for _, fd := range slices.Sorted(maps.Keys(l.sources)) {
		if source := l.sources[fd]; source != nil { // nil: closed during the shutdown of an earlier source
			source.shutdown()
		}
	}
	l.flushConns()
	l.closeDescriptors()
}

// Now is the time at the start of this iteration, in ticks since the Unix epoch.
func (l *Loop) Now() Tick { return l.now }

// Elapsed reads the clock and returns the time since New, for measurements within an iteration.
func (l *Loop) Elapsed() time.Duration { return l.kernel.Since(l.startedAt) }

// Iterations is the number of iterations so far and the time spent in them, excluding the time spent waiting.
func (l *Loop) Iterations() (count int, busy time.Duration) { return l.iterations, l.busy }

// ConnCount is the number of connections that are open or being opened.
func (l *Loop) ConnCount() int { return l.connCount }

// PeakConnCount is the largest ConnCount so far.
func (l *Loop) PeakConnCount() int { return l.peakConnCount }

func (l *Loop) countConn() {
	l.connCount++
	l.peakConnCount = max(l.peakConnCount, l.connCount)
}
