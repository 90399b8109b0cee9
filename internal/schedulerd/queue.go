package schedulerd

import "slices"

// attemptQueue holds the attempts for one machine that are not sent yet, in the order they were decided.
type attemptQueue struct {
	adoptions *adoptionTracker
	attempts  []*attempt
}

func (q *attemptQueue) empty() bool { return len(q.attempts) == 0 }

// list returns a copy, which stays as it is while attempts are removed.
func (q *attemptQueue) list() []*attempt { return slices.Clone(q.attempts) }

func (q *attemptQueue) add(a *attempt) {
	q.attempts = append(q.attempts, a)
	q.adoptions.attemptQueued()
}

// remove reports whether the attempt was queued.
func (q *attemptQueue) remove(a *attempt) bool {
	i := slices.Index(q.attempts, a)
	if i < 0 {
		return false
	}
	q.attempts = slices.Delete(q.attempts, i, i+1)
	q.adoptions.attemptsDequeued(1)
	return true
}

// takeAll empties the queue.
func (q *attemptQueue) takeAll() []*attempt {
	attempts := q.attempts
	q.attempts = nil
	q.adoptions.attemptsDequeued(len(attempts))
	return attempts
}

// adoptedSince reports whether containers of a service were adopted after a count of adoptions.
func (q *attemptQueue) adoptedSince(service string, count int) bool {
	return q.adoptions.since(service, count)
}

// adoptionTracker records whether containers of a service were adopted since a queued attempt was decided. It is
// cleared when no attempt is queued, so that it stays as small as the queues.
type adoptionTracker struct {
	total     int            // adoptions so far
	byService map[string]int // total after the service's last adoption
	queued    int            // attempts that wait for a connection or the log
}

func newAdoptionTracker() adoptionTracker { return adoptionTracker{byService: map[string]int{}} }

// count is the number of adoptions so far, for a later since.
func (t *adoptionTracker) count() int { return t.total }

func (t *adoptionTracker) adopted(service string) {
	t.total++
	if t.queued > 0 {
		t.byService[service] = t.total
	}
}

func (t *adoptionTracker) since(service string, count int) bool { return t.byService[service] > count }

func (t *adoptionTracker) attemptQueued() { t.queued++ }

func (t *adoptionTracker) attemptsDequeued(n int) {
	t.queued -= n
	if t.queued == 0 {
		clear(t.byService)
	}
}
