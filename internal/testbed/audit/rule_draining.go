package audit

// checkDraining checks that a machine gets no offers once the sender knows that it drains or is gone, but for a grace
// period.
func (c *checker) checkDraining(s *schedulerState, a *attempt) {
	m := s.machines[a.machine]
	if m == nil || !m.unavailable {
		return
	}
	c.report.DrainLatency = max(c.report.DrainLatency, milliseconds(c.now.at-m.unavailableSince))
	if !c.report.inTime(a.sent, m.unavailableSince+c.header.DrainGrace+c.header.Slack) {
		c.report.violate(RuleDraining, c.now.at, []string{a.text}, "%s knows since %.1f ms that %s is %s",
			s.name, milliseconds(m.unavailableSince), a.machine, m.State)
	}
}
