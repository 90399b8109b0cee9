package scheduler

const (
	probeRetryInterval = baseEjectionTime / 2 // time from a failed probe of an ejected machine to the next probe
	silenceBeforeProbe = Second / 2           // age of an unanswered attempt from which its silent machine is probed
)

// contact records the last message from a machine, and the open probe to it.
type contact struct {
	lastContactAt Time
	probeSentAt   Time // 0: no probe is open
}

func (c *contact) recordContact(now Time) { c.lastContactAt = now }

// silentSince reports whether the machine has sent nothing since a time.
func (c *contact) silentSince(at Time) bool { return c.lastContactAt < at }

// endProbe ends the open probe and returns its send time, or 0 if there is none.
func (c *contact) endProbe() Time {
	sentAt := c.probeSentAt
	c.probeSentAt = 0
	return sentAt
}

// prober probes silent machines, and ejected machines whose ejection time is over. An answer readmits an ejected
// machine. A failed probe prolongs the ejection; on a machine that is not ejected, it counts as a failure.
type prober struct {
	enabled   bool // if false, machines are readmitted without a probe once their ejection time is over
	slowStart *slowStartLimiter
	outliers  *outlierDetector
	actions   *actionBuffer
}

func (p *prober) probeMachines(machines []*machine, silent map[*machine]bool, now Time) {
	for _, m := range machines {
		ejectionOver := m.outlier.ejectionIsOver(now)
		needsProbe := ejectionOver || !m.outlier.isEjected() && silent[m]
		switch {
		case m.listing.state != MachineServing || m.contact.probeSentAt > 0 || !needsProbe:
		case !p.enabled:
			if ejectionOver {
				p.outliers.readmit(m)
			}
		case p.slowStart.allows(m, now):
			p.send(m, now)
		}
	}
}

func (p *prober) send(m *machine, now Time) {
	m.contact.probeSentAt = now
	p.slowStart.recordSend(m, now)
	p.actions.emit(Probe{Machine: m.id})
}

// recordResult records the result of a probe. The result of a probe to an earlier incarnation is ignored. A probe that
// could not be sent is no failure of the machine, as the cause is in this scheduler.
func (p *prober) recordResult(m *machine, outcome Outcome, now Time) {
	sentAt := m.contact.endProbe()
	switch {
	case sentAt < m.listing.startedAt:
	case outcome == OutcomeFinished:
		m.contact.recordContact(now)
		if m.outlier.isEjected() {
			p.outliers.readmit(m)
		}
	case m.outlier.isEjected():
		p.outliers.extendEjection(m, now+probeRetryInterval)
	case outcome != OutcomeNotSent:
		p.outliers.recordFailure(m, now)
	}
}
