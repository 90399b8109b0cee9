// Package recovery decides what becomes of work that is under way when a program dies. Round is for a placer that
// came up: which machines it asks what they hold, in which order and at what pace, and which keys wait for their
// word. Resume is for a keeper: what is done first for each container that its log names. Both are pure.
package recovery

import (
	"fmt"
	"sort"

	"glenport/scheduler"
)

// Tuned values.
const (
	queryBatch         = 32 // machines asked in one step what they hold
	queryInterval      = 100 * scheduler.Millisecond
	queryRetryInterval = 2 * scheduler.Second // one that could not be asked
	reportTimeout      = 3 * scheduler.Second // without a log: how long asks that came before wait for all to have told
)

// Attempt is a container at a machine, as the bid of one life of a placer.
type Attempt struct {
	Request     scheduler.PlacementRequest `cbor:"Ask"`
	Machine     scheduler.MachineID        `cbor:"Machine"`
	Incarnation uint64                     `cbor:"Life"`
	Number      uint64                     `cbor:"Bid"`
	Running     bool                       `cbor:"Running"`
}

// LogCoverage is how much a placer's log says of the bids of its earlier lives.
type LogCoverage uint8

const (
	LogNone     LogCoverage = iota
	LogSynced               // every bid of at-most-once work was on disk before it was sent
	LogComplete             // every bid of work that is not reissuable was written, and the system has run on since
)

func (l LogCoverage) String() string { return [...]string{"none", "synced", "whole"}[l] }

// Event is something that happened.
type Event interface{ event() }

type (
	// AttemptRestored is a bid of an earlier life that the log has no end of; Unheard one of this life that ended without a
	// word that tells whether it ran.
	AttemptRestored       struct{ Attempt Attempt }
	AttemptOutcomeUnknown struct{ Attempt Attempt }
	// AttemptNotRunning is a machine's later word that a bid does not run.
	AttemptNotRunning struct{ Attempt Attempt }
	// MachinesListed are machines of a list, all there are where it is whole and fresh; Unnamed is one that is gone.
	MachinesListed struct {
		Machines     []scheduler.MachineID
		FullSnapshot bool
	}
	MachineRemoved struct{ Machine scheduler.MachineID }
	// MachineReported is a machine's word on all that it holds. Broke is the end of its link, ConnectFailed one that could not be made,
	// Lost one that was not made in many tries.
	MachineReported     struct{ Machine scheduler.MachineID }
	MachineDisconnected struct{ Machine scheduler.MachineID }
	ConnectFailed       struct{ Machine scheduler.MachineID }
	MachineUnreachable  struct{ Machine scheduler.MachineID }
	// Tick is time.
	Tick struct{}
)

func (AttemptRestored) event()       {}
func (AttemptOutcomeUnknown) event() {}
func (AttemptNotRunning) event()     {}
func (MachinesListed) event()        {}
func (MachineRemoved) event()        {}
func (MachineReported) event()       {}
func (MachineDisconnected) event()   {}
func (ConnectFailed) event()         {}
func (MachineUnreachable) event()    {}
func (Tick) event()                  {}

// Action is something to be done.
type Action interface{ action() }

type (
	// ConnectMachine asks for a link to a machine, by which it says what it holds.
	ConnectMachine struct{ Machine scheduler.MachineID }
	// AttemptResolved says that nothing waits for a bid's end any more.
	AttemptResolved struct{ Attempt Attempt }
	// RecoveryComplete says, once, that all that runs from earlier lives is known, as far as it can be.
	RecoveryComplete struct{}
	// AllMachinesReported says, once, that every machine of the list told, or is gone.
	AllMachinesReported struct{}
)

func (ConnectMachine) action()      {}
func (AttemptResolved) action()     {}
func (RecoveryComplete) action()    {}
func (AllMachinesReported) action() {}

// MustPersist tells what must be in a placer's log before a bid is sent: whether anything, and whether on disk. Work that
// must not run twice is worth a sync. Numbered work is only written, which the death of the process does not undo;
// after that of the system every machine is heard before a number that came before is let out.
func MustPersist(e scheduler.Idempotency) (write, sync bool) {
	return e != scheduler.Idempotent, e == scheduler.AtMostOnce
}

// Tracker is one life's. Doubts leave it by their machine's word or end, machines once they told or are gone.
type Tracker struct {
	coverage     LogCoverage
	idempotency  []scheduler.Idempotency
	now          scheduler.Time
	startedAt    scheduler.Time
	listed       bool
	completed    bool
	announcedAll bool
	actions      []Action
	unresolved   map[string][]unresolvedAttempt // by key: work that must not run twice and may
	queries      []*machineQuery                // in order of time
}

type unresolvedAttempt struct {
	attempt Attempt
	since   scheduler.Time
}

// machineQuery is a machine yet to be asked what it holds.
type machineQuery struct {
	machine scheduler.MachineID
	dueAt   scheduler.Time
	sent    bool
}

// NewTracker begins a life; effects are those of the workloads.
func NewTracker(log LogCoverage, effects []scheduler.Idempotency) *Tracker {
	return &Tracker{coverage: log, idempotency: effects, startedAt: -1, unresolved: map[string][]unresolvedAttempt{}}
}

// Handle takes what happened and returns what is to be done, in that order.
func (r *Tracker) Handle(now scheduler.Time, events ...Event) []Action {
	r.now, r.actions = now, nil
	if r.startedAt < 0 {
		r.startedAt = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case AttemptRestored:
			r.addUnresolved(e.Attempt)
		case AttemptOutcomeUnknown:
			if r.idempotencyOf(e.Attempt.Request.WorkloadClass) != scheduler.Idempotent {
				r.addUnresolved(e.Attempt)
				r.scheduleQuery(e.Attempt.Machine, now)
			}
		case AttemptNotRunning:
			r.resolve(e.Attempt.Request.IdempotencyKey, func(h Attempt) bool { return h.Number == e.Attempt.Number })
			r.finishQuery(e.Attempt.Machine) // its link stands, and what else it knows it will tell by it
		case MachinesListed:
			r.machinesListed(e)
		case MachineRemoved:
			r.finishQuery(e.Machine)
			r.resolveOnMachine(e.Machine)
		case MachineReported:
			r.finishQuery(e.Machine)
			r.resolveOnMachine(e.Machine)
		case MachineDisconnected:
			if q := r.pendingQuery(e.Machine); q != nil {
				q.sent, q.dueAt = false, now
			}
		case ConnectFailed:
			if q := r.pendingQuery(e.Machine); q != nil && q.sent {
				q.sent, q.dueAt = false, now+queryRetryInterval
			}
		case MachineUnreachable:
			r.scheduleQuery(e.Machine, now+queryRetryInterval)
		}
	}
	r.runTimers()
	return r.actions
}

func (r *Tracker) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Tracker) idempotencyOf(workload int) scheduler.Idempotency {
	if workload >= 0 && workload < len(r.idempotency) {
		return r.idempotency[workload]
	}
	return scheduler.AtMostOnce
}

func (r *Tracker) addUnresolved(h Attempt) {
	r.unresolved[h.Request.IdempotencyKey] = append(r.unresolved[h.Request.IdempotencyKey], unresolvedAttempt{h, r.now})
}

// resolve ends a key's doubts that match.
func (r *Tracker) resolve(key string, match func(Attempt) bool) {
	var left []unresolvedAttempt
	for _, d := range r.unresolved[key] {
		if match(d.attempt) {
			r.emit(AttemptResolved{d.attempt})
		} else {
			left = append(left, d)
		}
	}
	if r.unresolved[key] = left; len(left) == 0 {
		delete(r.unresolved, key)
	}
}

func (r *Tracker) resolveOnMachine(m scheduler.MachineID) {
	var keys []string
	for key, all := range r.unresolved {
		for _, d := range all {
			if d.attempt.Machine == m {
				keys = append(keys, key)
				break
			}
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		r.resolve(key, func(h Attempt) bool { return h.Machine == m })
	}
}

// machinesListed asks the machines of the first list, a few at a time: first those that may run what must not run twice, as
// its owners wait for their word. What a fresh list no longer has is gone; the list as last heard does not tell that.
func (r *Tracker) machinesListed(e MachinesListed) {
	waited, there := map[scheduler.MachineID]bool{}, map[scheduler.MachineID]bool{}
	for _, all := range r.unresolved {
		for _, d := range all {
			waited[d.attempt.Machine] = true
		}
	}
	for _, m := range e.Machines {
		there[m] = true
	}
	if e.FullSnapshot {
		var gone []scheduler.MachineID
		for m := range waited {
			if !there[m] {
				gone = append(gone, m)
			}
		}
		sort.Slice(gone, func(i, j int) bool { return gone[i] < gone[j] })
		for _, m := range gone {
			r.finishQuery(m)
			r.resolveOnMachine(m)
		}
	}
	if r.listed || len(e.Machines) == 0 {
		return
	}
	r.listed = true
	n := 0
	for _, first := range []bool{true, false} {
		for _, m := range e.Machines {
			if waited[m] == first && r.pendingQuery(m) == nil {
				r.scheduleQuery(m, r.now+scheduler.Time(n/queryBatch)*queryInterval)
				n++
			}
		}
	}
}

func (r *Tracker) pendingQuery(m scheduler.MachineID) *machineQuery {
	for _, q := range r.queries {
		if q.machine == m {
			return q
		}
	}
	return nil
}

// scheduleQuery has a machine asked. Where its link stands nothing is to be done: its word comes by that, or the link
// breaks and is then made anew.
func (r *Tracker) scheduleQuery(m scheduler.MachineID, at scheduler.Time) {
	if r.pendingQuery(m) == nil {
		r.queries = append(r.queries, &machineQuery{machine: m, dueAt: at})
	}
}

func (r *Tracker) finishQuery(m scheduler.MachineID) {
	for i, q := range r.queries {
		if q.machine == m {
			r.queries = append(r.queries[:i], r.queries[i+1:]...)
			return
		}
	}
}

// runTimers asks the machines whose time has come.
func (r *Tracker) runTimers() {
	for _, q := range r.queries {
		if !q.sent && q.dueAt <= r.now {
			q.sent = true
			r.emit(ConnectMachine{q.machine})
		}
	}
	if !r.completed && (r.allReported() || r.now >= r.startedAt+reportTimeout) {
		r.completed = true
		r.emit(RecoveryComplete{})
	}
	if !r.announcedAll && r.allReported() {
		r.announcedAll, r.coverage = true, LogComplete
		r.emit(AllMachinesReported{})
	}
}

func (r *Tracker) allReported() bool { return r.listed && len(r.queries) == 0 }

// NextTimer is when time is to pass again; 0: it need not.
func (r *Tracker) NextTimer() scheduler.Time {
	next := scheduler.Time(0)
	if !r.completed {
		next = r.startedAt + reportTimeout
	}
	for _, q := range r.queries {
		if !q.sent && (next == 0 || q.dueAt < next) {
			next = q.dueAt
		}
	}
	return next
}

// WaitReason tells why an ask must wait, or is empty. Work that must not run twice never goes out while a bid of its key
// may run. Beyond that, an ask that came before waits until it is known what runs from earlier lives: at once with
// a log that has it all, and without one when all machines told, or for some seconds. Of numbered work some bids are
// missing from a log whose system stopped; that waits for every machine.
func (r *Tracker) WaitReason(a scheduler.PlacementRequest) string {
	effect := r.idempotencyOf(a.WorkloadClass)
	if effect == scheduler.Idempotent {
		return ""
	}
	for _, d := range r.unresolved[a.IdempotencyKey] {
		if effect == scheduler.AtMostOnce || r.fromEarlierIncarnation(d) {
			return fmt.Sprintf("key %s may run on machine %s, which has not told since %d ms", a.IdempotencyKey, d.attempt.Machine,
				(r.now-d.since)/scheduler.Millisecond)
		}
	}
	if !a.ClientRetry || r.allReported() || r.coverage == LogComplete || r.coverage == LogSynced && effect == scheduler.AtMostOnce {
		return ""
	}
	if r.coverage == LogNone && (r.completed || r.now >= r.startedAt+reportTimeout) {
		return ""
	}
	return fmt.Sprintf("this placer came up %d ms ago and does not know yet what runs", (r.now-r.startedAt)/scheduler.Millisecond)
}

// UncertainReason tells why it is not known yet whether anything of a key runs, or is empty.
func (r *Tracker) UncertainReason(key string) string {
	if all := r.unresolved[key]; len(all) > 0 {
		return fmt.Sprintf("key %s may run on machine %s, which has not told", key, all[0].attempt.Machine)
	}
	if !r.completed && !r.allReported() {
		return fmt.Sprintf("this placer came up %d ms ago and does not know yet what runs", (r.now-r.startedAt)/scheduler.Millisecond)
	}
	return ""
}

// fromEarlierIncarnation tells whether a doubt is of an earlier life. Of this life the placer module holds numbered work to its
// group and window by itself; of an earlier one nobody knows when its bid was sent.
func (r *Tracker) fromEarlierIncarnation(d unresolvedAttempt) bool { return d.since == r.startedAt }

// UnresolvedKeys is the number of keys that wait for a machine's word.
func (r *Tracker) UnresolvedKeys() int { return len(r.unresolved) }

// ContainerPhase is how far a container had come by a keeper's log.
type ContainerPhase uint8

const (
	PhasePending   ContainerPhase = iota // nothing of it was asked for, or what was is surely over
	PhaseRequested                       // a placer was asked, or about to be: it may run
	PhaseRunning                         // a machine ran it
	PhaseFencing                         // it was being waited for whether it runs
	PhaseFinished                        // it finished and is not started again
)

// ResumeStep is what is done first.
type ResumeStep uint8

const (
	StepRequest ResumeStep = iota // it is asked for, anywhere
	StepLookup                    // the placer that was asked is asked again by the same key: it knows, or finds out
	StepFence                     // the wait begins anew: nobody knows how much of it had passed
	StepNone                      // nothing
)

// resumeRate is how many containers a keeper asks for in a second while it recovers: a placer decides on some 10,000
// a second, and what came before must not crowd out what comes.
const resumeRate = 2000

// Resume decides on one container, the nth of those that its keeper's log names. What may run is never asked for
// elsewhere, whatever its effect: a second copy of reissuable work does no harm, but nobody would end it.
func Resume(p ContainerPhase, n int) (ResumeStep, scheduler.Time) {
	pace := scheduler.Time(n) * scheduler.Second / resumeRate
	switch p {
	case PhaseRequested, PhaseRunning:
		return StepLookup, pace
	case PhaseFencing:
		return StepFence, 0
	case PhaseFinished:
		return StepNone, 0
	}
	return StepRequest, pace
}
