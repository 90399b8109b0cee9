package audit

// checkDraining checks that a scheduler sends no offer to a machine that it knows to be draining or gone, except within
// the grace period after it learned so.
func (c *checker) checkDraining(s *schedulerState, a *attempt) {
	m := s.machines[a.machine]
	if m == nil || !m.unavailable {
		return
	}
	c.report.DrainLatency = max(c.report.DrainLatency, milliseconds(c.now.at-m.unavailableSince))
	if !c.report.inTime(a.sent, m.unavailableSince+c.header.DrainGrace+c.header.Slack) {
		c.report.violate(RuleDraining, c.now.at, []string{a.text}, "%s has known since %.1f ms that %s is %s",
			s.name, milliseconds(m.unavailableSince), a.machine, m.State)
	}
}
