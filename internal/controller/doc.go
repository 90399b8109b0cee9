// Package controller decides how jobs are kept running: when the placement of each of a job's containers is requested,
// at which scheduler, and what follows an answer, the end of a container, a lost connection and a restart of the
// controller itself. The machine that a container runs on is the schedulers' decision.
//
// Its invariants: work that must not run twice has one copy at most, so a container that may run is looked up at the
// scheduler that was sent its request, or fenced, before another is started; a copy of idempotent work that may be left
// at a scheduler that was lost is recorded as an orphan until it has surely ended; of other work, a key under which
// something ran is not requested again.
//
// The package is pure: no I/O, clock or goroutine. Handle takes events and returns actions; the caller stores the
// records before it sends the requests.
package controller
