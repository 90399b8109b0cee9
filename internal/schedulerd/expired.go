package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// lateAcceptWindow is for how long an attempt that is over may still be accepted by its number.
const lateAcceptWindow = 60 * eventloop.Second

// expiredAttempts holds the requests of attempts that are over and may still be accepted by their machine.
type expiredAttempts struct {
	machine  *machine
	requests map[uint64]scheduler.PlacementRequest // by number of the attempt
}

// add keeps the request of an attempt for lateAcceptWindow.
func (e *expiredAttempts) add(a *attempt) {
	number := a.number
	e.requests[number] = *a.request()
	e.machine.registry.loop.After(lateAcceptWindow, func() { delete(e.requests, number) })
}

func (e *expiredAttempts) clear() { clear(e.requests) }

// handleAccept hands on that an attempt runs although it is over.
func (e *expiredAttempts) handleAccept(number uint64) {
	if a, ok := e.take(number); ok {
		a.Running = true
		e.machine.registry.stats.countOutcome(statLateAccept)
		e.machine.registry.decisions.notifyReconciler(reconcile.LateAccept{Attempt: a})
	}
}

// handleResult hands on that an attempt does not run.
func (e *expiredAttempts) handleResult(number uint64) {
	if a, ok := e.take(number); ok {
		e.machine.registry.decisions.notifyReconciler(reconcile.AttemptNotRunning{Attempt: a})
	}
}

// take returns an attempt, once.
func (e *expiredAttempts) take(number uint64) (a reconcile.Attempt, ok bool) {
	request, ok := e.requests[number]
	delete(e.requests, number)
	return reconcile.Attempt{
		Request: request, Machine: e.machine.id, Incarnation: e.machine.registry.incarnation, Number: number,
	}, ok
}
