package eventloop

import (
	"log/slog"
	"time"
)

const (
	stallThreshold    = 100 * time.Millisecond // from which on a delay of the loop is a stall
	cpuSampleInterval = 100 * time.Millisecond // at least, between samples of the processor time
)

// Stall is an iteration that began late or took long. Where CPU is much less than Period, the process did not run: the
// processors were busy with other work, or it waited for a disk. Else it had so much to do itself.
type Stall struct {
	Late   time.Duration // from when the earliest timer was due to the start of the iteration
	Busy   time.Duration // from the start of the iteration to its end
	CPU    time.Duration // processor time that all threads of the process had within Period
	Period time.Duration // ends with the iteration, and began before the stall
}

// stallMonitor measures the iterations of a loop. Processor time is sampled now and then only, as it takes a system
// call.
type stallMonitor struct {
	loop       *Loop
	report     func(Stall) // nil: nothing is measured
	sampledAt  time.Duration
	sampledCPU time.Duration
}

// OnStall sets the callback for iterations that begin late or take long, by a tenth of a second or more. It runs at the
// end of the iteration.
func (l *Loop) OnStall(report func(Stall)) {
	l.stalls = stallMonitor{loop: l, report: report}
	l.stalls.sample()
}

// LogStalls logs each stall.
func (l *Loop) LogStalls(log *slog.Logger) {
	l.OnStall(func(s Stall) {
		log.Warn("event loop stalled", "late_ms", s.Late.Milliseconds(), "busy_ms", s.Busy.Milliseconds(),
			"cpu_ms", s.CPU.Milliseconds(), "period_ms", s.Period.Milliseconds())
	})
}

// lateness is by how much the iteration that begins is later than the earliest timer.
func (m *stallMonitor) lateness() time.Duration {
	expiry, scheduled := m.loop.wheel.NextExpiry()
	if m.report == nil || !scheduled {
		return 0
	}
	return time.Duration(max(0, m.loop.now-expiry)) * microsecondsPerTick * time.Microsecond
}

// iterated takes in the end of an iteration.
func (m *stallMonitor) iterated(late, busy time.Duration) {
	if m.report == nil {
		return
	}
	sampledAt, sampledCPU := m.sampledAt, m.sampledCPU
	if m.loop.Elapsed()-sampledAt < cpuSampleInterval {
		return // too short for a stall
	}
	m.sample()
	if max(late, busy) >= stallThreshold {
		m.report(Stall{Late: late, Busy: busy, CPU: m.sampledCPU - sampledCPU, Period: m.sampledAt - sampledAt})
	}
}

func (m *stallMonitor) sample() {
	m.sampledAt, m.sampledCPU = m.loop.Elapsed(), m.loop.kernel.CPUTime()
}
