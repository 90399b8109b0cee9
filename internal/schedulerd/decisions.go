package schedulerd

import (
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Scheduler decides on which machine each container is placed. It is implemented by scheduler.Scheduler and by wrappers
// and scripts of tests.
type Scheduler interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

// warmStarter is a Scheduler whose learned state can be persisted.
type warmStarter interface {
	Snapshot() scheduler.Snapshot
	Restore(scheduler.Snapshot)
}

// explainer is a Scheduler that can explain why a request may find no machine.
type explainer interface {
	Explain(scheduler.PlacementRequest) scheduler.Explanation
}

// decisions holds the scheduler and the reconciler, with the events queued for their next call.
type decisions struct {
	*process
	scheduler        Scheduler
	schedulerEvents  []scheduler.Event
	reconciler       *reconcile.Reconciler
	reconcilerEvents []reconcile.Event

	executeSchedulerAction  func(scheduler.Action)
	executeReconcilerAction func(reconcile.Action)
}

// newReconciler returns the reconciler of this incarnation. The coverage tells which attempts of earlier incarnations
// the log holds.
func newReconciler(p *process, coverage recovery.LogCoverage) *reconcile.Reconciler {
	var idempotency []scheduler.Idempotency
	var limited []overload.WorkloadClass
	for _, class := range p.config.Policy.WorkloadClasses {
		idempotency = append(idempotency, class.Idempotency)
		if p.config.AdaptiveLimit {
			limited = append(limited, overload.WorkloadClass{
				LatencyObjective: class.LatencyObjective,
				PriorityWeight:   class.PriorityWeight,
			})
		}
	}
	return reconcile.New(reconcile.Config{
		Incarnation:     p.incarnation,
		Limits:          p.config.Limits,
		Idempotency:     idempotency,
		LogCoverage:     coverage,
		OverloadClasses: limited,
	})
}

func (d *decisions) notifyScheduler(e scheduler.Event) {
	d.schedulerEvents = append(d.schedulerEvents, e)
}

func (d *decisions) notifyReconciler(e reconcile.Event) {
	d.reconcilerEvents = append(d.reconcilerEvents, e)
}

// pending reports whether events are queued.
func (d *decisions) pending() bool { return len(d.schedulerEvents)+len(d.reconcilerEvents) > 0 }

func (d *decisions) runReconciler() {
	events := d.reconcilerEvents
	if len(events) == 0 {
		return
	}
	d.reconcilerEvents = nil
	for _, action := range d.reconciler.Handle(d.now(), events) {
		d.executeReconcilerAction(action)
	}
}

func (d *decisions) runScheduler() {
	events := d.schedulerEvents
	if len(events) == 0 {
		return
	}
	d.schedulerEvents = nil
	began := d.loop.Elapsed()
	actions := d.scheduler.Handle(d.now(), events)
	d.stats.countBatch(d.loop.Elapsed()-began, len(events))
	for _, action := range actions {
		d.executeSchedulerAction(action)
	}
}

// limiter returns the concurrency limiter; nil if load is not shed.
func (d *decisions) limiter() *overload.Limiter { return d.reconciler.Limiter() }

// warmStarter returns the scheduler. ok is false if its learned state cannot be persisted.
func (d *decisions) warmStarter() (target warmStarter, ok bool) {
	target, ok = d.scheduler.(warmStarter)
	return target, ok
}

// explain explains why a request may find no machine. ok is false if the scheduler cannot explain it.
func (d *decisions) explain(request scheduler.PlacementRequest) (explanation scheduler.Explanation, ok bool) {
	source, ok := d.scheduler.(explainer)
	if !ok {
		return scheduler.Explanation{}, false
	}
	return source.Explain(request), true
}
