package platformcheck

import (
	"slices"
	"time"
)

// scope is the scope of a spread limit, by its name in the settings.
type scope string

const (
	scopeNone      scope = "silent"
	scopeMachine   scope = "machine"
	scopeRackGroup scope = "cell"
	scopeZone      scope = "zone"
)

// spreadLimit limits the containers of a service in one scope. The zero value sets no limit.
type spreadLimit struct {
	scope         scope
	maxContainers int
}

func (l spreadLimit) isSet() bool { return l.settingsScope() != scopeNone }

// settingsScope returns the name of the scope in the settings.
func (l spreadLimit) settingsScope() scope {
	if l.scope == "" {
		return scopeNone
	}
	return l.scope
}

// sameScope reports whether two machines are in the same scope.
func (l spreadLimit) sameScope(a, b *machine) bool {
	switch l.scope {
	case scopeMachine:
		return a == b
	case scopeRackGroup:
		return a.rackGroup() == b.rackGroup()
	case scopeZone:
		return a.zone() == b.zone()
	default:
		return false
	}
}

const (
	// spreadCheckDelay is the delay after which an offer is checked. By then the machines have received all earlier
	// offers.
	spreadCheckDelay = 20 * time.Millisecond
	// releaseSlack covers the delay until a machine receives that the process has ended an offer or a container.
	releaseSlack = 20 * time.Millisecond
	// lostAfterSilence is the time without a sign of life after which the process may consider a machine lost.
	lostAfterSilence = 6500 * time.Millisecond
	// uncertaintySlack is the time after a fault in which the process may still read its consequences.
	uncertaintySlack = 200 * time.Millisecond
)

// release records that the process may stop counting the offer at a time.
func (o *offer) release(moment time.Duration) {
	if o.releasedAt == 0 || moment < o.releasedAt {
		o.releasedAt = moment
	}
}

// releaseBy records a line by which the process ends the offer. The process may have decided a delayed line earlier.
func (o *offer) releaseBy(line receivedLine) {
	if line.mayBeDelayed() {
		o.release(o.writtenAt)
		return
	}
	o.release(line.firstChunk.WrittenAt)
}

// extendUncertainty records that the process may consider an offer lost if it sends the offer to the machine before a
// time.
func (m *machine) extendUncertainty(moment time.Duration) {
	m.uncertainUntil = max(m.uncertainUntil, moment+uncertaintySlack)
}

// checkSpread checks the spread limit for an offer. In the scope of the offer's machine it counts the containers of the
// service that the process knows of, including this offer: its own offers that were neither rejected nor ended, and the
// containers that clients have claimed to run.
func (c *checker) checkSpread(o *offer) {
	limit := o.request.spread
	if !limit.isSet() || o.mayBeDelayed {
		return
	}
	count := 0
	for _, other := range c.offersOf[o.request.service] {
		if limit.sameScope(other.machine, o.machine) && (other == o || other.countsToward(o)) {
			count++
		}
	}
	if count > limit.maxContainers {
		c.report(ruleSpread, "request %s is offered to %s as container %d of service %s in one %s, %d are allowed",
			o.request.id, o.machine.id, count, o.request.service, limit.scope, limit.maxContainers)
	}
}

// countsToward reports whether the process must count the offer when it sends a later one.
func (o *offer) countsToward(later *offer) bool {
	knownAt, known := o.knownSince(later.incarnation)
	switch {
	case !known || knownAt > later.writtenAt:
		return false
	case o.request.falselyClaimed, o.claimMayBeDropped(later.incarnation):
		return false
	case o.machine.firstReadAt == 0, o.writtenAt <= max(o.machine.firstReadAt, o.machine.uncertainUntil):
		return false
	case o.machine.endpoint.Delay > 0 && later.writtenAt-o.writtenAt >= lostAfterSilence:
		return false // the machine may have counted as silent
	case o.writtenAt == later.writtenAt && later.isReleasedBy(o.writtenAt):
		return false // the later offer was sent and ended first
	}
	return !o.isReleasedBy(later.writtenAt + releaseSlack)
}

// claimMayBeDropped reports whether an incarnation of the process may have dropped the claim of the container in favor
// of false claims. This applies to offers that an earlier incarnation has sent.
func (o *offer) claimMayBeDropped(incarnation int) bool {
	return o.incarnation != incarnation && o.machine.falseClaimReadBy == incarnation
}

// isReleasedBy reports whether the process may have stopped counting the offer by a time. The process may also read the
// end of an earlier container of the request on the same machine late, and take that end for the answer to this offer.
func (o *offer) isReleasedBy(moment time.Duration) bool {
	if o.releasedAt != 0 && o.releasedAt <= moment {
		return true
	}
	readMeanwhile := func(at time.Duration) bool { return at >= o.writtenAt && at <= moment }
	return slices.ContainsFunc(o.request.placements, func(p *placement) bool {
		return p.machine == o.machine && slices.ContainsFunc(p.endReads, readMeanwhile)
	})
}

// knownSince returns the time since which an incarnation of the process must count the offer: when it sent the offer,
// or just after it read a claim of the container. Sends of the iteration that reads the claim may precede the read.
func (o *offer) knownSince(incarnation int) (since time.Duration, known bool) {
	switch {
	case o.incarnation == incarnation:
		return o.writtenAt, true
	case o.placement != nil && o.placement.claimReadBy == incarnation:
		return o.placement.claimReadAt + 1, true
	}
	return 0, false
}
