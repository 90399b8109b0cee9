package eventloop

import (
	"log/slog"
	"time"
)

const (
	stallThreshold    = 100 * time.Millisecond // a delay of the loop of at least this is a stall
	cpuSampleInterval = 100 * time.Millisecond // minimum between samples of the processor time
)

// Stall is an iteration that began late or took long. If CPUTime is much less than Period, the process did not run: the
// processors were busy with other processes, or it waited for a disk. Otherwise the process itself used the time.
type Stall struct {
	StartDelay time.Duration // from when the earliest timer was due to the start of the iteration
	BusyTime   time.Duration // from the start of the iteration to its end
	CPUTime    time.Duration // processor time of all threads of the process within Period
	Period     time.Duration // from a time before the stall to the end of the iteration
}

// stallMonitor measures the iterations of a loop. It samples the processor time only every cpuSampleInterval, as each
// sample takes a system call.
type stallMonitor struct {
	loop       *Loop
	report     func(Stall) // nil: stalls are not measured
	sampledAt  time.Duration
	sampledCPU time.Duration
}

// OnStall sets the callback for iterations that begin at least 100 ms late or take at least 100 ms. It runs at the end
// of the iteration.
func (l *Loop) OnStall(report func(Stall)) {
	l.stalls = stallMonitor{loop: l, report: report}
	l.stalls.sample()
}

// LogStalls logs each stall.
func (l *Loop) LogStalls(log *slog.Logger) {
	l.OnStall(func(s Stall) {
		log.Warn("event loop stalled", "late_ms", s.StartDelay.Milliseconds(), "busy_ms", s.BusyTime.Milliseconds(),
			"cpu_ms", s.CPUTime.Milliseconds(), "period_ms", s.Period.Milliseconds())
	})
}

// lateness is the time by which the current iteration begins after the expiry of the earliest timer.
func (m *stallMonitor) lateness() time.Duration {
	expiry, scheduled := m.loop.wheel.NextExpiry()
	if m.report == nil || !scheduled {
		return 0
	}
	return time.Duration(max(0, m.loop.now-expiry)) * microsecondsPerTick * time.Microsecond
}

// recordIteration processes the measurements of an iteration at its end.
func (m *stallMonitor) recordIteration(late, busy time.Duration) {
	if m.report == nil {
		return
	}
	sampledAt, sampledCPU := m.sampledAt, m.sampledCPU
	if m.loop.Elapsed()-sampledAt < cpuSampleInterval {
		return // the time since the last sample is too short to contain a stall
	}
	m.sample()
	if max(late, busy) >= stallThreshold {
		m.report(Stall{
			StartDelay: late, BusyTime: busy, CPUTime: m.sampledCPU - sampledCPU, Period: m.sampledAt - sampledAt,
		})
	}
}

func (m *stallMonitor) sample() {
	m.sampledAt, m.sampledCPU = m.loop.Elapsed(), m.loop.kernel.CPUTime()
}
