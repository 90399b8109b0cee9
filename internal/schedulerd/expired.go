package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// lateAcceptWindow is the time for which the accept of an ended attempt is still recognized by its number.
const lateAcceptWindow = 60 * eventloop.Second

// expiredAttempts holds the requests of ended attempts that the machine may still accept.
type expiredAttempts struct {
	machine  *machine
	requests map[uint64]scheduler.PlacementRequest // by attempt number
}

// add keeps the request of an attempt for lateAcceptWindow.
func (e *expiredAttempts) add(a *attempt) {
	number := a.number
	e.requests[number] = *a.request()
	e.machine.registry.loop.After(lateAcceptWindow, func() { delete(e.requests, number) })
}

func (e *expiredAttempts) clear() { clear(e.requests) }

// handleAccept tells the reconciler that an ended attempt runs on the machine.
func (e *expiredAttempts) handleAccept(number uint64) {
	if a, ok := e.take(number); ok {
		a.Running = true
		e.machine.registry.stats.countOutcome(statLateAccept)
		e.machine.registry.decisions.notifyReconciler(reconcile.LateAccept{Attempt: a})
	}
}

// handleResult tells the reconciler that an ended attempt does not run.
func (e *expiredAttempts) handleResult(number uint64) {
	if a, ok := e.take(number); ok {
		e.machine.registry.decisions.notifyReconciler(reconcile.AttemptNotRunning{Attempt: a})
	}
}

// take removes and returns an attempt.
func (e *expiredAttempts) take(number uint64) (a reconcile.Attempt, ok bool) {
	request, ok := e.requests[number]
	delete(e.requests, number)
	return reconcile.Attempt{
		Request: request, Machine: e.machine.id, Incarnation: e.machine.registry.incarnation, Number: number,
	}, ok
}
