package controller

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// restoredRevision is the revision of the specs of restored jobs. Containers with another spec keep revision 0 and are
// replaced.
const restoredRevision = 1

// sortedContainers returns a copy of the containers in order of job and index.
func sortedContainers(containers []Container) []Container {
	return slices.SortedFunc(slices.Values(containers), func(a, b Container) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// restoreReplica adds the replica of a stored container to its job. Lower indexes without a container get placeholders
// that count as removed.
func (c *Controller) restoreReplica(stored *Container) *replica {
	j := c.jobs.find(stored.Job)
	if j == nil { // the job was deleted, and its container must end
		j = &job{id: stored.Job, spec: stored.SubmittedSpec, revision: restoredRevision}
		c.jobs.add(j)
	}
	for len(j.replicas) <= stored.Index {
		j.replicas = append(j.replicas, newPlaceholderReplica(j, len(j.replicas)))
	}
	r := newRestoredReplica(j, stored)
	if stored.SubmittedSpec == j.spec || stored.State == StatePending {
		r.revision = restoredRevision
	}
	j.replicas[stored.Index] = r
	return r
}

// trailingNumber returns the number after the last separator of a key or request id. It returns 0 if there is none, as
// for the empty request id of a replica that was never requested. Ids without a number are never generated, so none of
// them can be reused.
func trailingNumber(separator, id string) uint64 {
	digits := id[strings.LastIndex(id, separator)+1:]
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// resume takes the first step of a restored replica, as package recovery decides for the phase of its container. The
// position of the replica among all restored ones spreads the steps over time.
func (l *lifecycle) resume(r *replica, phase recovery.ContainerPhase, position int) {
	step, delay := recovery.Resume(phase, position)
	switch step {
	case recovery.StepLookup:
		l.resumeLookup(r, delay)
	case recovery.StepFence:
		l.fence(r, eventRestored, r.lastStatus)
	case recovery.StepRequest:
		l.enterPending(r, eventRestored, l.random.jitter(restartDelay)+delay, r.lastStatus)
	case recovery.StepNone:
		l.enter(r, eventRestored, replicaCompleted, noTimer, r.lastStatus)
	}
}

// resumeLookup waits for the scheduler of a replica that may be running. If that scheduler is no longer configured,
// idempotent work is started anew, and other work stays sticky.
func (l *lifecycle) resumeLookup(r *replica, delay scheduler.Time) {
	switch {
	case r.scheduler != noScheduler:
		r.lookupDelay = delay
		l.enter(r, eventRestored, replicaUnobserved, unobservedTimeout+delay, statusControllerRestarted)
	case l.classes.idempotent(r.job):
		l.renewIdempotencyKey(r)
		l.enterPending(r, eventRestored, delay, statusSchedulerRemoved)
	default:
		r.keyUse = keySticky
		l.enterPending(r, eventRestored, delay, statusSchedulerRemovedMayRun)
	}
}

// recoveryPhase returns the phase that a stored container had reached.
func recoveryPhase(container *Container) recovery.ContainerPhase {
	switch container.State {
	case StatePending:
		if container.Sticky {
			return recovery.PhaseRequested
		}
	case StatePlacing:
		return recovery.PhaseRequested
	case StateRunning, StateUnobserved:
		return recovery.PhaseRunning
	case StateFencing:
		return recovery.PhaseFencing
	case StateCompleted:
		return recovery.PhaseFinished
	}
	return recovery.PhasePending
}
