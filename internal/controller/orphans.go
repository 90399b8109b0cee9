package controller

import (
	"fmt"
	"sort"
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

// recordOrphan records that an idempotent replica's request may have led to a copy that runs at its scheduler.
func (c *Controller) recordOrphan(r *replica) {
	if r.Scheduler == noScheduler {
		return
	}
	orphan := Orphan{r.Scheduler, r.IdempotencyKey}
	c.scheduleOrphan(orphan)
	c.emit(OrphanRecorded{orphan})
}

// scheduleOrphan has an orphan cancelled after a delay if its scheduler is connected, and else once it is.
func (c *Controller) scheduleOrphan(orphan Orphan) {
	c.orphans[orphan] = 0
	if c.connected[orphan.Scheduler] {
		c.orphans[orphan] = c.now + orphanCancelDelay
	}
}

// rescheduleOrphans follows the connection of a scheduler.
func (c *Controller) rescheduleOrphans(number int) {
	for orphan := range c.orphans {
		if orphan.Scheduler == number {
			c.scheduleOrphan(orphan)
		}
	}
}

// orphanAnswered resolves an orphan once its scheduler is sure that nothing of it runs. What runs is resolved by its
// end.
func (c *Controller) orphanAnswered(orphan Orphan, e PlacementAnswered) {
	if _, known := c.orphans[orphan]; !known {
		return
	}
	if e.Verdict == VerdictRefused {
		c.orphans[orphan] = c.now + max(restartDelay, e.RetryAfter)
		return
	}
	c.resolveOrphan(orphan)
}

func (c *Controller) resolveOrphan(orphan Orphan) {
	if _, known := c.orphans[orphan]; known {
		delete(c.orphans, orphan)
		c.emit(OrphanResolved{orphan})
	}
}

// cancelOrphans cancels those that are due, in order of scheduler and key, and returns when the next are; 0 where none
// is.
func (c *Controller) cancelOrphans() (next scheduler.Time) {
	var due []Orphan
	for orphan, at := range c.orphans {
		if at > 0 && at <= c.now {
			due = append(due, orphan)
		} else if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].Scheduler != due[j].Scheduler {
			return due[i].Scheduler < due[j].Scheduler
		}
		return due[i].IdempotencyKey < due[j].IdempotencyKey
	})
	for _, orphan := range due {
		c.orphans[orphan] = 0 // until an answer comes, or the scheduler connects again
		c.emit(CancelRequest{orphan.Scheduler, orphan.requestID(), orphan.IdempotencyKey})
	}
	return next
}
