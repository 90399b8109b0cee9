package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"glenport/scheduler"
)

// orphanCancelDelay is the delay from a scheduler's reconnect, or from the recording of an orphan at a connected
// scheduler, to the cancel request.
const orphanCancelDelay = scheduler.Second

// orphanRequestPrefix starts the id of a request that cancels an orphan. Request ids of containers start with the id of
// their job, which contains no #.
const orphanRequestPrefix = "stray#"

// Orphan is a copy of idempotent work that may be running at a scheduler that was lost, although its container has
// since been requested elsewhere. Only the controller ends it.
type Orphan struct {
	Scheduler      int
	IdempotencyKey string
}

// requestID returns the id of the request that cancels an orphan. parseOrphanRequestID is its inverse.
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

// orphanTable holds the unresolved orphans and the time at which each is cancelled.
type orphanTable struct {
	clock      *clock
	schedulers *schedulerSet
	cancelAt   map[Orphan]scheduler.Time // 0: not scheduled
}

func newOrphanTable(c *clock, schedulers *schedulerSet) *orphanTable {
	return &orphanTable{clock: c, schedulers: schedulers, cancelAt: map[Orphan]scheduler.Time{}}
}

// restore adds an orphan of an earlier incarnation. Its scheduler is not connected yet.
func (t *orphanTable) restore(orphan Orphan) { t.cancelAt[orphan] = 0 }

// record adds an orphan. It is cancelled after a delay if its scheduler is connected, and otherwise once the scheduler
// has connected.
func (t *orphanTable) record(orphan Orphan) {
	t.cancelAt[orphan] = 0
	if t.schedulers.isConnected(orphan.Scheduler) {
		t.cancelAt[orphan] = t.clock.now() + orphanCancelDelay
	}
}

// reschedule updates the cancel times of the orphans of a scheduler after its connection has changed.
func (t *orphanTable) reschedule(number int) {
	for orphan := range t.cancelAt {
		if orphan.Scheduler == number {
			t.record(orphan)
		}
	}
}

// scheduleRetry has an orphan cancelled again, because its scheduler did not know whether it runs.
func (t *orphanTable) scheduleRetry(orphan Orphan, retryAfter scheduler.Time) {
	if _, known := t.cancelAt[orphan]; known {
		t.cancelAt[orphan] = t.clock.now() + max(restartDelay, retryAfter)
	}
}

// resolve drops an orphan that no longer runs. It reports whether the table had the orphan.
func (t *orphanTable) resolve(orphan Orphan) bool {
	_, known := t.cancelAt[orphan]
	delete(t.cancelAt, orphan)
	return known
}

// takeDue returns the orphans to be cancelled now, in order of scheduler and key, and the time at which the next one is
// due, or 0 if there is none. The returned orphans are not due again until their scheduler refuses the cancel or
// reconnects.
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
