package reconcile

import (
	"log/slog"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// attemptID names an attempt over all incarnations of the scheduler.
type attemptID struct{ incarnation, number uint64 }

// machineReported compares a machine's report with what is known. Containers that it does not name are lost. What it
// names and is not known comes from an earlier incarnation, or from an attempt that was over.
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
	if len(r.containers.onMachine[machine]) > 0 {
		r.reconnects.begin(machine, r.now)
	}
}

// connectFailed has the connection tried again, and gives up the machine's containers after some attempts. A short loss
// of the connection costs nothing then. Containers that run on behind a longer one are adopted, or cancelled, when it
// ends.
func (r *Reconciler) connectFailed(e ConnectFailed) {
	r.track(recovery.ConnectFailed{Machine: e.Machine})
	if e.LocalShortage {
		r.reconnects.shortage(e.Machine, r.now)
		return
	}
	if attempts, exhausted := r.reconnects.failed(e.Machine, r.now); exhausted {
		r.machineUnreachable(e.Machine, attempts)
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
	r.reconnects.end(machine)
	for _, c := range lost {
		r.emit(ContainerLost{ID: c.id, Confirmed: false})
	}
	r.track(recovery.MachineUnreachable{Machine: machine})
}

// runTimers does what is due and sets the timer for what is due next, unless it is set to an earlier time already.
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

// earliest returns the earlier of two times, of which 0 is none.
func earliest(a, b scheduler.Time) scheduler.Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
