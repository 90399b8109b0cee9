package controller

import "slices"

// scale makes the replicas of a job follow the wanted count: new ones become pending, those beyond it terminate.
func (l *lifecycle) scale(j *job) {
	for i := range j.count {
		if i == len(j.replicas) {
			j.replicas = append(j.replicas, nil)
		}
		// A removed one stays in its place while one behind it is terminating.
		if j.replicas[i] == nil || j.replicas[i].state == replicaRemoved {
			l.created(j, i)
		}
	}
	// The end of the last replicas shortens the list of the job, not the one that is iterated here.
	for i, r := range slices.Backward(j.replicas) {
		switch wanted := i < j.count; {
		case wanted && r.terminating:
			l.scaledUp(r)
		case !wanted && !r.terminating:
			l.scaledDown(r)
		}
	}
	l.jobs.trim(j)
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
	l.requests.open(r)
	l.enter(r, event, replicaCancelling, noTimer, statusCancelled)
	l.cancelRequest(r)
}

// rollOut replaces running containers by ones of the job's newest spec, one at a time.
func (l *lifecycle) rollOut(j *job) {
	if r := j.nextToReplace(); r != nil {
		r.replacing = true
		l.outbox.markChanged(r)
		l.cancelRequest(r)
	}
}
