package platformcheck

import "time"

// slowStart is the settings of slow start.
type slowStart struct {
	schedulers, index int           // how many there are, and which one the process is
	budget            int           // of offers and probes from all of them to a machine
	window            time.Duration // in which the budget is spent at most once
	period            time.Duration // after the start of a machine
	connectTimeout    time.Duration // of the process's connections to machines
}

// schedulerShare is the most of a machine's budget that one scheduler can have where all have equal parts, and the remainder goes
// to some of them.
func (s slowStart) schedulerShare() int { return (s.budget + s.schedulers - 1) / s.schedulers }

// slowStartCheckDelay is when what was sent to a machine is checked: by then it has heard what was sent before.
const slowStartCheckDelay = 20 * time.Millisecond

// recordStart notes that the machine recordStart, of which the process is to read yet.
func (m *machine) recordStart() {
	m.startMillis, m.startedAt, m.startReadAt = m.w.kernel.Now().UnixMilli(), m.w.now(), 0
}

// recordStartRead notes that the process has read of the machine's last start, if it is not one of long ago.
func (m *machine) recordStartRead() {
	if m.startMillis > 0 && m.startReadAt == 0 {
		m.startReadAt = m.w.now()
	}
}

// inSlowStart reports whether the machine is in slow start at a time, and the process has read of that start before. What it
// sends in the iteration in which it reads of it may have been sent first.
func (m *machine) inSlowStart(at time.Duration) bool {
	return m.startReadAt != 0 && at > m.startReadAt && at < m.startedAt+m.w.params.slowStart.period
}

// recordSend takes in an offer or a probe to the machine.
func (m *machine) recordSend(line receivedLine) {
	if line.mayBeDelayed() {
		return
	}
	at := line.first.WrittenAt
	m.sends = append(m.sends, at)
	m.w.network.After(slowStartCheckDelay, func() { m.w.checker.checkSlowStart(m, at) })
}

// checkSlowStart counts what the process has sent to a machine in slow start, in the window that ends with a send. The
// time in which the process was not run does not count: what was sent before it may have been meant for earlier.
func (j *checker) checkSlowStart(m *machine, at time.Duration) {
	if !m.inSlowStart(at) {
		return
	}
	terms := m.w.params.slowStart
	began := at - terms.window
	began += m.w.stalledWithin(began, at)
	count := 0
	for _, sent := range m.sends {
		if sent > began && sent <= at && sent > m.startReadAt {
			count++
		}
	}
	if count > terms.schedulerShare() {
		j.report(ruleSlowStart,
			"%s, in slow start for %v, is sent %d offers and probes in %v, its budget is %d, %d of one scheduler",
			m.id, at-m.startedAt, count, terms.window, terms.budget, terms.schedulerShare())
	}
}

// stalledWithin is for how long the process was not run between two times.
func (w *World) stalledWithin(from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, s := range w.stalls {
		sum += max(0, min(s.end, to)-max(s.begin, from))
	}
	return sum
}

// stallSpan is a time in which the process is not run.
type stallSpan struct{ begin, end time.Duration }
