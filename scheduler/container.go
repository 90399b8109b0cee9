package scheduler

import "slices"

// container is a container that is being placed or runs. It is removed once it is closed and has no open attempt. Only
// its own methods and the container registry change it; the other components read it.
type container struct {
	request          PlacementRequest
	class            *WorkloadClass
	service          *service
	attempts         int
	machine          *machine // machine of the open attempt, or the one that runs the container; nil if there is none
	sentAt           Time     // send time of the attempt on machine
	accepted         bool
	closed           bool // answered or cancelled: only the outcome of an open attempt may still follow
	firstRun         possibleRun
	excludedMachines []*machine // machines where no further attempt is made
	failures         []unattributedFailure
	usedResources    resources
}

// possibleRun is the first attempt that may have run the container. Its machine is nil if there is no such attempt.
type possibleRun struct {
	machine *machine
	sentAt  Time
}

// service counts the containers of a service, in total and by machine.
type service struct {
	name         string
	hash         uint64 // hash of the name
	containers   int
	reservations map[*machine]int // containers that are being placed on the machine or run there
}

// reservationsSharing counts the service's containers in the same scope as the machine. Containers on machines that are
// not in the machine list count in every scope except ScopeMachine.
func (s *service) reservationsSharing(m *machine, scope Scope) int {
	count := 0
	for o, reservations := range s.reservations {
		unknownLocation := !o.listing.known && scope != ScopeMachine
		if unknownLocation || m.sharesScope(o, scope) {
			count += reservations
		}
	}
	return count
}

// unattributedFailure is a failed attempt whose cause is not known yet: the machine or the container.
type unattributedFailure struct {
	machine *machine
	sentAt  Time
	silent  bool // the machine has sent nothing since the attempt was sent
}

// endedAttempt is the state of an attempt when it ended.
type endedAttempt struct {
	container *container
	machine   *machine
	sentAt    Time
	accepted  bool
	silent    bool // the machine has sent nothing since the attempt was sent
}

// isOfCurrentIncarnation reports whether the attempt was sent to the machine's current incarnation. The outcomes of
// other attempts are no evidence about it.
func (a endedAttempt) isOfCurrentIncarnation() bool { return a.sentAt >= a.machine.listing.startedAt }

func (c *container) requested() resources {
	return resources{cores: c.request.Cores, memory: c.request.Memory}
}

// awaitsAnswer reports whether the client still waits for an answer and no machine has accepted the container.
func (c *container) awaitsAnswer() bool { return !c.closed && !c.accepted }

// machineIsSilent reports whether the machine has sent nothing since the attempt was sent.
func (c *container) machineIsSilent() bool { return c.machine.contact.silentSince(c.sentAt) }

// exclude prevents further attempts of the container on a machine.
func (c *container) exclude(m *machine) {
	c.excludedMachines = append(c.excludedMachines, m)
	m.exclusions++
}

func (c *container) excludes(m *machine) bool { return slices.Contains(c.excludedMachines, m) }

// holdBackFailure keeps a failure until a later outcome shows its cause.
func (c *container) holdBackFailure(f unattributedFailure) { c.failures = append(c.failures, f) }

// failedOnce reports whether exactly one failure is held back.
func (c *container) failedOnce() bool { return len(c.failures) == 1 }

// takeFailures returns the failures that are held back and clears them.
func (c *container) takeFailures() []unattributedFailure {
	failures := c.failures
	c.failures = nil
	return failures
}

// recordPossibleRun records an attempt that may have run the container, unless an earlier one is recorded.
func (c *container) recordPossibleRun(m *machine, sentAt Time) {
	if c.firstRun.machine == nil {
		c.firstRun = possibleRun{machine: m, sentAt: sentAt}
	}
}

// recordRunWithoutOutcome records the open attempt, if there is one, as one that may have run the container.
func (c *container) recordRunWithoutOutcome() {
	if c.firstRun.machine == nil {
		c.firstRun.machine = c.machine
	}
}

// accept records that the machine accepted the open attempt.
func (c *container) accept() { c.accepted = true }

// mayRunAgainOn reports whether a run on the machine is safe, considering that the container may have run already.
func (c *container) mayRunAgainOn(m *machine, now Time) bool {
	if c.firstRun.machine == nil {
		return true
	}
	switch c.class.Idempotency {
	case AtMostOnce:
		return false
	case IdempotentWithKey:
		windowEnd := c.firstRun.sentAt + c.class.DedupWindow
		return c.firstRun.machine.sharesScope(m, c.class.DedupScope) && now+deadlineMargin < windowEnd
	case Idempotent:
		return true
	default:
		return true
	}
}

// clientRetryIsSafe reports whether a retry by the client is safe. The retry may be placed on any machine.
func (c *container) clientRetryIsSafe() bool {
	switch c.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return c.firstRun.machine == nil || c.class.DedupScope == ScopeFleet
	case AtMostOnce:
		return c.firstRun.machine == nil
	default:
		return c.firstRun.machine == nil
	}
}

// indicatesDrain reports whether a reason shows that the machine drains itself: the machine sent the container away, or
// does not know a container that cannot have run elsewhere. Both may happen before the machine list shows the drain.
func (c *container) indicatesDrain(reason Reason) bool {
	neverRan := c.firstRun.machine == nil && !c.request.ClientRetry
	return reason == ReasonDrained || reason == ReasonWrongMachine && neverRan
}
