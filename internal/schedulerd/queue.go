package schedulerd

import (
	"slices"

	"glenport/internal/adoptions"
)

// attemptQueue holds the attempts for one machine that are not sent yet, in the order they were decided.
type attemptQueue struct {
	adoptions *adoptions.Tracker
	attempts  []*attempt
}

func (q *attemptQueue) empty() bool { return len(q.attempts) == 0 }

// list returns a copy, which stays as it is while attempts are removed.
func (q *attemptQueue) list() []*attempt { return slices.Clone(q.attempts) }

func (q *attemptQueue) add(a *attempt) {
	q.attempts = append(q.attempts, a)
	q.adoptions.AttemptWaiting()
}

// remove reports whether the attempt was queued.
func (q *attemptQueue) remove(a *attempt) bool {
	i := slices.Index(q.attempts, a)
	if i < 0 {
		return false
	}
	q.attempts = slices.Delete(q.attempts, i, i+1)
	q.adoptions.AttemptsDone(1)
	return true
}

// takeAll empties the queue.
func (q *attemptQueue) takeAll() []*attempt {
	attempts := q.attempts
	q.attempts = nil
	q.adoptions.AttemptsDone(len(attempts))
	return attempts
}

// adoptedSince reports whether containers of a service were adopted after a count of adoptions.
func (q *attemptQueue) adoptedSince(service string, count int) bool {
	return q.adoptions.Since(service, count)
}
