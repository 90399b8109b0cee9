package controller

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// restoredRevision is that of the specs of restored jobs. Containers of another spec keep revision 0 and are replaced.
const restoredRevision = 1

// sortedContainers returns a copy in order of job and index.
func sortedContainers(containers []Container) []Container {
	return slices.SortedFunc(slices.Values(containers), func(a, b Container) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// restoreReplica puts a stored container in its place in its job. Places before it that have no container count as
// removed.
func (c *Controller) restoreReplica(stored *Container) *replica {
	j := c.jobs.find(stored.Job)
	if j == nil { // the job was deleted, and this container has to end
		j = &job{id: stored.Job, spec: stored.SubmittedSpec, revision: restoredRevision}
		c.jobs.add(j)
	}
	for len(j.replicas) <= stored.Index {
		j.replicas = append(j.replicas, newMissingReplica(j, len(j.replicas)))
	}
	r := newRestoredReplica(j, stored)
	if stored.SubmittedSpec == j.spec || stored.State == StatePending {
		r.revision = restoredRevision
	}
	j.replicas[stored.Index] = r
	return r
}

// sequenceAfter is the number at the end of a key or request id, behind the last separator. One without a number, as
// where nothing was requested yet, counts as 0: it cannot come again.
func sequenceAfter(separator, id string) uint64 {
	digits := id[strings.LastIndex(id, separator)+1:]
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// restored takes the first step about a replica whose container had come to a phase, which recovery decides. The
// position among all restored ones paces it.
func (l *lifecycle) restored(r *replica, phase recovery.ContainerPhase, position int) {
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

// resumeLookup waits for the scheduler of a replica that may run. If that is no longer configured, idempotent work is
// started anew, and other work stays as it is.
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

// recoveryPhase is how far a stored container had come.
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
