package faultproxy

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
)

// The result for a position must be the time of the last sample that had not reached it.
func TestLastSampleBeforePosition(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a := &arrivalTracker{}
	for _, sample := range []arrivalSample{
		{at(0), 0}, {at(5), 0}, {at(10), 40}, {at(15), 40}, {at(20), 90}, {at(25), endOfStream},
	} {
		a.add(sample)
	}
	for _, tc := range []struct {
		position uint64
		want     int
	}{{1, 5}, {40, 5}, {41, 15}, {90, 15}, {91, 20}, {endOfStream, 20}} {
		got := a.lastSampleBefore(tc.position)
		testutil.Expect(t, got.Equal(at(tc.want)), "position %d: last sample before it is at %v, want %d ms",
			tc.position, got.Sub(start), tc.want)
	}
	testutil.Equal(t, len(a.samples), 2, "number of kept samples")
}

// proxyFixture is a scheduler connected to a machine through a recording proxy. The machine answers each frame.
type proxyFixture struct {
	*testing.T
	proxy     *Proxy
	scheduler net.Conn
	arrivals  *arrivalTracker
	passed    chan struct{} // a value for each frame that the machine receives; closed with its connection
}

func startProxyFixture(t *testing.T, path string) *proxyFixture {
	t.Helper()
	recorder, err := Create(path, goldenHeader())
	testutil.NoError(t, err)
	p := &proxyFixture{T: t, proxy: New(recorder, 1), passed: make(chan struct{}, 10)}
	machine := testutil.ServeUntilEnd(t, func(conn net.Conn) {
		defer close(p.passed)
		for {
			if _, err := frames.Receive(conn); err != nil {
				return
			}
			p.passed <- struct{}{}
			frames.Send(conn, &protocol.Heartbeat{})
		}
	})
	address, err := p.proxy.Listen(protocol.RoleMachine, "machine", func() string { return machine })
	testutil.NoError(t, err)
	p.scheduler = testutil.Dial(t, address)
	p.send(protocol.NewHello(protocol.RoleScheduler, "scheduler", 1))
	p.proxy.mu.Lock()
	defer p.proxy.mu.Unlock()
	for c := range p.proxy.connections {
		p.arrivals = c.arrivals
	}
	return p
}

// send sends a frame and waits until the machine has received it and its answer has arrived.
func (p *proxyFixture) send(frame protocol.Frame) {
	frames.Send(p.scheduler, frame)
	testutil.Receive(p, p.passed)
	frames.Skip(p.scheduler)
}

// period is the time range of an event and the earliest time at which it was recorded, in ticks of the recording.
type period struct{ earliest, latest, recorded int64 }

// delayRecording calls act while the recording is blocked, until a sample has shown its effect.
func (p *proxyFixture) delayRecording(act func()) (expected period) {
	now := func() int64 { return int64(time.Since(p.proxy.recorder.startedAt) / recordingTick) }
	expected.earliest = now()
	testutil.NoError(p, p.arrivals.sample())
	p.proxy.recorder.mu.Lock()
	defer p.proxy.recorder.mu.Unlock()
	before, err := p.arrivals.position()
	testutil.NoError(p, err)
	act()
	expected.latest = now()
	testutil.WaitUntil(p, "a sample shows the arrival", func() bool { return p.lastPosition() > before })
	expected.recorded = now()
	return expected
}

func (p *proxyFixture) lastPosition() uint64 {
	p.arrivals.mu.Lock()
	defer p.arrivals.mu.Unlock()
	return p.arrivals.samples[len(p.arrivals.samples)-1].position
}

func (p *proxyFixture) expect(entry Entry, kind EntryKind, expected period) {
	testutil.Equal(p, entry.Kind, kind)
	since := entry.At - entry.Lag
	// The time and the lag of an entry are rounded down, each by less than a tick.
	testutil.Expect(p, since >= expected.earliest-1 && since <= expected.latest+1 && entry.At >= expected.recorded,
		"recorded at %d, with a lag of %d; expected %+v", entry.At, entry.Lag, expected)
}

// Entries for frames from the scheduler and for its close must have a lag that covers the delay of the recording.
// Entries that the proxy records before it forwards a frame have no lag.
func TestLagCoversDelayOfRecording(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	p := startProxyFixture(t, path)
	sent := p.delayRecording(func() { frames.Send(p.scheduler, &protocol.Probe{}) })
	testutil.Receive(t, p.passed)
	frames.Skip(p.scheduler)
	closed := p.delayRecording(func() { testutil.NoError(t, p.scheduler.Close()) })
	_, open := <-p.passed
	testutil.Expect(t, !open, "a frame passed after the close")
	p.proxy.Close()
	testutil.NoError(t, p.proxy.recorder.Close())
	_, entries := readAll(t, path)
	var fromScheduler []Entry
	for _, entry := range entries {
		if entry.Kind == ToScheduler {
			testutil.Equal(t, entry.Lag, 0, "the lag of a frame to the scheduler")
		} else {
			fromScheduler = append(fromScheduler, entry)
		}
	}
	testutil.Require(t, len(fromScheduler) == 4, "entries %+v", fromScheduler)
	p.expect(fromScheduler[2], FromScheduler, sent)
	p.expect(fromScheduler[3], Closed, closed)
}
