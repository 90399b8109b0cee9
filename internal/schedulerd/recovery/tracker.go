package recovery

import (
	"slices"

	"glenport/scheduler"
)

// Limits and intervals of queries to machines.
const (
	queryBatch         = 32 // machines queried at once after a start
	queryInterval      = 100 * scheduler.Millisecond
	queryRetryInterval = 2 * scheduler.Second
	reportTimeout      = 3 * scheduler.Second // time for all reports; without a log, client retries wait that long
)

// notStarted is the start time of a Tracker that has handled no event.
const notStarted scheduler.Time = -1

// Tracker tracks, for one incarnation of the scheduler, the attempts that may run although no machine has confirmed it,
// and the machines that have yet to report. It drops a machine, with the attempts on it, when the machine reports or
// leaves the machine list.
type Tracker struct {
	coverage           LogCoverage
	idempotency        []scheduler.Idempotency // by workload class
	now                scheduler.Time
	startedAt          scheduler.Time
	listReceived       bool // a machine list has named machines
	completedEmitted   bool // Completed was emitted
	allReportedEmitted bool // AllMachinesReported was emitted
	actions            []Action
	unresolvedAttempts unresolvedAttempts
	queries            machineQueries
}

// NewTracker returns a Tracker for a new incarnation. Coverage tells what the log holds of earlier incarnations.
// Idempotency is indexed by workload class; an unknown class counts as at-most-once.
func NewTracker(coverage LogCoverage, idempotency []scheduler.Idempotency) *Tracker {
	return &Tracker{
		coverage:           coverage,
		idempotency:        idempotency,
		startedAt:          notStarted,
		unresolvedAttempts: unresolvedAttempts{},
	}
}

// Handle applies events that happened at the time now and returns the resulting actions, in order.
func (t *Tracker) Handle(now scheduler.Time, events ...Event) []Action {
	t.now, t.actions = now, nil
	if t.startedAt == notStarted {
		t.startedAt = now
	}
	for _, e := range events {
		t.apply(e)
	}
	t.runTimers()
	return t.actions
}

func (t *Tracker) apply(e Event) {
	switch e := e.(type) {
	case AttemptRestored:
		t.unresolvedAttempts.add(e.Attempt, t.now)
	case AttemptOutcomeUnknown:
		t.attemptOutcomeUnknown(e.Attempt)
	case AttemptNotRunning:
		t.attemptNotRunning(e.Attempt)
	case MachinesListed:
		t.machinesListed(e)
	case MachineRemoved:
		t.resolveMachine(e.Machine)
	case MachineReported:
		t.resolveMachine(e.Machine)
	case MachineDisconnected:
		t.queries.reconnect(e.Machine, t.now)
	case ConnectFailed:
		t.queries.retry(e.Machine, t.now+queryRetryInterval)
	case MachineUnreachable:
		t.queries.schedule(e.Machine, t.now+queryRetryInterval)
	case Tick: // Handle runs the timers after all events
	}
}

func (t *Tracker) emit(a Action) { t.actions = append(t.actions, a) }

func (t *Tracker) idempotencyOf(class int) scheduler.Idempotency {
	if class >= 0 && class < len(t.idempotency) {
		return t.idempotency[class]
	}
	return scheduler.AtMostOnce
}

func (t *Tracker) attemptOutcomeUnknown(a Attempt) {
	if t.idempotencyOf(a.Request.WorkloadClass) == scheduler.Idempotent {
		return // a second copy does no harm
	}
	t.unresolvedAttempts.add(a, t.now)
	t.queries.schedule(a.Machine, t.now)
}

// attemptNotRunning resolves one attempt and drops the query to its machine: the machine is connected, and reports
// other attempts over that connection.
func (t *Tracker) attemptNotRunning(a Attempt) {
	t.resolve(a.Request.IdempotencyKey, func(other Attempt) bool { return other.Number == a.Number })
	t.queries.finish(a.Machine)
}

// resolve resolves the matching attempts of a key.
func (t *Tracker) resolve(key string, match func(Attempt) bool) {
	for _, a := range t.unresolvedAttempts.remove(key, match) {
		t.emit(AttemptResolved{a})
	}
}

// resolveMachine drops the query to a machine and resolves the attempts on it, in the order of their keys.
func (t *Tracker) resolveMachine(id scheduler.MachineID) {
	t.queries.finish(id)
	onMachine := func(a Attempt) bool { return a.Machine == id }
	for _, key := range t.unresolvedAttempts.keysOn(id) {
		t.resolve(key, onMachine)
	}
}

// machinesListed resolves the attempts on machines that a full snapshot does not name, and schedules queries to the
// machines of the first list. A list restored from disk is no evidence that a machine is gone.
func (t *Tracker) machinesListed(e MachinesListed) {
	awaited := t.unresolvedAttempts.machines()
	if e.FullSnapshot {
		t.resolveUnlisted(awaited, e.Machines)
	}
	if t.listReceived || len(e.Machines) == 0 {
		return
	}
	t.listReceived = true
	t.queryAll(awaited, e.Machines)
}

func (t *Tracker) resolveUnlisted(awaited map[scheduler.MachineID]bool, listed []scheduler.MachineID) {
	present := map[scheduler.MachineID]bool{}
	for _, id := range listed {
		present[id] = true
	}
	var gone []scheduler.MachineID
	for id := range awaited {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		t.resolveMachine(id)
	}
}

// queryAll schedules queries in batches. Machines with unresolved attempts come first, because clients wait for their
// reports.
func (t *Tracker) queryAll(awaited map[scheduler.MachineID]bool, listed []scheduler.MachineID) {
	var urgent, others []scheduler.MachineID
	for _, id := range listed {
		if awaited[id] {
			urgent = append(urgent, id)
		} else {
			others = append(others, id)
		}
	}
	scheduled := 0
	for _, id := range append(urgent, others...) {
		batch := scheduler.Time(scheduled / queryBatch)
		if t.queries.schedule(id, t.now+batch*queryInterval) {
			scheduled++
		}
	}
}

// runTimers emits the queries that are due and reports the end of recovery.
func (t *Tracker) runTimers() {
	for _, id := range t.queries.takeDue(t.now) {
		t.emit(ConnectMachine{id})
	}
	if !t.completedEmitted && (t.allReported() || t.timedOut()) {
		t.completedEmitted = true
		t.emit(Completed{})
	}
	if !t.allReportedEmitted && t.allReported() {
		t.allReportedEmitted, t.coverage = true, LogComplete
		t.emit(AllMachinesReported{})
	}
}

func (t *Tracker) allReported() bool { return t.listReceived && t.queries.empty() }

func (t *Tracker) timedOut() bool { return t.now >= t.startedAt+reportTimeout }

// NextTimer returns the time at which a Tick is due, or 0 if none is.
func (t *Tracker) NextTimer() scheduler.Time {
	next := scheduler.Time(0)
	if !t.completedEmitted {
		next = t.startedAt + reportTimeout
	}
	return t.queries.nextDue(next)
}

// UnresolvedKeys returns the number of idempotency keys that wait for a machine to report.
func (t *Tracker) UnresolvedKeys() int { return len(t.unresolvedAttempts) }
