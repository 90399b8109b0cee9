package schedulerd

import (
	"slices"

	"glenport/internal/adoptions"
)

// attemptQueue holds the unsent attempts for one machine, in the order in which they were decided.
type attemptQueue struct {
	adoptions *adoptions.Tracker
	attempts  []*attempt
}

func (q *attemptQueue) empty() bool { return len(q.attempts) == 0 }

// list returns a copy of the queue, which does not change while attempts are removed.
func (q *attemptQueue) list() []*attempt { return slices.Clone(q.attempts) }

func (q *attemptQueue) add(a *attempt) {
	q.attempts = append(q.attempts, a)
	q.adoptions.AttemptWaiting()
}

// remove removes an attempt, and reports whether it was queued.
func (q *attemptQueue) remove(a *attempt) bool {
	i := slices.Index(q.attempts, a)
	if i < 0 {
		return false
	}
	q.attempts = slices.Delete(q.attempts, i, i+1)
	q.adoptions.AttemptsDone(1)
	return true
}

// takeAll empties the queue and returns its attempts.
func (q *attemptQueue) takeAll() []*attempt {
	attempts := q.attempts
	q.attempts = nil
	q.adoptions.AttemptsDone(len(attempts))
	return attempts
}

// adoptedSince reports whether containers of a service were adopted after the number of adoptions was count.
func (q *attemptQueue) adoptedSince(service string, count int) bool {
	return q.adoptions.Since(service, count)
}
