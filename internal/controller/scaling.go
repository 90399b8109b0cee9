package controller

import "slices"

// scale adjusts the replicas of a job to its count: missing ones are created, and those beyond the count terminate.
func (l *lifecycle) scale(j *job) {
	l.createMissing(j)
	// The end of the last replicas shortens the list of the job, not the one that is iterated here.
	for i, r := range slices.Backward(j.replicas) {
		switch withinCount := i < j.count; {
		case withinCount && r.terminating:
			l.scaledUp(r)
		case !withinCount && !r.terminating:
			l.scaledDown(r)
		}
	}
	l.jobs.trim(j)
}

// createMissing creates the replicas up to a job's count that do not exist or have been removed; a removed one keeps
// its place while one behind it is terminating.
func (l *lifecycle) createMissing(j *job) {
	for i := range j.count {
		if i == len(j.replicas) {
			j.replicas = append(j.replicas, nil)
		}
		if j.replicas[i] == nil || j.replicas[i].state == replicaRemoved {
			l.created(j, i)
		}
	}
}

// scaledUp keeps a replica that was terminating. What was cancelled ends all the same, and is started again.
func (l *lifecycle) scaledUp(r *replica) {
	r.terminating = false
	l.outbox.markChanged(r)
}

// scaledDown ends a replica that is not wanted. One that may run is cancelled, or waited for, first.
func (l *lifecycle) scaledDown(r *replica) {
	r.terminating = true
	l.outbox.markChanged(r)
	switch r.state {
	case replicaPlacing, replicaLookingUp, replicaCancelling, replicaRunning:
		l.cancelRequest(r)
	case replicaPending:
		if r.sticky() {
			l.cancelKey(r, eventScaledDown)
			return
		}
		l.remove(r, eventScaledDown)
	case replicaCompleted:
		l.remove(r, eventScaledDown)
	case replicaFencing, replicaUnobserved:
		// The end of the fencing delay, or the scheduler's connection, goes on with it.
	case replicaCreated, replicaRemoved: // never among the replicas that are scaled
	}
}

// cancelRequest ends the open request of a replica, or the container that was accepted by it.
func (l *lifecycle) cancelRequest(r *replica) {
	l.outbox.emit(CancelRequest{r.scheduler, r.requestID, r.idempotencyKey})
}

// cancelKey ends a replica that may run, by a request of its own to the scheduler that can know. While that is not
// connected the replica stays, as one that takes its place could be a second copy.
func (l *lifecycle) cancelKey(r *replica, event replicaEvent) {
	if !l.schedulers.isConnected(r.scheduler) {
		l.enter(r, event, replicaUnobserved, noTimer, r.lastStatus)
		return
	}
	if l.enter(r, event, replicaCancelling, noTimer, statusCancelled) {
		l.requests.open(r)
		l.cancelRequest(r)
	}
}

// rollOut replaces running containers by ones of the job's newest spec, one at a time.
func (l *lifecycle) rollOut(j *job) {
	if r := j.nextToReplace(); r != nil {
		r.replacing = true
		l.outbox.markChanged(r)
		l.cancelRequest(r)
	}
}
