package reconcile

import (
	"log/slog"
	"slices"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Tuned values: a dead machine is known about a second after its death.
const (
	maxReconnectAttempts    = 3
	initialReconnectBackoff = 200 * scheduler.Millisecond
	reconnectBackoffFactor  = 4
)

// reconnect is a broken connection to a machine on which containers run.
type reconnect struct {
	attempts int
	waiting  bool           // no attempt is under way
	nextAt   scheduler.Time // of the next attempt
	backoff  scheduler.Time
}

// attemptID names an attempt over all incarnations of the scheduler.
type attemptID struct{ incarnation, number uint64 }

// machineReported compares a machine's report with what is known. Containers that it does not name are lost. What it
// names and is not known comes from an earlier incarnation, or from an attempt that was over.
func (r *Reconciler) machineReported(e MachineReported) {
	completed := r.trackReport(e.Machine)
	delete(r.reconnects, e.Machine)
	r.loseUnreported(e)
	adopted := 0
	for _, a := range e.Attempts {
		if r.attemptReported(e.Machine, a) {
			adopted++
		}
	}
	if adopted > 0 {
		r.log(
			"containers of an earlier incarnation adopted",
			slog.String("machine", string(e.Machine)),
			slog.Int("containers", adopted),
		)
	}
	if completed {
		r.emit(RecoveryComplete{})
	}
}

// trackReport passes a report to the recovery tracker, and returns whether recovery is complete with it. Invariant:
// RecoveryComplete follows the adoption of all that the report contains, as BGP peers drop the routes that have not
// been announced by then.
func (r *Reconciler) trackReport(machine scheduler.MachineID) (completed bool) {
	for _, a := range r.tracker.Handle(r.now, recovery.MachineReported{Machine: machine}) {
		if _, ok := a.(recovery.Completed); ok {
			completed = true
			continue
		}
		r.passOn(a)
	}
	return completed
}

func (r *Reconciler) loseUnreported(e MachineReported) {
	reported := map[attemptID]bool{}
	for _, a := range e.Attempts {
		reported[attemptID{a.Incarnation, a.Number}] = true
	}
	for _, c := range r.containers.runningOn(e.Machine) {
		if !reported[attemptID{c.incarnation, c.attempt}] {
			r.emit(ContainerLost{ID: c.id, Confirmed: true})
		}
	}
}

// attemptReported decides on one attempt of a report, and returns whether it was taken over from an earlier
// incarnation. An attempt that waits is cancelled, as nobody would receive its answer; one of an earlier incarnation
// counts until it has ended.
func (r *Reconciler) attemptReported(machine scheduler.MachineID, a Attempt) (adopted bool) {
	known := r.containers.byID[a.Request.ID]
	switch {
	case known != nil && known.machine == machine && known.incarnation == a.Incarnation && known.attempt == a.Number:
	case !a.Running:
		r.cancelAttempt(a)
		if a.Incarnation != r.incarnation {
			r.adopt(a)
		}
	case a.Incarnation == r.incarnation:
		r.runsAfterAll(a)
	default:
		r.adopt(a)
		return true
	}
	return false
}

func (r *Reconciler) machineDisconnected(machine scheduler.MachineID) {
	r.track(recovery.MachineDisconnected{Machine: machine})
	if len(r.containers.onMachine[machine]) > 0 && r.reconnects[machine] == nil {
		r.reconnects[machine] = &reconnect{backoff: initialReconnectBackoff, waiting: true, nextAt: r.now}
	}
}

// connectFailed has the connection tried again, and gives up the machine's containers after some attempts. A short loss
// of the connection costs nothing then. Containers that run on behind a longer one are adopted, or cancelled, when it
// ends.
func (r *Reconciler) connectFailed(e ConnectFailed) {
	r.track(recovery.ConnectFailed{Machine: e.Machine})
	pending := r.reconnects[e.Machine]
	switch {
	case pending == nil:
	case e.LocalShortage: // it does not count
		pending.attempts--
		pending.waiting, pending.nextAt = true, r.now+initialReconnectBackoff
	case pending.attempts < maxReconnectAttempts:
		pending.waiting, pending.nextAt = true, r.now+pending.backoff
		pending.backoff *= reconnectBackoffFactor
	default:
		r.machineUnreachable(e.Machine, pending.attempts)
	}
}

// machineUnreachable loses the containers of a machine. They may run on, so it is queried until it reports or is gone.
func (r *Reconciler) machineUnreachable(machine scheduler.MachineID, attempts int) {
	lost := r.containers.runningOn(machine)
	r.log(
		"machine unreachable, its containers are lost",
		slog.String("machine", string(machine)),
		slog.Int("attempts", attempts),
		slog.Int("containers", len(lost)),
	)
	delete(r.reconnects, machine)
	for _, c := range lost {
		r.emit(ContainerLost{ID: c.id, Confirmed: false})
	}
	r.track(recovery.MachineUnreachable{Machine: machine})
}

// runTimers does what is due and sets the timer for what is due next, unless it is set to an earlier time already.
func (r *Reconciler) runTimers() {
	r.track(recovery.Tick{})
	next := earliest(r.tracker.NextTimer(), r.nextReconnect())
	r.reconnectDue()
	if next > 0 && (r.timerAt <= r.now || next < r.timerAt) {
		r.timerAt = next
		r.emit(SetTimer{After: next - r.now})
	}
}

// earliest returns the earlier of two times, of which 0 is none.
func earliest(a, b scheduler.Time) scheduler.Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// nextReconnect is when the next attempt is due that is not due yet, or 0.
func (r *Reconciler) nextReconnect() scheduler.Time {
	next := scheduler.Time(0)
	for _, pending := range r.reconnects {
		if pending.waiting && pending.nextAt > r.now {
			next = earliest(next, pending.nextAt)
		}
	}
	return next
}

func (r *Reconciler) reconnectDue() {
	var due []scheduler.MachineID
	for machine, pending := range r.reconnects {
		if pending.waiting && pending.nextAt <= r.now {
			due = append(due, machine)
		}
	}
	slices.Sort(due)
	for _, machine := range due {
		r.reconnects[machine].waiting = false
		r.reconnects[machine].attempts++
		r.emit(ConnectMachine{Machine: machine})
	}
}
