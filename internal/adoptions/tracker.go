// Package adoptions tracks the containers that a scheduler adopts while attempts wait to be sent. An adopted container
// counts against the spread limit of its service, but the decision on a waiting attempt was made without it. Such an
// attempt is not sent, and its request is decided again.
//
// The package is pure: no I/O or clock.
package adoptions

// Tracker records whether containers of a service were adopted since a waiting attempt was decided. The adoptions by
// service are cleared when no attempt waits, so that their number stays small. The zero value is ready for use.
type Tracker struct {
	total           int            // adoptions so far
	byService       map[string]int // value of total after the last adoption of the service
	waitingAttempts int
}

// Count returns the number of adoptions so far, to be passed to a later call of Since.
func (t *Tracker) Count() int { return t.total }

// Adopted records that a container of a service was adopted.
func (t *Tracker) Adopted(service string) {
	t.total++
	if t.waitingAttempts == 0 {
		return
	}
	if t.byService == nil {
		t.byService = map[string]int{}
	}
	t.byService[service] = t.total
}

// Since reports whether containers of a service were adopted after the call of Count that returned count. The attempt
// for which Count was called must still be waiting.
func (t *Tracker) Since(service string, count int) bool { return t.byService[service] > count }

// AttemptWaiting records that an attempt was decided and waits to be sent.
func (t *Tracker) AttemptWaiting() { t.waitingAttempts++ }

// AttemptsDone records that n attempts no longer wait.
func (t *Tracker) AttemptsDone(n int) {
	t.waitingAttempts -= n
	if t.waitingAttempts == 0 {
		clear(t.byService)
	}
}
