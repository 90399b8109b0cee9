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
	starts map[machineIncarnation]*machineStart
}

// machineStart is one start of a machine, with the offers and probes to it in the current window.
type machineStart struct {
	startedAt scheduler.Time
	knownBy   map[string]bool // names of the schedulers that know of the start
	sends     []entryTime
}

func newSlowStartRule(report *reporter, header *faultproxy.Header) *slowStartRule {
	return &slowStartRule{report: report, header: header, starts: map[machineIncarnation]*machineStart{}}
}

// recordStart records that a scheduler knows of a machine's start. A negative age stands for a start long ago.
func (r *slowStartRule) recordStart(s *schedulerState, m *listedMachine, now scheduler.Time) {
	if m.Age < 0 {
		return
	}
	start := r.starts[m.key()]
	if start == nil {
		start = &machineStart{startedAt: now - scheduler.Time(m.Age), knownBy: map[string]bool{}}
		r.starts[m.key()] = start
	}
	start.knownBy[s.name] = true
}

// checkSend counts an offer or a probe against the slow-start budget of a machine, if the sender knows of the machine's
// start. If the budget is exceeded, sends that may have preceded the window, given the lag of their entries, are not
// counted.
func (r *slowStartRule) checkSend(s *schedulerState, machine string, now entryTime) {
	m := s.machines[machine]
	if m == nil {
		return
	}
	config := &r.header.Config
	start := r.starts[m.key()]
	if start == nil || !start.knownBy[s.name] || now.at >= start.startedAt+config.SlowStartPeriod {
		return
	}
	start.sends = append(start.sends, now)
	windowStart := now.at - config.SlowStartWindow
	for start.sends[0].at <= windowStart {
		start.sends = start.sends[1:]
	}
	counted := start.sends
	if len(counted) > config.SlowStartBudget {
		counted = slices.DeleteFunc(slices.Clone(counted), func(sent entryTime) bool {
			return r.report.inTime(sent, windowStart)
		})
	}
	offers := len(counted)
	r.report.SlowStartPeak = max(r.report.SlowStartPeak, offers)
	r.report.SlowStartBudget = config.SlowStartBudget
	if offers <= config.SlowStartBudget {
		return
	}
	var evidence []string
	for _, sent := range counted {
		evidence = append(evidence, fmt.Sprintf("%.1f ms offer or probe to %s", milliseconds(sent.at), machine))
	}
	r.report.violate(RuleSlowStart, now.at, evidence,
		"machine %s, in slow start since %.1f ms, gets %d offers in %.1f ms, budget %d; last sender %s", machine,
		milliseconds(start.startedAt), offers, milliseconds(config.SlowStartWindow), config.SlowStartBudget, s.name)
}
