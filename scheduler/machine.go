package scheduler

// machine is what is known of one machine. Each part is written by one component, named beside it; the others read it
// through the methods of the part's type.
type machine struct {
	id         MachineID
	hash       uint64        // of the ID
	listing    listing       // machineRegistry
	load       machineLoad   // containerRegistry
	exclusions int           // containerRegistry: containers that are not placed on it any more
	contact    contact       // prober
	selfDrain  selfDrain     // outcomeRecorder
	outlier    outlierRecord // outlierDetector
	evidence   classEvidence // classFailureDetector
	sends      sendLedger    // slowStartLimiter
}

// listing is what the machine list says of a machine.
type listing struct {
	known       bool // a list has named the machine: its place and type are known
	zone        int
	rackGroup   int
	machineType int
	state       MachineState
	startedAt   Time      // identifies the incarnation
	capacity    float64   // in containers of mean size
	requested   resources // by the containers of all schedulers
}

// machineLoad counts the own attempts and containers on a machine that have no outcome.
type machineLoad struct {
	reservations int
	requested    resources
	used         resources // as far as reported, else as requested
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
	if l.reservations == 0 { // no remainders of rounding are kept
		l.requested, l.used = resources{}, resources{}
	}
}

// replaceUse takes in a report of what one container uses.
func (l *machineLoad) replaceUse(before, after resources) {
	l.used.subtract(before)
	l.used.add(after)
}

// knownRequested covers a machine list that is late: own requests count where the list has less.
func (m *machine) knownRequested() resources {
	return m.listing.requested.atLeast(m.load.requested)
}

// useBeyondRequests is what own containers use less all known requests; it may be negative.
func (m *machine) useBeyondRequests() resources {
	use := m.load.used
	use.subtract(m.knownRequested())
	return use
}

// isReferenced reports whether a container is on the machine or excludes it.
func (m *machine) isReferenced() bool { return m.load.reservations+m.exclusions > 0 }

// sharesScope reports whether two machines lie in one place; one that no list has named lies in no known place.
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

// beginIncarnation drops what was learned of an earlier start of the machine. What was sent up to a transit time
// before the start may have reached this incarnation, and counts.
func (m *machine) beginIncarnation(startedAt, transitTime Time) {
	m.listing.startedAt = startedAt
	m.outlier = newOutlierRecord()
	m.selfDrain = selfDrain{}
	m.evidence.reset()
	m.sends.dropBefore(startedAt - transitTime)
}
