package audit

import (
	"fmt"

	"glenport/scheduler"
)

// slowStart is one start of a machine and what it was offered in the current window.
type slowStart struct {
	began      scheduler.Time
	schedulers map[string]bool // which were told of the start
	offers     []scheduler.Time
}

// noteSlowStart notes that a scheduler was told of a machine's start. A negative age is a start long ago.
func (c *checker) noteSlowStart(s *schedulerState, m *listedMachine) {
	if m.Age < 0 {
		return
	}
	start := c.slowStarts[m.key()]
	if start == nil {
		start = &slowStart{began: c.now - scheduler.Time(m.Age), schedulers: map[string]bool{}}
		c.slowStarts[m.key()] = start
	}
	start.schedulers[s.name] = true
}

// checkSlowStart counts an offer or a probe to a machine, from schedulers that were told of its start, against its
// budget.
func (c *checker) checkSlowStart(s *schedulerState, machine string) {
	m := s.machines[machine]
	if m == nil {
		return
	}
	terms := &c.header.Config
	start := c.slowStarts[m.key()]
	if start == nil || !start.schedulers[s.name] || c.now >= start.began+terms.SlowStartPeriod {
		return
	}
	start.offers = append(start.offers, c.now)
	for start.offers[0] <= c.now-terms.SlowStartWindow {
		start.offers = start.offers[1:]
	}
	offers := len(start.offers)
	c.report.SlowStartPeak = max(c.report.SlowStartPeak, offers)
	c.report.SlowStartBudget = terms.SlowStartBudget
	if offers <= terms.SlowStartBudget {
		return
	}
	var evidence []string
	for _, at := range start.offers {
		evidence = append(evidence, fmt.Sprintf("%.1f ms an offer or a probe to %s", milliseconds(at), machine))
	}
	c.violate(RuleSlowStart, c.now, evidence,
		"machine %s, in slow start since %.1f ms, gets %d offers in %.1f ms, its budget is %d; the last by %s", machine,
		milliseconds(start.began), offers, milliseconds(terms.SlowStartWindow), terms.SlowStartBudget, s.name)
}
