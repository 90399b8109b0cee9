package controller

import "glenport/scheduler"

// keyUse is what is known of an idempotency key.
type keyUse uint8

const (
	keyUnused    keyUse = iota // nothing was requested under it
	keySubmitted               // a placement was requested under it
	keySticky                  // something may run under it, and only the scheduler it was submitted to can know
)

// replica is one container within the count of its job, or beyond it and not yet ended. Its state changes in transition
// alone; the other fields are maintained by lifecycle. They are stored as a Container.
type replica struct {
	job      *job
	index    int
	revision int // of the spec in its last placement request
	state    replicaState

	terminating bool // its job no longer needs it
	replacing   bool // it was cancelled in favor of a newer spec
	refused     bool // the last answer before it became pending was a VerdictRefused

	idempotencyKey string
	keyUse         keyUse
	requestID      string // of the last request
	scheduler      int    // the last that was sent a request for it; noScheduler: none
	machine        string // that runs it
	submittedSpec  Spec   // of the last placement request
	attempts       int    // placement requests since it last ran
	starts         int

	since      scheduler.Time // when its state began
	until      scheduler.Time // when the next step is due; 0: none is scheduled
	lastStatus string         // the last answer or outcome, for people
	// added to its next lookup, so that a restarted controller does not look up all at once
	lookupDelay scheduler.Time
}

func newReplica(j *job, index int) *replica {
	return &replica{job: j, index: index, revision: j.revision, scheduler: noScheduler}
}

// newMissingReplica returns the placeholder, in a restored job, of a container that was removed.
func newMissingReplica(j *job, index int) *replica {
	return &replica{job: j, index: index, state: replicaRemoved, terminating: true}
}

// newRestoredReplica has the facts of a stored container. Its state follows from lifecycle.restored.
func newRestoredReplica(j *job, stored *Container) *replica {
	return &replica{
		job: j, index: stored.Index,
		terminating: stored.Terminating, replacing: stored.Replacing, refused: stored.Refused,
		idempotencyKey: stored.IdempotencyKey, keyUse: storedKeyUse(stored), requestID: stored.RequestID,
		scheduler: stored.Scheduler, machine: stored.Machine, submittedSpec: stored.SubmittedSpec,
		attempts: stored.Attempts, starts: stored.Starts,
		since: stored.Since, until: stored.Until, lastStatus: stored.LastStatus,
	}
}

func storedKeyUse(stored *Container) keyUse {
	switch {
	case stored.Sticky:
		return keySticky
	case stored.Submitted:
		return keySubmitted
	}
	return keyUnused
}

// record is the replica as it is stored.
func (r *replica) record() Container {
	return Container{
		Job: r.job.id, Index: r.index, State: r.state.stored(), Terminating: r.terminating,
		Machine: r.machine, Scheduler: r.scheduler, Sticky: r.sticky(),
		Since: r.since, Until: r.until, Attempts: r.attempts, Starts: r.starts,
		LastStatus: r.lastStatus, Refused: r.refused,
		IdempotencyKey: r.idempotencyKey, RequestID: r.requestID, Submitted: r.keyUse != keyUnused,
		Replacing: r.replacing, SubmittedSpec: r.submittedSpec,
	}
}

// sticky reports whether it may run while only its scheduler can know.
func (r *replica) sticky() bool { return r.keyUse == keySticky }

// orphan is the copy that the replica's last request may have left at its scheduler.
func (r *replica) orphan() Orphan { return Orphan{r.scheduler, r.idempotencyKey} }

// requestOpen reports whether a scheduler has a request for the replica and has not answered it.
func (r *replica) requestOpen() bool {
	return r.state == replicaPlacing || r.state == replicaLookingUp || r.state == replicaCancelling
}

// mayEnd reports whether the end of its container is expected. While it is placed or looked up, that is so only once it
// is terminating, as its request was cancelled then.
func (r *replica) mayEnd() bool {
	switch r.state {
	case replicaPlacing, replicaLookingUp:
		return r.terminating
	case replicaCancelling, replicaRunning, replicaUnobserved:
		return true
	case replicaCreated, replicaPending, replicaFencing, replicaCompleted, replicaRemoved:
	}
	return false
}

// rollingOut reports whether a replica was cancelled for the newest spec, or has that spec and does not run yet.
func (r *replica) rollingOut() bool {
	if r.replacing {
		return true
	}
	restarting := r.starts > 0 && r.state != replicaRunning && r.state != replicaCompleted
	return r.revision == r.job.revision && restarting
}
