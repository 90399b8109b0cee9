package reconcile

import (
	"errors"
	"log/slog"

	"glenport/internal/schedulerd/admission"
	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

// retryAfter is the retry-after given to a client whose idempotency key is in use or may be in use.
const retryAfter = 500 * scheduler.Millisecond

func (r *Reconciler) clientConnected(client ClientID) {
	if err := r.admission.Connect(client); err != nil {
		r.emit(CloseClient{Client: client, Reason: err})
	}
}

// placementRequested admits a request, or answers it with the container that holds its key. Nothing was sent to a
// machine for a request that is rejected here, so a retry is safe.
func (r *Reconciler) placementRequested(e PlacementRequested) {
	if !r.admission.Connected(e.Client) {
		return // the client would not receive an answer
	}
	id, key := e.Request.ID, e.Request.IdempotencyKey
	other := r.containers.byKey[key]
	switch {
	case e.Request.WorkloadClass >= len(r.idempotency):
		r.reject(e.Client, id, &UnknownClassError{Class: e.Request.WorkloadClass}, 0)
	case r.containers.byID[id] != nil:
		r.reject(e.Client, id, &DuplicateContainerError{ID: id}, 0)
	case other == nil:
		r.admit(e)
	case other.terminating:
		r.reject(e.Client, id, &KeyInUseError{Key: key, ID: other.id, State: KeyTerminating}, retryAfter)
	case other.placed():
		r.emit(AlreadyRunning{Client: e.Client, ID: id, RunningID: other.id, Machine: other.machine})
	case other.open || other.lateAccept != nil:
		r.reject(e.Client, id, &KeyInUseError{Key: key, ID: other.id, State: KeyPlacing}, retryAfter)
	default:
		r.admit(e)
	}
}

// admit opens a request that conflicts with no known container. It rejects the request if a limit is reached, if a
// container may run under the key of the request, or if load is shed.
func (r *Reconciler) admit(e PlacementRequested) {
	if err := r.admission.CheckLimits(e.Client); err != nil {
		r.rejectAdmission(e, err)
		return
	}
	if err := r.tracker.CheckPlacement(e.Request); err != nil {
		r.reject(e.Client, e.Request.ID, err, retryAfter)
		return
	}
	changes, err := r.admission.Open(r.now, e.Client, e.Request)
	r.logShedding(changes)
	if err != nil {
		r.rejectAdmission(e, err)
		return
	}
	r.containers.add(&container{
		id:            e.Request.ID,
		key:           e.Request.IdempotencyKey,
		client:        e.Client,
		open:          true,
		workloadClass: e.Request.WorkloadClass,
		admittedAt:    r.now,
	})
	r.emit(Admit(e))
}

func (r *Reconciler) reject(client ClientID, id scheduler.ContainerID, reason error, after scheduler.Time) {
	r.emit(Reject{Client: client, ID: id, Reason: reason, RetryAfter: after})
}

func (r *Reconciler) rejectAdmission(e PlacementRequested, err error) {
	var after scheduler.Time
	if rejection, ok := errors.AsType[*admission.RejectionError](err); ok {
		after = rejection.RetryAfter
	}
	r.reject(e.Client, e.Request.ID, err, after)
}

func (r *Reconciler) logShedding(changes []overload.Action) {
	for _, change := range changes {
		switch change := change.(type) {
		case overload.SheddingStarted:
			r.log("load shedding started", slog.String("reason", change.Reason.String()), slog.Int("open", change.Open),
				slog.Int("limit", int(change.Limit)), slog.Int("starts_per_second", int(change.Throughput)))
		case overload.SheddingEnded:
			r.log("load shedding ended", slog.Int("shed", change.Shed), slog.Int("limit", int(change.Limit)))
		}
	}
}

func (r *Reconciler) log(message string, attrs ...slog.Attr) {
	r.emit(Log{Message: message, Attributes: attrs})
}

// cancelRequested terminates the container that an id or a key identifies. If no container is known under the key, the
// answer depends on whether it is certain that none runs. A scheduler that has just started does not know that yet.
func (r *Reconciler) cancelRequested(e CancelRequested) {
	if c := r.containers.find(e.ID, e.IdempotencyKey); c != nil {
		r.cancelLateAccept(c) // otherwise it would be adopted once the container is removed, and keep running
		r.emit(TerminateContainer{Client: e.Client, ID: c.id, RequestedID: e.ID})
		return
	}
	if e.IdempotencyKey == "" {
		return
	}
	if err := r.tracker.CheckKey(e.IdempotencyKey); err != nil {
		r.reject(e.Client, e.ID, err, retryAfter)
		return
	}
	r.emit(AlreadyTerminated{Client: e.Client, ID: e.ID})
}

// lookupRequested answers with the container that runs under a key, or that no container runs under the key. It rejects
// the request while this is not certain.
func (r *Reconciler) lookupRequested(e LookupRequested) {
	c := r.containers.byKey[e.IdempotencyKey]
	if c != nil && c.placed() && !c.terminating {
		r.emit(AlreadyRunning{Client: e.Client, ID: e.ID, RunningID: c.id, Machine: c.machine})
		return
	}
	if c != nil {
		r.reject(
			e.Client,
			e.ID,
			&KeyInUseError{Key: e.IdempotencyKey, ID: c.id, State: KeyPlacingOrTerminating},
			retryAfter,
		)
		return
	}
	if err := r.tracker.CheckKey(e.IdempotencyKey); err != nil {
		r.reject(e.Client, e.ID, err, retryAfter)
		return
	}
	r.emit(NotRunning{Client: e.Client, ID: e.ID})
}

func (r *Reconciler) requestFailed(id scheduler.ContainerID) {
	if c := r.containers.byID[id]; c != nil {
		r.closeRequest(c, overload.RequestFailed{WorkloadClass: c.workloadClass})
	}
}

// closeRequest closes the request of a container if it is open.
func (r *Reconciler) closeRequest(c *container, outcome overload.Event) {
	if !c.open {
		return
	}
	c.open = false
	r.admission.Close(r.now, c.client, outcome)
}
