package audit

// checkDraining checks that a machine gets no offers once the sender was told that it drains or is gone, but for a
// grace period.
func (c *checker) checkDraining(s *schedulerState, a *attempt) {
	m := s.machines[a.machine]
	if m == nil || !m.unavailable {
		return
	}
	c.report.DrainLatency = max(c.report.DrainLatency, milliseconds(c.now-m.unavailableSince))
	if c.now > m.unavailableSince+c.header.DrainGrace+c.header.Slack {
		c.violate(RuleDraining, c.now, []string{a.text}, "%s was told at %.1f ms that %s is %s", s.name,
			milliseconds(m.unavailableSince), a.machine, m.State)
	}
}
