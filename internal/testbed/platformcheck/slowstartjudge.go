package platformcheck

import "time"

// slowStart holds the settings of slow start.
type slowStart struct {
	schedulers, index int           // number of schedulers, and the index of the process
	budget            int           // offers and probes of all schedulers to a machine in a window
	window            time.Duration // in which the budget may be spent once
	period            time.Duration // after the start of a machine
	connectTimeout    time.Duration // of the process's connections to machines
}

// schedulerShare returns the largest share of a machine's budget that one scheduler can have. The shares are equal,
// except that the remainder of the division goes to some schedulers, one send each.
func (s slowStart) schedulerShare() int { return (s.budget + s.schedulers - 1) / s.schedulers }

// slowStartCheckDelay is the delay after which a send is checked. By then the machine has received all earlier sends.
const slowStartCheckDelay = 20 * time.Millisecond

// recordStart records that the machine has started, and that the process has not read of this start yet.
func (m *machine) recordStart() {
	m.startMillis, m.startedAt, m.startReadAt = m.w.kernel.Now().UnixMilli(), m.w.now(), 0
}

// recordStartRead records that the process has read the machine's last start, unless the machine started before the
// run.
func (m *machine) recordStartRead() {
	if m.startMillis > 0 && m.startReadAt == 0 {
		m.startReadAt = m.w.now()
	}
}

// inSlowStart reports whether the machine is in slow start at a time and the process read of the start before that
// time. Sends of the iteration that reads the start are exempt, because they may precede the read.
func (m *machine) inSlowStart(at time.Duration) bool {
	return m.startReadAt != 0 && at > m.startReadAt && at < m.startedAt+m.w.params.slowStart.period
}

// recordSend records an offer or a probe to the machine.
func (m *machine) recordSend(line receivedLine) {
	if line.mayBeDelayed() {
		return
	}
	at := line.firstChunk.WrittenAt
	m.sends = append(m.sends, at)
	m.w.network.After(slowStartCheckDelay, func() { m.w.checker.checkSlowStart(m, at) })
}

// checkSlowStart checks a send to a machine in slow start. In the window that ends with the send, the machine may get
// at most one scheduler's share of the budget. The window is shortened by the time in which the process was stalled,
// because sends before a stall may have been decided earlier.
func (c *checker) checkSlowStart(m *machine, at time.Duration) {
	if !m.inSlowStart(at) {
		return
	}
	settings := m.w.params.slowStart
	windowStart := at - settings.window
	windowStart += m.w.stalledWithin(windowStart, at)
	count := 0
	for _, sent := range m.sends {
		if sent > windowStart && sent <= at && sent > m.startReadAt {
			count++
		}
	}
	if count > settings.schedulerShare() {
		c.report(ruleSlowStart,
			"%s, in slow start for %v, got %d offers and probes in %v; the budget is %d, the share of a scheduler %d",
			m.id, at-m.startedAt, count, settings.window, settings.budget, settings.schedulerShare())
	}
}

// stalledWithin returns the time for which the process was stalled between two times.
func (w *World) stalledWithin(from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, s := range w.stalls {
		sum += max(0, min(s.end, to)-max(s.begin, from))
	}
	return sum
}

// stallSpan is a time span in which the process is stalled.
type stallSpan struct{ begin, end time.Duration }
