package controller

import (
	"sort"
	"strconv"
	"strings"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// restoredRevision is that of the specs of restored jobs. Containers of another spec keep revision 0 and are replaced.
const restoredRevision = 1

// stateRestored adopts what an earlier incarnation has stored. What may run is looked up at the scheduler that was sent
// the request; placements are requested at a limited rate.
func (c *Controller) stateRestored(e StateRestored) {
	for _, set := range e.Jobs {
		c.jobs[set.Job] = &job{id: set.Job, spec: set.Spec, revision: restoredRevision, count: set.Count}
	}
	for position, container := range sortedContainers(e.Containers) {
		r := c.restoreReplica(container)
		c.lastSequence = max(c.lastSequence, sequenceAfter("/", r.IdempotencyKey), sequenceAfter("#", r.RequestID))
		c.resume(r, position)
	}
	for _, orphan := range e.Orphans {
		c.orphans[orphan] = 0
	}
	for _, id := range c.sortedJobIDs() {
		c.scale(c.jobs[id])
	}
}

// sortedContainers returns a copy in order of job and index.
func sortedContainers(containers []Container) []Container {
	sorted := append([]Container(nil), containers...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Job != sorted[j].Job {
			return sorted[i].Job < sorted[j].Job
		}
		return sorted[i].Index < sorted[j].Index
	})
	return sorted
}

// restoreReplica puts a stored container in its place in its job. Places before it that have no container count as
// removed.
func (c *Controller) restoreReplica(container Container) *replica {
	j := c.jobs[container.Job]
	if j == nil { // the job was deleted, and this container has to end
		j = &job{id: container.Job, spec: container.SubmittedSpec, revision: restoredRevision}
		c.jobs[container.Job] = j
	}
	for len(j.replicas) <= container.Index {
		missing := Container{Job: container.Job, Index: len(j.replicas), Terminating: true}
		j.replicas = append(j.replicas, &replica{job: j, removed: true, Container: missing})
	}
	r := &replica{job: j, Container: container}
	if container.SubmittedSpec == j.spec || container.State == StatePending {
		r.revision = restoredRevision
	}
	j.replicas[container.Index] = r
	return r
}

// sequenceAfter is the number at the end of a key or request id, behind the last separator. One without a number, as
// where nothing was requested yet, counts as 0: it cannot come again.
func sequenceAfter(separator, id string) uint64 {
	number := id[strings.LastIndex(id, separator)+1:]
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// resume takes the first step about a restored replica, which recovery decides. The position among all restored ones
// paces it.
func (c *Controller) resume(r *replica, position int) {
	step, delay := recovery.Resume(recoveryPhase(&r.Container), position)
	switch step {
	case recovery.StepLookup:
		c.resumeLookup(r, delay)
	case recovery.StepFence:
		c.fence(r, r.LastStatus)
	case recovery.StepRequest:
		c.setPending(r, c.jitter(restartDelay)+delay, r.LastStatus)
	case recovery.StepNone:
		c.setState(r, r.State, noTimer, r.LastStatus)
	}
}

// resumeLookup waits for the scheduler of a replica that may run. If that is no longer configured, idempotent work is
// started anew, and other work stays as it is.
func (c *Controller) resumeLookup(r *replica, delay scheduler.Time) {
	switch {
	case r.Scheduler != noScheduler:
		r.lookupDelay = delay
		c.setState(r, StateUnobserved, unobservedTimeout+delay, statusControllerRestarted)
	case c.idempotent(r):
		c.newIdempotencyKey(r)
		c.setPending(r, delay, statusSchedulerRemoved)
	default:
		r.Sticky = true
		c.setPending(r, delay, statusSchedulerRemovedMayRun)
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
