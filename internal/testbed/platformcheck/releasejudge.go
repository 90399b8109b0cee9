package platformcheck

import (
	"slices"
	"time"
)

const (
	releaseLimit      = 8500 * time.Millisecond // from the end of a container to a client that is told of it
	shortReleaseLimit = time.Second             // from when the process has read of the end
)

// checkReleases checks at the end of a run that each end was told.
func (w *World) checkReleases() {
	for _, call := range w.calls {
		for _, p := range w.judge.requests[call].placements {
			w.checkRelease(p)
		}
	}
}

func (w *World) checkRelease(p *placement) {
	if !p.known || p.runs() || p.told || p.ordered || p.unknowable || w.now() < p.endedAt+releaseLimit {
		return
	}
	w.judge.violate(ruleRelease, "the end of container %s on %s, %v ago, was told to no client",
		p.request.call, p.machine.id, w.now()-p.endedAt)
}

// endRead takes in that a process has read that the container ended.
func (p *placement) endRead() {
	w := p.machine.w
	p.releaseRead = true
	p.endReads = append(p.endReads, w.now())
	if p.endReadBy != w.incarnations {
		p.endReadBy = w.incarnations
		p.owedSoon()
	}
}

// mayBeLeftOut reports whether the process knows the container from a claim alone, and may have left that out for
// made-up ones: then it hears only of an end that the machine reports.
func (p *placement) mayBeLeftOut() bool { return p.offer.claimMayBeLeftOut(p.machine.w.incarnations) }

// claimRead takes in that the process has read a claim that the container runs.
func (p *placement) claimRead() {
	w := p.machine.w
	p.heldBy = w.incarnations
	if p.claimedFrom == w.incarnations {
		return
	}
	p.claimedFrom, p.claimedAt = w.incarnations, w.now()
	if p.endReadBy == w.incarnations {
		p.owedSoon()
	}
}

// owedSoon has a client told soon, as the process has read of the end of a container that it holds for running: it has
// read the accept, or a claim.
func (p *placement) owedSoon() {
	w := p.machine.w
	accepted := p.offer.incarnation == w.incarnations && p.offer.acceptRead
	if !accepted && p.claimedFrom != w.incarnations {
		return
	}
	began, incarnation := w.now(), w.incarnations
	w.network.After(shortReleaseLimit+wireSlack, func() {
		w.network.After(w.stalledWithin(began, w.now()), func() {
			if w.incarnations == incarnation {
				w.checkToldSoon(p, began)
			}
		})
	})
}

// checkToldSoon checks that a client was told, where one was there all the time and no client left its input unread.
// Clients that make up claims may be told before others, but not before the one that asked for the container.
func (w *World) checkToldSoon(p *placement, began time.Duration) {
	if !p.known || p.told || p.ordered || p.unknowable || w.termAt != 0 || w.killed || w.unreadEnd >= began {
		return
	}
	asker := p.request.client
	couldBeTold := func(c *client) bool {
		mayBeFirst := w.liedIn != w.incarnations || c == asker && p.offer.incarnation == w.incarnations
		return mayBeFirst && c.couldBeToldSince(began)
	}
	if slices.ContainsFunc(w.clients, couldBeTold) {
		w.judge.violate(ruleRelease, "the end of container %s on %s was read %v ago, and told to no client",
			p.request.call, p.machine.id, w.now()-began)
	}
}

// couldBeToldSince reports whether the process has served the client before a time and ever since.
func (c *client) couldBeToldSince(began time.Duration) bool {
	return !c.misbehaved && c.servedAt != 0 && c.servedAt <= began && !c.conn.IsEnded() && !c.conn.Congested()
}
