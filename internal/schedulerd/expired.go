package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

// lateAcceptWindow is for how long an attempt that is over may still be accepted by its number.
const lateAcceptWindow = 60 * eventloop.Second

// expiredAttempts holds the requests of attempts that are over and may still be accepted.
type expiredAttempts struct {
	loop     *eventloop.Loop
	requests map[uint64]scheduler.PlacementRequest // by number of the attempt
}

// remember keeps the request of an attempt for lateAcceptWindow.
func (e *expiredAttempts) remember(a *attempt) {
	number := a.number
	e.requests[number] = *a.request()
	e.loop.After(lateAcceptWindow, func() { delete(e.requests, number) })
}

// take returns the request of an attempt, once.
func (e *expiredAttempts) take(number uint64) (request scheduler.PlacementRequest, ok bool) {
	request, ok = e.requests[number]
	delete(e.requests, number)
	return request, ok
}

func (e *expiredAttempts) clear() { clear(e.requests) }
