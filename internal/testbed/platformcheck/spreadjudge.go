package platformcheck

import (
	"slices"
	"time"
)

// scope is the extent in which a spread limit counts the containers of a service, by its name in the settings.
type scope string

const (
	scopeNone      scope = "silent"
	scopeMachine   scope = "machine"
	scopeRackGroup scope = "cell"
	scopeZone      scope = "zone"
)

// spreadLimit is how many containers of a service may be in one scope. The zero value is no limit.
type spreadLimit struct {
	scope         scope
	maxContainers int
}

func (l spreadLimit) isSet() bool { return l.settingsScope() != scopeNone }

// settingsScope is the name of the scope in the settings.
func (l spreadLimit) settingsScope() scope {
	if l.scope == "" {
		return scopeNone
	}
	return l.scope
}

// sameScope reports whether two machines lie in one scope.
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
	// spreadCheckDelay is when an offer is checked: by then the machines have heard what was sent before it.
	spreadCheckDelay = 20 * time.Millisecond
	// releaseSlack covers what the process has ended of itself, and a machine hears of later.
	releaseSlack = 20 * time.Millisecond
	// uncertaintySlack is how long after a fault the process may yet read what the fault has caused.
	uncertaintySlack = 200 * time.Millisecond
)

// release notes that the process may not count the offer any more, from a moment on.
func (o *offer) release(moment time.Duration) {
	if o.releasedAt == 0 || moment < o.releasedAt {
		o.releasedAt = moment
	}
}

// releaseBy notes a line by which the process ends the offer. One that was held up may have been meant earlier.
func (o *offer) releaseBy(line receivedLine) {
	if line.mayBeDelayed() {
		o.release(o.writtenAt)
		return
	}
	o.release(line.first.WrittenAt)
}

// extendUncertainty has what runs on the machine, and what is sent to it, up to a time count as possibly lost to the process.
func (m *machine) extendUncertainty(moment time.Duration) {
	m.uncertainUntil = max(m.uncertainUntil, moment+uncertaintySlack)
}

// checkSpread counts what the process knows of a service in the scope of an offer's machine, with this offer: what it
// has sent there and has neither a refusal nor an end of, and what clients have named as running there.
func (j *checker) checkSpread(o *offer) {
	limit := o.request.spread
	if !limit.isSet() || o.mayBeDelayed {
		return
	}
	count := 0
	for _, other := range j.offersOf[o.request.service] {
		if limit.sameScope(other.machine, o.machine) && (other == o || other.countsToward(o)) {
			count++
		}
	}
	if count > limit.maxContainers {
		j.report(ruleSpread, "request %s is offered to %s as number %d of service %s in one %s, %d are allowed",
			o.request.id, o.machine.id, count, o.request.service, limit.scope, limit.maxContainers)
	}
}

// countsToward reports whether the process counts an offer when it sends a later one.
func (o *offer) countsToward(later *offer) bool {
	knownAt, known := o.knownSince(later.incarnation)
	switch {
	case !known || knownAt > later.writtenAt:
		return false
	case o.request.falselyClaimed, o.claimMayBeDropped(later.incarnation):
		return false
	case o.machine.firstReadAt == 0, o.writtenAt <= max(o.machine.firstReadAt, o.machine.uncertainUntil):
		return false
	case o.writtenAt == later.writtenAt && later.isReleasedBy(o.writtenAt):
		return false // that one was sent and ended first
	}
	return !o.isReleasedBy(later.writtenAt + releaseSlack)
}

// claimMayBeDropped reports whether an incarnation of the process knows the container from a claim alone, and may have
// left that out for made-up ones.
func (o *offer) claimMayBeDropped(incarnation int) bool {
	return o.incarnation != incarnation && o.machine.falseClaimReadBy == incarnation
}

// isReleasedBy reports whether the process need not count the offer any more at a time. It may take the end of an
// earlier container of the request on the same machine, which it reads late, for an answer to the offer.
func (o *offer) isReleasedBy(moment time.Duration) bool {
	if o.releasedAt != 0 && o.releasedAt <= moment {
		return true
	}
	readMeanwhile := func(at time.Duration) bool { return at >= o.writtenAt && at <= moment }
	return slices.ContainsFunc(o.request.placements, func(p *placement) bool {
		return p.machine == o.machine && slices.ContainsFunc(p.endReads, readMeanwhile)
	})
}

// knownSince is since when an incarnation of the process counts an offer: it has sent it, or was told by a client that its
// container runs. What it sends in the iteration in which it reads that may have been sent first.
func (o *offer) knownSince(incarnation int) (since time.Duration, known bool) {
	switch {
	case o.incarnation == incarnation:
		return o.writtenAt, true
	case o.placement != nil && o.placement.claimReadBy == incarnation:
		return o.placement.claimReadAt + 1, true
	}
	return 0, false
}
