package scheduler

// machine is the state of one machine. Each field is written by one component only, which the field's comment names.
// The other components read the field through the methods of its type.
type machine struct {
	id         MachineID
	hash       uint64        // hash of the ID
	listing    listing       // machineRegistry
	load       machineLoad   // containerRegistry
	exclusions int           // containerRegistry: number of containers that exclude the machine
	contact    contact       // prober
	selfDrain  selfDrain     // outcomeRecorder
	outlier    outlierRecord // outlierDetector
	evidence   classEvidence // classFailureDetector
	sends      sendLedger    // slowStartLimiter
}

// listing is the state of a machine according to the machine list.
type listing struct {
	known       bool // the machine has been in the machine list, so its location and type are known
	zone        int
	rackGroup   int
	machineType int
	state       MachineState
	startedAt   Time      // identifies the incarnation
	capacity    float64   // in containers of mean size
	requested   resources // sum over the containers of all schedulers
}

// machineLoad counts this scheduler's attempts and containers on a machine that have no outcome yet.
type machineLoad struct {
	reservations int
	requested    resources
	used         resources // as reported, or as requested by containers without a report
}

func (l *machineLoad) reserve(requested resources) {
	l.reservations++
	l.requested.add(requested)
	l.used.add(requested)
}

func (l *machineLoad) release(requested, used resources) {
	l.reservations--
	l.requested.subtract(requested)
	l.used.subtract(used)
	if l.reservations == 0 { // clear accumulated rounding errors
		l.requested, l.used = resources{}, resources{}
	}
}

// replaceUse replaces the reported use of one container.
func (l *machineLoad) replaceUse(before, after resources) {
	l.used.subtract(before)
	l.used.add(after)
}

// knownRequested returns the larger of the requests in the machine list and this scheduler's own requests, as the list
// may be out of date.
func (m *machine) knownRequested() resources {
	return m.listing.requested.elementwiseMax(m.load.requested)
}

// useBeyondRequests returns the use by this scheduler's containers minus all known requests. It may be negative.
func (m *machine) useBeyondRequests() resources {
	use := m.load.used
	use.subtract(m.knownRequested())
	return use
}

// isReferenced reports whether a container is on the machine or excludes it.
func (m *machine) isReferenced() bool { return m.load.reservations+m.exclusions > 0 }

// sharesScope reports whether two machines are in the same scope. A machine that was never in the machine list has no
// known zone or rack group.
func (m *machine) sharesScope(o *machine, scope Scope) bool {
	switch scope {
	case ScopeFleet:
		return true
	case ScopeZone:
		return m.listing.known && o.listing.known && m.listing.zone == o.listing.zone
	case ScopeRackGroup:
		return m.listing.known && o.listing.known && m.listing.rackGroup == o.listing.rackGroup
	case ScopeNone, ScopeMachine:
		return m == o
	default:
		return m == o
	}
}

// beginIncarnation drops the state learned about an earlier incarnation of the machine. Sends within a transit time
// before the start are kept, because they may have reached the new incarnation.
func (m *machine) beginIncarnation(startedAt, transitTime Time) {
	m.listing.startedAt = startedAt
	m.outlier = newOutlierRecord()
	m.selfDrain = selfDrain{}
	m.evidence.reset()
	m.sends.dropBefore(startedAt - transitTime)
}
