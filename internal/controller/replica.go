package controller

import "glenport/scheduler"

// keyUse describes the use of an idempotency key so far.
type keyUse uint8

const (
	keyUnused    keyUse = iota // no placement was requested under it
	keySubmitted               // a placement was requested under it
	keySticky                  // a container may be running under it, and only the scheduler it was sent to can tell
)

// replica is one container within the count of its job, or one beyond the count that has not ended. Only transition
// changes its state. lifecycle maintains the other fields. A replica is stored as a Container.
type replica struct {
	job      *job
	index    int
	revision int // revision of the spec in its last placement request
	state    replicaState

	terminating   bool // its job does not want it
	beingReplaced bool // cancelled in favor of a newer spec
	wasRefused    bool // it became pending after a VerdictRefused

	idempotencyKey string
	keyUse         keyUse
	requestID      string // of the last request
	scheduler      int    // the scheduler that received the last request for it; noScheduler: none
	machine        string // the machine that runs it
	submittedSpec  Spec   // of the last placement request
	attempts       int    // number of placement requests since it last ran
	starts         int

	enteredStateAt scheduler.Time // when it entered its state
	nextStepAt     scheduler.Time // when the next step is due; 0: no step is scheduled
	lastStatus     string         // last answer or outcome, for display
	// added to the delay of the next lookup, so that a restarted controller spreads its lookups
	lookupDelay scheduler.Time
}

func newReplica(j *job, index int) *replica {
	return &replica{job: j, index: index, revision: j.revision, scheduler: noScheduler}
}

// newPlaceholderReplica returns a replica that stands, in the list of a restored job, for a container that was removed.
func newPlaceholderReplica(j *job, index int) *replica {
	return &replica{job: j, index: index, state: replicaRemoved, terminating: true}
}

// newRestoredReplica returns the replica of a stored container, in the state replicaCreated. lifecycle.resume sets its
// state.
func newRestoredReplica(j *job, stored *Container) *replica {
	return &replica{
		job: j, index: stored.Index,
		terminating: stored.Terminating, beingReplaced: stored.BeingReplaced, wasRefused: stored.WasRefused,
		idempotencyKey: stored.IdempotencyKey, keyUse: storedKeyUse(stored), requestID: stored.RequestID,
		scheduler: stored.Scheduler, machine: stored.Machine, submittedSpec: stored.SubmittedSpec,
		attempts: stored.Attempts, starts: stored.Starts,
		enteredStateAt: stored.EnteredStateAt, nextStepAt: stored.NextStepAt, lastStatus: stored.LastStatus,
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

// record returns the replica in its stored form.
func (r *replica) record() Container {
	return Container{
		Job: r.job.id, Index: r.index, State: r.state.containerState(), Terminating: r.terminating,
		Machine: r.machine, Scheduler: r.scheduler, Sticky: r.sticky(),
		EnteredStateAt: r.enteredStateAt, NextStepAt: r.nextStepAt, Attempts: r.attempts, Starts: r.starts,
		LastStatus: r.lastStatus, WasRefused: r.wasRefused,
		IdempotencyKey: r.idempotencyKey, RequestID: r.requestID, Submitted: r.keyUse != keyUnused,
		BeingReplaced: r.beingReplaced, SubmittedSpec: r.submittedSpec,
	}
}

// sticky reports whether the replica may be running and only its scheduler can tell.
func (r *replica) sticky() bool { return r.keyUse == keySticky }

// orphan returns the copy that the replica's last request may have left at its scheduler.
func (r *replica) orphan() Orphan { return Orphan{r.scheduler, r.idempotencyKey} }

// hasOpenRequest reports whether a scheduler has a request for the replica and has not answered it.
func (r *replica) hasOpenRequest() bool {
	return r.state == replicaPlacing || r.state == replicaLookingUp || r.state == replicaCancelling
}

// expectsEnd reports whether the end of the replica's container is expected. While the replica is being placed or
// looked up, an end is expected only if the replica is terminating, because its request was then cancelled.
func (r *replica) expectsEnd() bool {
	switch r.state {
	case replicaPlacing, replicaLookingUp:
		return r.terminating
	case replicaCancelling, replicaRunning, replicaUnobserved:
		return true
	case replicaCreated, replicaPending, replicaFencing, replicaCompleted, replicaRemoved:
	}
	return false
}

// rollingOut reports whether the replica was cancelled for the newest spec, or has that spec and is being restarted.
func (r *replica) rollingOut() bool {
	if r.beingReplaced {
		return true
	}
	restarting := r.starts > 0 && r.state != replicaRunning && r.state != replicaCompleted
	return r.revision == r.job.revision && restarting
}
