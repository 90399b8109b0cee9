package eventloop

import (
	"sync/atomic"
	"testing"
	"time"

	"glenport/internal/testutil"

	"golang.org/x/sys/unix"
)

// pausingKernel is the system kernel with a clock that a test can advance, as if the process had not run.
type pausingKernel struct {
	systemKernel
	paused     time.Duration
	nextWait   time.Duration // added to the duration of the next wait
	cpuSamples atomic.Int64
}

// Since implements Clock.
func (k *pausingKernel) Since(earlier time.Time) time.Duration { return time.Since(earlier) + k.paused }

// CPUTime implements Clock. It advances by a millisecond with each call.
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

// An iteration that begins late after a timer, or takes long, is reported with the processor time of the process. Other
// iterations are not reported.
func TestStallsAreReported(t *testing.T) {
	const pause = 10 * time.Second // longer than any delay that the machine running the test may cause
	kernel := &pausingKernel{}
	loop, err := NewOn(kernel, func() {})
	testutil.NoError(t, err)
	stalls := make(chan Stall, 100)
	loop.OnStall(func(s Stall) {
		if max(s.StartDelay, s.BusyTime) >= pause-time.Second {
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
	testutil.Expect(t, late.StartDelay <= pause+time.Second && late.BusyTime < time.Second,
		"%+v after a late start", late)
	loop.Post(func() { kernel.paused += pause })
	long := testutil.Receive(t, stalls)
	testutil.Expect(t, long.StartDelay < time.Second && long.BusyTime >= pause, "%+v after a long iteration", long)
	for _, s := range []Stall{late, long} {
		testutil.Expect(t, s.Period >= pause-time.Second && s.CPUTime == time.Millisecond, "%+v", s)
	}
}
