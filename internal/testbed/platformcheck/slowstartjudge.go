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

// part is the most of a machine's budget that one scheduler can have where all have equal parts, and the remainder goes
// to some of them.
func (s slowStart) part() int { return (s.budget + s.schedulers - 1) / s.schedulers }

// slowStartCheckDelay is when what was sent to a machine is checked: by then it has heard what was sent before.
const slowStartCheckDelay = 20 * time.Millisecond

// starts notes that the machine starts, of which the process is to read yet.
func (m *machine) starts() {
	m.bornMillis, m.bornAt, m.startReadAt = m.w.kernel.Now().UnixMilli(), m.w.now(), 0
}

// startIsRead notes that the process has read of the machine's last start, if it is not one of long ago.
func (m *machine) startIsRead() {
	if m.bornMillis > 0 && m.startReadAt == 0 {
		m.startReadAt = m.w.now()
	}
}

// isCold reports whether the machine is in slow start at a time, and the process has read of that start before. What it
// sends in the iteration in which it reads of it may have been sent first.
func (m *machine) isCold(at time.Duration) bool {
	return m.startReadAt != 0 && at > m.startReadAt && at < m.bornAt+m.w.form.slowStart.period
}

// sent takes in an offer or a probe to the machine.
func (m *machine) sent(line receivedLine) {
	if line.heldUp() {
		return
	}
	at := line.first.WrittenAt
	m.sends = append(m.sends, at)
	m.w.network.After(slowStartCheckDelay, func() { m.w.judge.checkSlowStart(m, at) })
}

// checkSlowStart counts what the process has sent to a machine in slow start, in the window that ends with a send. The
// time in which the process was not run does not count: what was sent before it may have been meant for earlier.
func (j *judge) checkSlowStart(m *machine, at time.Duration) {
	if !m.isCold(at) {
		return
	}
	terms := m.w.form.slowStart
	began := at - terms.window
	began += m.w.stalledWithin(began, at)
	count := 0
	for _, sent := range m.sends {
		if sent > began && sent <= at && sent > m.startReadAt {
			count++
		}
	}
	if count > terms.part() {
		j.violate(ruleSlowStart,
			"%s, in slow start for %v, is sent %d offers and probes in %v, its budget is %d, %d of one scheduler",
			m.id, at-m.bornAt, count, terms.window, terms.budget, terms.part())
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
