package reconcile

import (
	"log/slog"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// attemptID identifies an attempt across the incarnations of the scheduler.
type attemptID struct{ incarnation, number uint64 }

// machineReported compares a machine's report with the known containers. Known containers that the report does not name
// are lost. Unknown attempts in the report were made by an earlier incarnation of the scheduler, or were given up by
// this incarnation.
func (r *Reconciler) machineReported(e MachineReported) {
	completed := r.trackReport(e.Machine)
	r.reconnects.end(e.Machine)
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

// trackReport passes a report to the recovery tracker, and returns whether the report completes recovery. The caller
// emits RecoveryComplete only after it has adopted the containers of the report, because BGP peers then drop the routes
// that have not been announced.
func (r *Reconciler) trackReport(machine scheduler.MachineID) (completed bool) {
	for _, a := range r.tracker.Handle(r.now, recovery.MachineReported{Machine: machine}) {
		if _, ok := a.(recovery.Completed); ok {
			completed = true
			continue
		}
		r.emitRecoveryAction(a)
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

// attemptReported handles one attempt of a report, and returns whether it is a running attempt of an earlier
// incarnation that was adopted. An attempt that waits on the machine is cancelled, because no client would receive its
// answer. If it was made by an earlier incarnation, it is also adopted, so that it counts until it has ended.
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
		r.handleUnexpectedAttempt(a)
	default:
		r.adopt(a)
		return true
	}
	return false
}

func (r *Reconciler) machineDisconnected(machine scheduler.MachineID) {
	r.track(recovery.MachineDisconnected{Machine: machine})
	if len(r.containers.onMachine[machine]) > 0 {
		r.reconnects.begin(machine, r.now)
	}
}

// connectFailed retries the connection, and declares the machine's containers lost after some attempts. A short
// interruption therefore loses no container. Containers that keep running during a longer interruption are adopted or
// cancelled when it ends.
func (r *Reconciler) connectFailed(e ConnectFailed) {
	r.track(recovery.ConnectFailed{Machine: e.Machine})
	if e.LocalShortage {
		r.reconnects.retryWithoutCounting(e.Machine, r.now)
		return
	}
	if attempts, exhausted := r.reconnects.attemptFailed(e.Machine, r.now); exhausted {
		r.machineUnreachable(e.Machine, attempts)
	}
}

// machineUnreachable declares the containers of a machine lost. They may still run, so the machine is queried until it
// reports or leaves the machine list.
func (r *Reconciler) machineUnreachable(machine scheduler.MachineID, attempts int) {
	lost := r.containers.runningOn(machine)
	r.log(
		"machine unreachable, its containers are lost",
		slog.String("machine", string(machine)),
		slog.Int("attempts", attempts),
		slog.Int("containers", len(lost)),
	)
	r.reconnects.end(machine)
	for _, c := range lost {
		r.emit(ContainerLost{ID: c.id, Confirmed: false})
	}
	r.track(recovery.MachineUnreachable{Machine: machine})
}

// runTimers emits the actions that are due. It sets the timer for the next actions, unless the timer is already set to
// an earlier time.
func (r *Reconciler) runTimers() {
	r.track(recovery.Tick{})
	next := earliest(r.tracker.NextTimer(), r.reconnects.next(r.now))
	for _, machine := range r.reconnects.takeDue(r.now) {
		r.emit(ConnectMachine{Machine: machine})
	}
	if next > 0 && (r.timerAt <= r.now || next < r.timerAt) {
		r.timerAt = next
		r.emit(SetTimer{After: next - r.now})
	}
}

// earliest returns the earlier of two times, where 0 stands for no time.
func earliest(a, b scheduler.Time) scheduler.Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
