package scheduler

const (
	probeRetryInterval = baseEjectionTime / 2 // after a probe of an ejected machine that failed
	silenceBeforeProbe = Second / 2           // age of an attempt on a machine that was not heard of since
)

// contact is when a machine was heard of, and the probe that is out to it.
type contact struct {
	lastContactAt Time
	probeSentAt   Time // 0: no probe is out
}

func (c *contact) recordContact(now Time) { c.lastContactAt = now }

// silentSince reports whether the machine was not heard of since a time.
func (c *contact) silentSince(at Time) bool { return c.lastContactAt < at }

// endProbe returns when the probe that is out was sent, and 0 if none was.
func (c *contact) endProbe() Time {
	sentAt := c.probeSentAt
	c.probeSentAt = 0
	return sentAt
}

// prober probes machines whose ejection time is over, and those that are silent. A probe that is answered readmits an
// ejected machine; one that is not counts as a failure.
type prober struct {
	enabled   bool // else ejected machines are readmitted without a probe
	slowStart *slowStartLimiter
	outliers  *outlierDetector
	actions   *actionBuffer
}

func (p *prober) probeMachines(machines []*machine, silent map[*machine]bool, now Time) {
	for _, m := range machines {
		ejectionOver := m.outlier.ejectionIsOver(now)
		suspect := ejectionOver || !m.outlier.isEjected() && silent[m]
		switch {
		case m.listing.state != MachineServing || m.contact.probeSentAt > 0 || !suspect:
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

// recordResult takes in the answer to a probe. One that went to an earlier incarnation tells nothing, and one that could
// not be sent is this scheduler's own fault.
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
