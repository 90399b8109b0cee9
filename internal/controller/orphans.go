package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"glenport/scheduler"
)

// orphanCancelDelay is how long a scheduler has been connected again before orphans are cancelled there.
const orphanCancelDelay = scheduler.Second

// orphanRequestPrefix begins the id of a request that cancels an orphan. Requests for containers of jobs begin with the
// job's id, which has no #.
const orphanRequestPrefix = "stray#"

// Orphan is a copy of idempotent work that may run at a scheduler that was lost, while its container was requested
// elsewhere since. Nothing but the controller would end it.
type Orphan struct {
	Scheduler      int
	IdempotencyKey string
}

// requestID names the request that cancels an orphan; parseOrphanRequestID reverses it.
func (o Orphan) requestID() string {
	return fmt.Sprintf("%s%d#%s", orphanRequestPrefix, o.Scheduler, o.IdempotencyKey)
}

func parseOrphanRequestID(requestID string) (orphan Orphan, ok bool) {
	rest, ok := strings.CutPrefix(requestID, orphanRequestPrefix)
	if !ok {
		return Orphan{}, false
	}
	number, key, ok := strings.Cut(rest, "#")
	if !ok {
		return Orphan{}, false
	}
	n, err := strconv.Atoi(number)
	return Orphan{n, key}, err == nil
}

// orphanTable holds the orphans that are not resolved, and when each is cancelled.
type orphanTable struct {
	clock      *clock
	schedulers *schedulerSet
	cancelAt   map[Orphan]scheduler.Time // 0: not scheduled
}

func newOrphanTable(c *clock, schedulers *schedulerSet) *orphanTable {
	return &orphanTable{clock: c, schedulers: schedulers, cancelAt: map[Orphan]scheduler.Time{}}
}

// restore adds an orphan of an earlier incarnation, whose scheduler is not connected yet.
func (t *orphanTable) restore(orphan Orphan) { t.cancelAt[orphan] = 0 }

// record has an orphan cancelled after a delay if its scheduler is connected, and else once it is.
func (t *orphanTable) record(orphan Orphan) {
	t.cancelAt[orphan] = 0
	if t.schedulers.isConnected(orphan.Scheduler) {
		t.cancelAt[orphan] = t.clock.now() + orphanCancelDelay
	}
}

// connectionChanged schedules the orphans of a scheduler anew.
func (t *orphanTable) connectionChanged(number int) {
	for orphan := range t.cancelAt {
		if orphan.Scheduler == number {
			t.record(orphan)
		}
	}
}

// refused has an orphan cancelled again, as its scheduler did not know whether it runs.
func (t *orphanTable) refused(orphan Orphan, retryAfter scheduler.Time) {
	if _, known := t.cancelAt[orphan]; known {
		t.cancelAt[orphan] = t.clock.now() + max(restartDelay, retryAfter)
	}
}

// resolve drops an orphan of which nothing runs any more. It reports whether there was such an orphan.
func (t *orphanTable) resolve(orphan Orphan) bool {
	_, known := t.cancelAt[orphan]
	delete(t.cancelAt, orphan)
	return known
}

// takeDue returns the orphans to be cancelled now, in order of scheduler and key, and when the next are; 0 where none
// is. They are not due again until an answer comes, or their scheduler connects again.
func (t *orphanTable) takeDue() (due []Orphan, next scheduler.Time) {
	now := t.clock.now()
	for orphan, at := range t.cancelAt {
		if at > 0 && at <= now {
			due = append(due, orphan)
		} else if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	slices.SortFunc(due, func(a, b Orphan) int {
		return cmp.Or(cmp.Compare(a.Scheduler, b.Scheduler), cmp.Compare(a.IdempotencyKey, b.IdempotencyKey))
	})
	for _, orphan := range due {
		t.cancelAt[orphan] = 0
	}
	return due, next
}
