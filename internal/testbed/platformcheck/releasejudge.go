package platformcheck

import (
	"slices"
	"time"
)

const (
	endReportLimit     = 8500 * time.Millisecond // from the end of a container to a client that is told of it
	readEndReportLimit = time.Second             // from when the process has read of the end
)

// checkEndReports checks at the end of a run that each end was told.
func (w *World) checkEndReports() {
	for _, call := range w.requestIDs {
		for _, p := range w.checker.requests[call].placements {
			w.checkEndReport(p)
		}
	}
}

func (w *World) checkEndReport(p *placement) {
	if !p.acceptDelivered || p.runs() || p.endReported || p.cancelled || p.endNotOwed || w.now() < p.endedAt+endReportLimit {
		return
	}
	w.checker.report(ruleEndReport, "the end of container %s on %s, %v ago, was told to no client",
		p.request.id, p.machine.id, w.now()-p.endedAt)
}

// recordEndRead takes in that a process has read that the container ended.
func (p *placement) recordEndRead() {
	w := p.machine.w
	p.endRead = true
	p.endReads = append(p.endReads, w.now())
	if p.endReadBy != w.incarnations {
		p.endReadBy = w.incarnations
		p.expectReport()
	}
}

// claimMayBeDropped reports whether the process knows the container from a claim alone, and may have left that out for
// made-up ones: then it hears only of an end that the machine reports.
func (p *placement) claimMayBeDropped() bool {
	return p.offer.claimMayBeDropped(p.machine.w.incarnations)
}

// recordClaimRead takes in that the process has read a claim that the container runs.
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

// expectReport has a client told soon, as the process has read of the end of a container that it holds for running: it has
// read the accept, or a claim.
func (p *placement) expectReport() {
	w := p.machine.w
	accepted := p.offer.incarnation == w.incarnations && p.offer.acceptRead
	if !accepted && p.claimReadBy != w.incarnations {
		return
	}
	began, incarnation := w.now(), w.incarnations
	w.network.After(readEndReportLimit+wireSlack, func() {
		w.network.After(w.stalledWithin(began, w.now()), func() {
			if w.incarnations == incarnation {
				w.checkReportedSoon(p, began)
			}
		})
	})
}

// checkReportedSoon checks that a client was told, where one was there all the time and no client left its input unread.
// Clients that make up claims may be told before others, but not before the one that asked for the container.
func (w *World) checkReportedSoon(p *placement, began time.Duration) {
	if !p.acceptDelivered || p.endReported || p.cancelled || p.endNotOwed || w.termAt != 0 || w.killed || w.unreadEnd >= began {
		return
	}
	asker := p.request.client
	couldBeTold := func(c *client) bool {
		mayBeFirst := w.falseClaimReadBy != w.incarnations || c == asker && p.offer.incarnation == w.incarnations
		return mayBeFirst && c.couldBeNotifiedSince(began)
	}
	if slices.ContainsFunc(w.clients, couldBeTold) {
		w.checker.report(ruleEndReport, "the end of container %s on %s was read %v ago, and told to no client",
			p.request.id, p.machine.id, w.now()-began)
	}
}

// couldBeNotifiedSince reports whether the process has served the client before a time and ever since.
func (c *client) couldBeNotifiedSince(began time.Duration) bool {
	return !c.misbehaved && c.servedAt != 0 && c.servedAt <= began && !c.conn.IsEnded() && !c.conn.Congested()
}
