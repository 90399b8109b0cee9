package eventloop

import (
	"sync/atomic"
	"testing"
	"time"

	"glenport/internal/testutil"

	"golang.org/x/sys/unix"
)

// pausingKernel is the system's, on a clock that a test sets forward, as if the process had not run.
type pausingKernel struct {
	systemKernel
	paused     time.Duration
	nextWait   time.Duration // by which the next wait is longer
	cpuSamples atomic.Int64
}

// Since implements Clock.
func (k *pausingKernel) Since(earlier time.Time) time.Duration { return time.Since(earlier) + k.paused }

// CPUTime implements Clock: a millisecond passes from one call to the next.
func (k *pausingKernel) CPUTime() time.Duration {
	return time.Duration(k.cpuSamples.Add(1)) * time.Millisecond
}

// Wait implements Poller.
func (k *pausingKernel) Wait(events []unix.EpollEvent, timeout int) (int, error) {
	ready, err := k.systemKernel.Wait(events, timeout)
	k.paused += k.nextWait
	k.nextWait = 0
	return ready, err
}

// An iteration that begins late after a timer, or takes long, is reported with the processor time that the process had.
// One that does neither is not.
func TestStallsAreReported(t *testing.T) {
	const pause = 10 * time.Second // beyond what the machine that runs the test may cause
	kernel := &pausingKernel{}
	loop, err := NewOn(kernel, func() {})
	testutil.NoError(t, err)
	stalls := make(chan Stall, 100)
	loop.OnStall(func(s Stall) {
		if max(s.Late, s.Busy) >= pause-time.Second {
			stalls <- s
		}
	})
	testutil.RunUntilEnd(t, loop.Run, loop.Stop)
	quick := make(chan struct{})
	loop.Post(func() { loop.After(Millisecond, func() { close(quick) }) })
	testutil.Receive(t, quick)
	testutil.Equal(t, len(stalls), 0, "stalls without a pause")
	loop.Post(func() {
		loop.After(Millisecond, func() {})
		kernel.nextWait = pause
	})
	late := testutil.Receive(t, stalls)
	testutil.Expect(t, late.Late <= pause+time.Second && late.Busy < time.Second, "%+v after a late start", late)
	loop.Post(func() { kernel.paused += pause })
	long := testutil.Receive(t, stalls)
	testutil.Expect(t, long.Late < time.Second && long.Busy >= pause, "%+v after a long iteration", long)
	for _, s := range []Stall{late, long} {
		testutil.Expect(t, s.Period >= pause-time.Second && s.CPU == time.Millisecond, "%+v", s)
	}
}
