package scheduler

import "slices"

// container is one that is to be placed or runs. It is dropped once it is closed and has no attempt out. The container
// registry alone changes it, and its own methods; the other components read it.
type container struct {
	request  PlacementRequest
	class    *WorkloadClass
	service  *service
	attempts int
	machine  *machine // of the attempt that is out, or where it runs
	sentAt   Time     // of that attempt
	accepted bool
	closed   bool // answered or cancelled: only an outcome is awaited
	firstRun possibleRun
	excluded []*machine // machines that it is not placed on any more
	failures []unattributedFailure
	used     resources
}

// possibleRun is the first attempt that may have run. Without a machine, none has.
type possibleRun struct {
	machine *machine
	sentAt  Time
}

// service counts its containers and where they are.
type service struct {
	name         string
	hash         uint64 // of the name
	containers   int
	reservations map[*machine]int
}

// reservationsSharing counts the service's containers in the machine's place. Those in no known place count in each.
func (s *service) reservationsSharing(m *machine, scope Scope) int {
	count := 0
	for o, reservations := range s.reservations {
		unknownPlace := !o.listing.known && scope != ScopeMachine
		if unknownPlace || m.sharesScope(o, scope) {
			count += reservations
		}
	}
	return count
}

// unattributedFailure is an error of an attempt: the fault of the machine or of the container.
type unattributedFailure struct {
	machine *machine
	sentAt  Time
	silent  bool // nothing was heard of the machine since the attempt was sent
}

// endedAttempt is an attempt as it was when it ended.
type endedAttempt struct {
	container *container
	machine   *machine
	sentAt    Time
	accepted  bool
	silent    bool // nothing was heard of the machine since the attempt was sent
}

// isOfCurrentIncarnation is false for attempts that tell nothing of the machine as it is now.
func (a endedAttempt) isOfCurrentIncarnation() bool { return a.sentAt >= a.machine.listing.startedAt }

func (c *container) requested() resources {
	return resources{cores: c.request.Cores, memory: c.request.Memory}
}

// awaitsAnswer reports whether the client is owed an answer that no machine has given yet.
func (c *container) awaitsAnswer() bool { return !c.closed && !c.accepted }

// machineIsSilent reports whether nothing was heard of the machine since the attempt was sent.
func (c *container) machineIsSilent() bool { return c.machine.contact.silentSince(c.sentAt) }

// exclude keeps the container from a machine from now on.
func (c *container) exclude(m *machine) {
	c.excluded = append(c.excluded, m)
	m.exclusions++
}

func (c *container) excludes(m *machine) bool { return slices.Contains(c.excluded, m) }

// holdBackFailure keeps an error until it shows whose fault it was.
func (c *container) holdBackFailure(f unattributedFailure) { c.failures = append(c.failures, f) }

// failedOnce reports whether one error is held back and no other.
func (c *container) failedOnce() bool { return len(c.failures) == 1 }

// takeFailures returns the errors that were held back, once.
func (c *container) takeFailures() []unattributedFailure {
	failures := c.failures
	c.failures = nil
	return failures
}

// recordPossibleRun remembers the first attempt that may have run.
func (c *container) recordPossibleRun(m *machine, sentAt Time) {
	if c.firstRun.machine == nil {
		c.firstRun = possibleRun{machine: m, sentAt: sentAt}
	}
}

// recordRunWithoutOutcome counts an attempt that has no outcome as one that may have run.
func (c *container) recordRunWithoutOutcome() {
	if c.firstRun.machine == nil {
		c.firstRun.machine = c.machine
	}
}

// accept counts the machine's acceptance of the attempt that is out.
func (c *container) accept() { c.accepted = true }

// mayRunAgainOn keeps a container that may have run already to the machines where a second run does no harm.
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

// clientRetryIsSafe reports whether a retry by the client, which may go to any machine, does no harm.
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

// indicatesDrain holds for a machine that sends containers away, or does not know one that can run nowhere
// else. Either comes before the machine list has the drain.
func (c *container) indicatesDrain(reason Reason) bool {
	neverRan := c.firstRun.machine == nil && !c.request.ClientRetry
	return reason == ReasonDrained || reason == ReasonWrongMachine && neverRan
}
