package reconcile

import (
	"glenport/internal/schedulerd/admission"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Config configures a Reconciler for one incarnation of the scheduler.
type Config struct {
	Incarnation     uint64
	Limits          admission.Limits
	Idempotency     []scheduler.Idempotency  // by workload class
	LogCoverage     recovery.LogCoverage     // which attempts of earlier incarnations the log holds
	OverloadClasses []overload.WorkloadClass // empty: load is not shed
}

// Reconciler reconciles the containers that run with the requests of clients, for one incarnation of the scheduler. It
// keeps each container until the container is removed, each client until the client disconnects, and each machine until
// the machine has reported, was reconnected or has left the machine list.
type Reconciler struct {
	incarnation uint64
	idempotency []scheduler.Idempotency // by workload class
	now         scheduler.Time
	actions     []Action
	admission   *admission.Controller
	tracker     *recovery.Tracker // tracks attempts that may run without confirmation
	containers  containerTable
	reconnects  reconnects
	timerAt     scheduler.Time // time at which the timer that was set last fires
}

// New returns a Reconciler without containers and clients.
func New(c Config) *Reconciler {
	return &Reconciler{
		incarnation: c.Incarnation,
		idempotency: c.Idempotency,
		admission:   admission.New(c.Limits, c.Incarnation, c.OverloadClasses),
		tracker:     recovery.NewTracker(c.LogCoverage, c.Idempotency),
		containers:  newContainerTable(),
		reconnects:  reconnects{},
	}
}

// Handle applies events that happened at the time now and returns the resulting actions, in order.
func (r *Reconciler) Handle(now scheduler.Time, events []Event) []Action {
	r.now, r.actions = now, nil
	r.track(recovery.Tick{})
	for _, e := range events {
		r.apply(e)
	}
	r.runTimers()
	return r.actions
}

func (r *Reconciler) apply(e Event) {
	switch e := e.(type) {
	case ClientConnected:
		r.clientConnected(e.Client)
	case ClientDisconnected:
		r.admission.Disconnect(e.Client)
	case PlacementRequested:
		r.placementRequested(e)
	case CancelRequested:
		r.cancelRequested(e)
	case LookupRequested:
		r.lookupRequested(e)
	case RequestFailed:
		r.requestFailed(e.ID)
	case AttemptAccepted:
		r.attemptAccepted(e)
	case ContainerRemoved:
		r.containerRemoved(e.ID)
	case AttemptRestored:
		r.track(recovery.AttemptRestored{Attempt: e.Attempt})
	case AttemptOutcomeUnknown:
		r.track(recovery.AttemptOutcomeUnknown{Attempt: e.Attempt})
	case AttemptNotRunning:
		r.track(recovery.AttemptNotRunning{Attempt: e.Attempt})
	case LateAccept:
		r.lateAccept(e.Attempt)
	case MachineReported:
		r.machineReported(e)
	case MachineDisconnected:
		r.machineDisconnected(e.Machine)
	case ConnectFailed:
		r.connectFailed(e)
	case MachinesListed:
		r.track(recovery.MachinesListed{Machines: e.Machines, FullSnapshot: e.FullSnapshot})
	case MachineRemoved:
		r.track(recovery.MachineRemoved{Machine: e.Machine})
	case TimerFired: // Handle runs the timers after all events
	}
}

func (r *Reconciler) emit(a Action) { r.actions = append(r.actions, a) }

// track passes an event to the recovery tracker and emits the actions that the tracker returns.
func (r *Reconciler) track(e recovery.Event) {
	for _, a := range r.tracker.Handle(r.now, e) {
		r.emitRecoveryAction(a)
	}
}

func (r *Reconciler) emitRecoveryAction(a recovery.Action) {
	switch a := a.(type) {
	case recovery.ConnectMachine:
		r.emit(ConnectMachine{Machine: a.Machine})
	case recovery.AttemptResolved:
		r.emit(AttemptResolved{Attempt: a.Attempt})
	case recovery.Completed:
		r.emit(RecoveryComplete{})
	case recovery.AllMachinesReported:
		r.emit(AllMachinesReported{})
	}
}

func (r *Reconciler) idempotencyOf(a Attempt) scheduler.Idempotency {
	if a.Request.WorkloadClass < len(r.idempotency) {
		return r.idempotency[a.Request.WorkloadClass]
	}
	return scheduler.AtMostOnce
}

// UnresolvedKeys returns the number of idempotency keys that wait for a machine to report.
func (r *Reconciler) UnresolvedKeys() int { return r.tracker.UnresolvedKeys() }

// Limiter returns the limiter that sheds load, or nil if load is not shed.
func (r *Reconciler) Limiter() *overload.Limiter { return r.admission.Limiter() }
