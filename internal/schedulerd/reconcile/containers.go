package reconcile

import (
	"log/slog"
	"slices"
	"strings"

	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// container is one that was admitted or adopted.
type container struct {
	id            scheduler.ContainerID
	key           string
	client        ClientID // of its request, where it was admitted
	open          bool     // its request has no final answer
	admittedAt    scheduler.Time
	workloadClass int
	machine       scheduler.MachineID // empty until it is placed
	incarnation   uint64              // of the scheduler that placed it
	attempt       uint64              // by which it was placed
	terminating   bool                // it was cancelled when it was adopted, and has not ended yet
	lateAccept    *Attempt            // an attempt that was over and runs, while the request is open
}

func (c *container) placed() bool { return c.machine != "" }

// containerTable indexes containers. Each is in byID; byKey holds the first one of a key; onMachine holds those that
// are placed.
type containerTable struct {
	byID      map[scheduler.ContainerID]*container
	byKey     map[string]*container
	onMachine map[scheduler.MachineID]map[*container]bool
}

func newContainerTable() containerTable {
	return containerTable{
		byID:      map[scheduler.ContainerID]*container{},
		byKey:     map[string]*container{},
		onMachine: map[scheduler.MachineID]map[*container]bool{},
	}
}

// add makes a container the one of its id and key.
func (t *containerTable) add(c *container) {
	t.byID[c.id] = c
	t.byKey[c.key] = c
}

// addAdopted adds a container whose key may be that of another.
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

// runningOn returns the containers on a machine in the order of their ids, so that equal events have equal actions.
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
	r.cancelLateAccept(c) // an earlier attempt runs after all: one copy is enough
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

// lateAccept takes in that an attempt runs of which nothing was known.
func (r *Reconciler) lateAccept(a Attempt) {
	r.track(recovery.AttemptNotRunning{Attempt: a}) // its outcome is known now
	r.runsAfterAll(a)
}

// runsAfterAll decides on an attempt that runs although it was over. Idempotent work is cancelled: its container went
// elsewhere or its request was answered, and the copy takes room for nobody. Work that must not run twice is not
// cancelled for that: it is adopted, once the request of its container is closed.
func (r *Reconciler) runsAfterAll(a Attempt) {
	c := r.containers.byID[a.Request.ID]
	switch {
	case r.idempotencyOf(a) == scheduler.Idempotent:
		r.cancelAttempt(a)
	case c == nil:
		r.adopt(a)
	case c.placed() && c.machine == a.Machine && c.attempt == a.Number: // it is the one that was placed
	case c.placed():
		r.cancelAttempt(a)
	case c.lateAccept == nil:
		c.lateAccept = &a
	default:
		r.cancelAttempt(a)
	}
}

// adopt takes over an attempt that runs, unless its container is known. A second copy under a key is cancelled where
// another one runs, or where the work is idempotent and another one is being placed.
func (r *Reconciler) adopt(a Attempt) {
	if a.Request.WorkloadClass >= len(r.idempotency) {
		r.log("container of unknown workload class left alone", slog.String("machine", string(a.Machine)),
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
