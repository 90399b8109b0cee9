// Package adoptions tracks containers that a scheduler finds running while attempts wait to be sent. Such a container
// counts against the spread limit of its service, which the decision on a waiting attempt did not know: the attempt is
// not sent, and decided again.
//
// It does no I/O and has no clock.
package adoptions

// Tracker records whether containers of a service were adopted since a waiting attempt was decided. It is cleared when
// no attempt is waiting, so that it has no more entries than services that were adopted meanwhile. The zero value is
// ready for use.
type Tracker struct {
	total     int            // adoptions so far
	byService map[string]int // total after the service's last adoption
	waiting   int            // attempts
}

// Count is the number of adoptions so far, for a later Since.
func (t *Tracker) Count() int { return t.total }

// Adopted takes in that a container of a service was found running.
func (t *Tracker) Adopted(service string) {
	t.total++
	if t.waiting == 0 {
		return
	}
	if t.byService == nil {
		t.byService = map[string]int{}
	}
	t.byService[service] = t.total
}

// Since reports whether containers of a service were adopted after a Count, which was taken for an attempt that is
// still waiting.
func (t *Tracker) Since(service string, count int) bool { return t.byService[service] > count }

// AttemptWaiting takes in an attempt that was decided and is not sent yet.
func (t *Tracker) AttemptWaiting() { t.waiting++ }

// AttemptsDone takes in that so many attempts are waiting no more.
func (t *Tracker) AttemptsDone(n int) {
	t.waiting -= n
	if t.waiting == 0 {
		clear(t.byService)
	}
}
