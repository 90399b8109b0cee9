package reconcile

import (
	"log/slog"
	"slices"
	"strings"

	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// container is a container whose request was admitted, or that was adopted.
type container struct {
	id            scheduler.ContainerID
	key           string
	client        ClientID // client that sent the request; unset if the container was adopted
	open          bool     // the request has no final answer yet
	admittedAt    scheduler.Time
	workloadClass int
	machine       scheduler.MachineID // empty until the container is placed
	incarnation   uint64              // incarnation of the scheduler that placed the container
	attempt       uint64              // number of the attempt that placed the container
	terminating   bool                // adopted while its attempt was being cancelled; the attempt has not ended yet
	lateAccept    *Attempt            // an attempt that runs although it was given up; nil once the container is placed
}

func (c *container) placed() bool { return c.machine != "" }

// containerTable indexes containers.
type containerTable struct {
	byID      map[scheduler.ContainerID]*container        // all containers
	byKey     map[string]*container                       // the holder of each idempotency key
	onMachine map[scheduler.MachineID]map[*container]bool // the placed containers
}

func newContainerTable() containerTable {
	return containerTable{
		byID:      map[scheduler.ContainerID]*container{},
		byKey:     map[string]*container{},
		onMachine: map[scheduler.MachineID]map[*container]bool{},
	}
}

// add adds a container, which becomes the holder of its key.
func (t *containerTable) add(c *container) {
	t.byID[c.id] = c
	t.byKey[c.key] = c
}

// addAdopted adds an adopted container. If another container holds the key already, that container stays the holder.
func (t *containerTable) addAdopted(c *container) {
	t.byID[c.id] = c
	if t.byKey[c.key] == nil {
		t.byKey[c.key] = c
	}
}

func (t *containerTable) find(id scheduler.ContainerID, key string) *container {
	if c := t.byID[id]; c != nil {
		return c
	}
	return t.byKey[key]
}

func (t *containerTable) place(c *container, machine scheduler.MachineID, incarnation, attempt uint64) {
	c.machine, c.incarnation, c.attempt = machine, incarnation, attempt
	if t.onMachine[machine] == nil {
		t.onMachine[machine] = map[*container]bool{}
	}
	t.onMachine[machine][c] = true
}

func (t *containerTable) remove(c *container) {
	delete(t.byID, c.id)
	if t.byKey[c.key] == c {
		delete(t.byKey, c.key)
	}
	if !c.placed() {
		return
	}
	delete(t.onMachine[c.machine], c)
	if len(t.onMachine[c.machine]) == 0 {
		delete(t.onMachine, c.machine)
	}
}

// runningOn returns the containers on a machine, sorted by id so that equal events lead to equal actions.
func (t *containerTable) runningOn(machine scheduler.MachineID) []*container {
	running := make([]*container, 0, len(t.onMachine[machine]))
	for c := range t.onMachine[machine] {
		running = append(running, c)
	}
	slices.SortFunc(running, func(a, b *container) int { return strings.Compare(string(a.id), string(b.id)) })
	return running
}

func (r *Reconciler) attemptAccepted(e AttemptAccepted) {
	c := r.containers.byID[e.ID]
	if c == nil {
		return
	}
	r.closeRequest(c, overload.RequestStarted{WorkloadClass: c.workloadClass, Elapsed: r.now - c.admittedAt})
	r.containers.place(c, e.Machine, r.incarnation, e.Attempt)
	r.cancelLateAccept(c) // an earlier attempt runs as well, and one copy is enough
}

func (r *Reconciler) containerRemoved(id scheduler.ContainerID) {
	c := r.containers.byID[id]
	if c == nil {
		return
	}
	r.closeRequest(c, overload.RequestFailed{WorkloadClass: c.workloadClass})
	r.containers.remove(c)
	if c.placed() && len(r.containers.onMachine[c.machine]) == 0 {
		r.reconnects.end(c.machine)
	}
	if c.lateAccept != nil {
		r.adopt(*c.lateAccept)
	}
}

func (r *Reconciler) cancelAttempt(a Attempt) {
	r.emit(CancelAttempt{Machine: a.Machine, Incarnation: a.Incarnation, Attempt: a.Number})
}

func (r *Reconciler) cancelLateAccept(c *container) {
	if c.lateAccept != nil {
		r.cancelAttempt(*c.lateAccept)
		c.lateAccept = nil
	}
}

// lateAccept handles the acceptance of an attempt that was given up.
func (r *Reconciler) lateAccept(a Attempt) {
	r.track(recovery.AttemptNotRunning{Attempt: a}) // the outcome of the attempt is now known
	r.handleUnexpectedAttempt(a)
}

// handleUnexpectedAttempt decides what to do with an attempt that runs although it was given up. An idempotent attempt
// is cancelled: its container was placed elsewhere or its request was answered, so the copy would occupy room that no
// client needs. An attempt that must not run twice is cancelled if another attempt has placed the container. If no
// attempt has placed the container, it is adopted once the request of the container is closed.
func (r *Reconciler) handleUnexpectedAttempt(a Attempt) {
	c := r.containers.byID[a.Request.ID]
	switch {
	case r.idempotencyOf(a) == scheduler.Idempotent:
		r.cancelAttempt(a)
	case c == nil:
		r.adopt(a)
	case c.placed() && c.machine == a.Machine && c.attempt == a.Number: // the container was placed by this attempt
	case c.placed():
		r.cancelAttempt(a)
	case c.lateAccept == nil:
		c.lateAccept = &a
	default:
		r.cancelAttempt(a)
	}
}

// adopt adds the container of an attempt that was found on a machine, unless the container is known already. The
// attempt is cancelled instead if another container holds the key, and either that container is placed or the attempt
// is idempotent.
func (r *Reconciler) adopt(a Attempt) {
	if a.Request.WorkloadClass >= len(r.idempotency) {
		r.log("container of unknown workload class not adopted", slog.String("machine", string(a.Machine)),
			slog.String("request_id", string(a.Request.ID)), slog.Int("workload_class", a.Request.WorkloadClass))
		return
	}
	if r.containers.byID[a.Request.ID] != nil {
		return
	}
	other := r.containers.byKey[a.Request.IdempotencyKey]
	if other != nil && (other.placed() || r.idempotencyOf(a) == scheduler.Idempotent) {
		r.cancelAttempt(a)
		return
	}
	c := &container{id: a.Request.ID, key: a.Request.IdempotencyKey, terminating: !a.Running}
	r.containers.addAdopted(c)
	r.containers.place(c, a.Machine, a.Incarnation, a.Number)
	r.emit(Adopt{Attempt: a})
}
