package platformcheck

import (
	"slices"
	"time"
)

const (
	endReportLimit     = 8500 * time.Millisecond // from the end of a container to its report to a client
	readEndReportLimit = time.Second             // from the read of the end by the process to its report
)

// checkEndReports checks at the end of a run that the end of each container was reported.
func (w *World) checkEndReports() {
	for _, id := range w.requestIDs {
		for _, p := range w.checker.requests[id].placements {
			w.checkEndReport(p)
		}
	}
}

func (w *World) checkEndReport(p *placement) {
	if !p.acceptDelivered || p.runs() || p.endReported || p.cancelled || p.endReportExcused ||
		w.now() < p.endedAt+endReportLimit {
		return
	}
	w.checker.report(ruleEndReport, "the end of container %s on %s, %v ago, was reported to no client",
		p.request.id, p.machine.id, w.now()-p.endedAt)
}

// recordEndRead records that the process has read the end of the container.
func (p *placement) recordEndRead() {
	w := p.machine.w
	p.endRead = true
	p.endReads = append(p.endReads, w.now())
	if p.endReadBy != w.incarnations {
		p.endReadBy = w.incarnations
		p.expectReport()
	}
}

// claimMayBeDropped reports whether the process may have dropped the claim of the container in favor of false claims.
// If so, the process learns of the end only if the machine reports it.
func (p *placement) claimMayBeDropped() bool {
	return p.offer.claimMayBeDropped(p.machine.w.incarnations)
}

// recordClaimRead records that the process has read a claim that the container runs.
func (p *placement) recordClaimRead() {
	w := p.machine.w
	p.knownBy = w.incarnations
	if p.claimReadBy == w.incarnations {
		return
	}
	p.claimReadBy, p.claimReadAt = w.incarnations, w.now()
	if p.endReadBy == w.incarnations {
		p.expectReport()
	}
}

// isKnown reports whether the process knew that the container ran, from its accept or from a claim.
func (p *placement) isKnown() bool {
	incarnation := p.machine.w.incarnations
	accepted := p.offer.incarnation == incarnation && p.offer.acceptRead
	return accepted || p.claimReadBy == incarnation
}

// expectReport schedules the check that the end is reported soon. It is called when the process has read the end. The
// check applies only if the process knew that the container ran, from its accept or from a claim.
func (p *placement) expectReport() {
	w := p.machine.w
	if !p.isKnown() {
		return
	}
	endReadAt, incarnation := w.now(), w.incarnations
	w.network.After(readEndReportLimit+wireSlack, func() {
		w.network.After(w.stalledWithin(endReadAt, w.now()), func() {
			if w.incarnations == incarnation {
				w.checkReportedSoon(p, endReadAt)
			}
		})
	})
}

// checkReportedSoon checks that the end was reported to a client, if a client was served all the time and no client
// left its input unread. The process may report the end first to a client that made a false claim, but not before it
// reports it to the client that submitted the container.
func (w *World) checkReportedSoon(p *placement, endReadAt time.Duration) {
	if !p.acceptDelivered || p.endReported || p.cancelled || p.endReportExcused ||
		w.termAt != 0 || w.processKilled || w.unreadUntil >= endReadAt {
		return
	}
	submitter := p.request.client
	couldBeNotified := func(c *client) bool {
		mayBeFirst := w.falseClaimReadBy != w.incarnations || c == submitter && p.offer.incarnation == w.incarnations
		return mayBeFirst && c.couldBeNotifiedSince(endReadAt)
	}
	if slices.ContainsFunc(w.clients, couldBeNotified) {
		w.checker.report(ruleEndReport, "the end of container %s on %s was read %v ago, and reported to no client",
			p.request.id, p.machine.id, w.now()-endReadAt)
	}
}

// couldBeNotifiedSince reports whether the process has served the client without interruption since a moment.
func (c *client) couldBeNotifiedSince(moment time.Duration) bool {
	return !c.misbehaved && c.servedAt != 0 && c.servedAt <= moment && !c.conn.IsEnded() && !c.conn.Congested()
}
