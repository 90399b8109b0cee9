package recovery

import (
	"slices"

	"glenport/scheduler"
)

// Tuned values.
const (
	queryBatch         = 32 // machines queried at once after a start
	queryInterval      = 100 * scheduler.Millisecond
	queryRetryInterval = 2 * scheduler.Second
	reportTimeout      = 3 * scheduler.Second // without a log: how long client retries wait for all machines to report
)

// notStarted is the start time of a Tracker that has handled no event.
const notStarted scheduler.Time = -1

// Tracker follows, for one incarnation of the scheduler, the attempts that may run although no machine has confirmed
// it, and the machines that are still to report. An attempt leaves it when its machine reports or is gone, a machine
// once it has reported or is gone.
type Tracker struct {
	coverage     LogCoverage
	idempotency  []scheduler.Idempotency // by workload class
	now          scheduler.Time
	startedAt    scheduler.Time
	listed       bool // a machine list has named machines
	completed    bool // Completed was emitted
	announcedAll bool // AllMachinesReported was emitted
	actions      []Action
	unresolved   map[string][]unresolvedAttempt // by idempotency key
	queries      []*machineQuery                // in the order they were scheduled
}

type unresolvedAttempt struct {
	attempt Attempt
	since   scheduler.Time
}

// machineQuery is a machine that is still to report what it holds.
type machineQuery struct {
	machine scheduler.MachineID
	dueAt   scheduler.Time
	sent    bool
}

// NewTracker begins an incarnation whose log covers earlier ones as stated. Idempotency is that of the workload
// classes; a class beyond them counts as at-most-once.
func NewTracker(coverage LogCoverage, idempotency []scheduler.Idempotency) *Tracker {
	return &Tracker{
		coverage:    coverage,
		idempotency: idempotency,
		startedAt:   notStarted,
		unresolved:  map[string][]unresolvedAttempt{},
	}
}

// Handle applies events at a time and returns the actions that follow, in order.
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
		t.addUnresolved(e.Attempt)
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
		t.machineDisconnected(e.Machine)
	case ConnectFailed:
		t.connectFailed(e.Machine)
	case MachineUnreachable:
		t.scheduleQuery(e.Machine, t.now+queryRetryInterval)
	case Tick: // timers run after each call
	}
}

func (t *Tracker) emit(a Action) { t.actions = append(t.actions, a) }

func (t *Tracker) idempotencyOf(class int) scheduler.Idempotency {
	if class >= 0 && class < len(t.idempotency) {
		return t.idempotency[class]
	}
	return scheduler.AtMostOnce
}

func (t *Tracker) addUnresolved(a Attempt) {
	key := a.Request.IdempotencyKey
	t.unresolved[key] = append(t.unresolved[key], unresolvedAttempt{attempt: a, since: t.now})
}

func (t *Tracker) attemptOutcomeUnknown(a Attempt) {
	if t.idempotencyOf(a.Request.WorkloadClass) == scheduler.Idempotent {
		return // a second copy does no harm
	}
	t.addUnresolved(a)
	t.scheduleQuery(a.Machine, t.now)
}

// attemptNotRunning resolves one attempt. Its machine need not be queried: it is connected, and reports other attempts
// by that connection.
func (t *Tracker) attemptNotRunning(a Attempt) {
	t.resolve(a.Request.IdempotencyKey, func(other Attempt) bool { return other.Number == a.Number })
	t.finishQuery(a.Machine)
}

// resolve ends the unresolved attempts of a key that match.
func (t *Tracker) resolve(key string, match func(Attempt) bool) {
	var left []unresolvedAttempt
	for _, u := range t.unresolved[key] {
		if match(u.attempt) {
			t.emit(AttemptResolved{u.attempt})
		} else {
			left = append(left, u)
		}
	}
	if len(left) == 0 {
		delete(t.unresolved, key)
		return
	}
	t.unresolved[key] = left
}

// resolveMachine ends all that waits for a machine, in the order of keys.
func (t *Tracker) resolveMachine(id scheduler.MachineID) {
	t.finishQuery(id)
	onMachine := func(a Attempt) bool { return a.Machine == id }
	var keys []string
	for key, attempts := range t.unresolved {
		if slices.ContainsFunc(attempts, func(u unresolvedAttempt) bool { return onMachine(u.attempt) }) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		t.resolve(key, onMachine)
	}
}

// machinesListed resolves the attempts on machines that a full snapshot no longer names, and has the machines of the
// first list queried. A list restored from disk is no evidence that a machine is gone.
func (t *Tracker) machinesListed(e MachinesListed) {
	awaited := t.awaitedMachines()
	if e.FullSnapshot {
		t.resolveUnlisted(awaited, e.Machines)
	}
	if t.listed || len(e.Machines) == 0 {
		return
	}
	t.listed = true
	t.queryAll(awaited, e.Machines)
}

// awaitedMachines are those of unresolved attempts.
func (t *Tracker) awaitedMachines() map[scheduler.MachineID]bool {
	awaited := map[scheduler.MachineID]bool{}
	for _, attempts := range t.unresolved {
		for _, u := range attempts {
			awaited[u.attempt.Machine] = true
		}
	}
	return awaited
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

// queryAll schedules queries a batch at a time, first of machines with unresolved attempts, as clients wait for these.
func (t *Tracker) queryAll(awaited map[scheduler.MachineID]bool, listed []scheduler.MachineID) {
	scheduled := 0
	for _, first := range []bool{true, false} {
		for _, id := range listed {
			if awaited[id] == first && t.query(id) == nil {
				batch := scheduler.Time(scheduled / queryBatch)
				t.scheduleQuery(id, t.now+batch*queryInterval)
				scheduled++
			}
		}
	}
}

func (t *Tracker) query(id scheduler.MachineID) *machineQuery {
	i := t.queryIndex(id)
	if i < 0 {
		return nil
	}
	return t.queries[i]
}

func (t *Tracker) queryIndex(id scheduler.MachineID) int {
	return slices.IndexFunc(t.queries, func(q *machineQuery) bool { return q.machine == id })
}

// scheduleQuery has a machine connected. Where it is connected already nothing follows: it reports by that connection,
// or is connected anew when the connection ends.
func (t *Tracker) scheduleQuery(id scheduler.MachineID, dueAt scheduler.Time) {
	if t.query(id) == nil {
		t.queries = append(t.queries, &machineQuery{machine: id, dueAt: dueAt})
	}
}

func (t *Tracker) finishQuery(id scheduler.MachineID) {
	if i := t.queryIndex(id); i >= 0 {
		t.queries = slices.Delete(t.queries, i, i+1)
	}
}

func (t *Tracker) machineDisconnected(id scheduler.MachineID) {
	if q := t.query(id); q != nil {
		q.sent, q.dueAt = false, t.now
	}
}

func (t *Tracker) connectFailed(id scheduler.MachineID) {
	if q := t.query(id); q != nil && q.sent {
		q.sent, q.dueAt = false, t.now+queryRetryInterval
	}
}

// runTimers sends the queries that are due and announces the end of recovery.
func (t *Tracker) runTimers() {
	for _, q := range t.queries {
		if !q.sent && q.dueAt <= t.now {
			q.sent = true
			t.emit(ConnectMachine{q.machine})
		}
	}
	if !t.completed && (t.allReported() || t.timedOut()) {
		t.completed = true
		t.emit(Completed{})
	}
	if !t.announcedAll && t.allReported() {
		t.announcedAll, t.coverage = true, LogComplete
		t.emit(AllMachinesReported{})
	}
}

func (t *Tracker) allReported() bool { return t.listed && len(t.queries) == 0 }

func (t *Tracker) timedOut() bool { return t.now >= t.startedAt+reportTimeout }

// NextTimer is when a Tick is due, or 0 where none is.
func (t *Tracker) NextTimer() scheduler.Time {
	next := scheduler.Time(0)
	if !t.completed {
		next = t.startedAt + reportTimeout
	}
	for _, q := range t.queries {
		if !q.sent && (next == 0 || q.dueAt < next) {
			next = q.dueAt
		}
	}
	return next
}

// CheckPlacement returns a *MayRunError or *RecoveringError where a request must wait. Work that must not run twice is
// never placed while an attempt under its key may run. Beyond that, a client retry waits until it is known what runs
// from earlier incarnations.
func (t *Tracker) CheckPlacement(r scheduler.PlacementRequest) error {
	idempotency := t.idempotencyOf(r.WorkloadClass)
	if idempotency == scheduler.Idempotent {
		return nil
	}
	for _, u := range t.unresolved[r.IdempotencyKey] {
		if idempotency == scheduler.AtMostOnce || t.fromEarlierIncarnation(u) {
			return &MayRunError{Key: r.IdempotencyKey, Machine: u.attempt.Machine, SilentFor: t.now - u.since}
		}
	}
	if r.ClientRetry && !t.knowsEarlierAttempts(idempotency) {
		return &RecoveringError{Uptime: t.now - t.startedAt}
	}
	return nil
}

// knowsEarlierAttempts reports whether no attempt of earlier incarnations can be missing: because the log holds them
// all, all machines have reported, or, without a log, had their time to. A log that was only synced lacks attempts of
// work that is idempotent with a key; that waits for every machine.
func (t *Tracker) knowsEarlierAttempts(idempotency scheduler.Idempotency) bool {
	switch {
	case t.allReported():
		return true
	case t.coverage == LogComplete:
		return true
	case t.coverage == LogSynced:
		return idempotency == scheduler.AtMostOnce
	}
	return t.completed || t.timedOut()
}

// fromEarlierIncarnation matters for work that is idempotent with a key: the scheduler keeps attempts of its own
// incarnation to their scope and window, but when an earlier one was sent nobody knows.
func (t *Tracker) fromEarlierIncarnation(u unresolvedAttempt) bool { return u.since == t.startedAt }

// CheckKey returns a *MayRunError or *RecoveringError where it is not known whether anything runs under a key.
func (t *Tracker) CheckKey(key string) error {
	if attempts := t.unresolved[key]; len(attempts) > 0 {
		return &MayRunError{Key: key, Machine: attempts[0].attempt.Machine, SilentFor: -1}
	}
	if !t.completed && !t.allReported() {
		return &RecoveringError{Uptime: t.now - t.startedAt}
	}
	return nil
}

// UnresolvedKeys is the number of idempotency keys that wait for a machine to report.
func (t *Tracker) UnresolvedKeys() int { return len(t.unresolved) }
