package controller

import "slices"

// scale adjusts the replicas of a job to its count. It creates the missing ones and terminates those beyond the count.
func (l *lifecycle) scale(j *job) {
	l.createMissing(j)
	// Removing the last replicas shortens j.replicas, but not the slice that is iterated here.
	for i, r := range slices.Backward(j.replicas) {
		switch withinCount := i < j.count; {
		case withinCount && r.terminating:
			l.retain(r)
		case !withinCount && !r.terminating:
			l.terminate(r)
		}
	}
	l.jobs.trim(j)
}

// createMissing creates the replicas below the count of a job that do not exist or have been removed. A removed replica
// stays in the list while one with a higher index is terminating.
func (l *lifecycle) createMissing(j *job) {
	for i := range j.count {
		if i == len(j.replicas) {
			j.replicas = append(j.replicas, nil)
		}
		if j.replicas[i] == nil || j.replicas[i].state == replicaRemoved {
			l.create(j, i)
		}
	}
}

// retain marks a terminating replica as wanted again. If its container was cancelled, the container still ends, and a
// new one is started.
func (l *lifecycle) retain(r *replica) {
	r.terminating = false
	l.outbox.markChanged(r)
}

// terminate marks a replica as not wanted. If its container may be running, the container is cancelled or its end
// awaited before the replica is removed.
func (l *lifecycle) terminate(r *replica) {
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
		// The next step follows when the delay of the state is over or its scheduler has reconnected.
	case replicaCreated, replicaRemoved: // these are never terminated
	}
}

// cancelRequest cancels the open request of a replica, or the container that was accepted for it.
func (l *lifecycle) cancelRequest(r *replica) {
	l.outbox.emit(CancelRequest{r.scheduler, r.requestID, r.idempotencyKey})
}

// cancelKey cancels a replica that may be running, with a new request to the only scheduler that can tell whether it
// runs. While that scheduler is not connected the replica is kept, because a replacement could become a second copy.
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

// rollOut replaces running containers by containers of the job's newest spec, one at a time.
func (l *lifecycle) rollOut(j *job) {
	if r := j.nextToReplace(); r != nil {
		r.beingReplaced = true
		l.outbox.markChanged(r)
		l.cancelRequest(r)
	}
}
