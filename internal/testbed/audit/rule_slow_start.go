package audit

import (
	"fmt"
	"slices"

	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// slowStartRule checks that a machine in slow start gets no more offers and probes in a window than its budget.
type slowStartRule struct {
	report *reporter
	header *faultproxy.Header
	starts map[machineIncarnation]*slowStart
}

// slowStart is one start of a machine and what it was offered in the current window.
type slowStart struct {
	began      scheduler.Time
	schedulers map[string]bool // which know of the start
	offers     []moment
}

func newSlowStartRule(report *reporter, header *faultproxy.Header) *slowStartRule {
	return &slowStartRule{report: report, header: header, starts: map[machineIncarnation]*slowStart{}}
}

// machineListed notes that a scheduler knows of a machine's start. A negative age is a start long ago.
func (r *slowStartRule) machineListed(s *schedulerState, m *listedMachine, now scheduler.Time) {
	if m.Age < 0 {
		return
	}
	start := r.starts[m.key()]
	if start == nil {
		start = &slowStart{began: now - scheduler.Time(m.Age), schedulers: map[string]bool{}}
		r.starts[m.key()] = start
	}
	start.schedulers[s.name] = true
}

// checkSend counts an offer or a probe to a machine, from schedulers that know of its start, against its budget. Where
// they exceed it, those are left out that by their own lag may have been sent before the window.
func (r *slowStartRule) checkSend(s *schedulerState, machine string, now moment) {
	m := s.machines[machine]
	if m == nil {
		return
	}
	terms := &r.header.Config
	start := r.starts[m.key()]
	if start == nil || !start.schedulers[s.name] || now.at >= start.began+terms.SlowStartPeriod {
		return
	}
	start.offers = append(start.offers, now)
	windowBegan := now.at - terms.SlowStartWindow
	for start.offers[0].at <= windowBegan {
		start.offers = start.offers[1:]
	}
	counted := start.offers
	if len(counted) > terms.SlowStartBudget {
		counted = slices.DeleteFunc(slices.Clone(counted), func(sent moment) bool {
			return r.report.inTime(sent, windowBegan)
		})
	}
	offers := len(counted)
	r.report.SlowStartPeak = max(r.report.SlowStartPeak, offers)
	r.report.SlowStartBudget = terms.SlowStartBudget
	if offers <= terms.SlowStartBudget {
		return
	}
	var evidence []string
	for _, m := range counted {
		evidence = append(evidence, fmt.Sprintf("%.1f ms an offer or a probe to %s", milliseconds(m.at), machine))
	}
	r.report.violate(RuleSlowStart, now.at, evidence,
		"machine %s, in slow start since %.1f ms, gets %d offers in %.1f ms, its budget is %d; the last by %s", machine,
		milliseconds(start.began), offers, milliseconds(terms.SlowStartWindow), terms.SlowStartBudget, s.name)
}
