package schedulerd

import (
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
)

// Kinds of records in the log of a scheduler.
const (
	AttemptKind     = "bid"  // reconcile.Attempt by number: pending or running, of containers that are not idempotent
	SendKind        = "sent" // warmstart.SlowStartSends by machine
	IncarnationKind = "life" // warmstart.LogHistory, a single record
)

// incarnationKey is the key of the single record of IncarnationKind.
const incarnationKey = "this"

// journal collects changes of the log. All changes of one loop iteration form one commit. Callbacks run once the commit
// is written. If one of the callbacks requires a sync, all run once the commit is synced to disk.
type journal struct {
	*process
	wal            *wal.Log // nil until openLog
	history        warmstart.LogHistory
	historyPending bool // the log does not hold the present value of history yet

	changes       []wal.Change // changes of this iteration
	commitGroup   *commitGroup // commit of this iteration; nil if no attempt waits for it
	callbacks     []func(error)
	syncNeeded    bool
	failedDeletes []wal.Change // deletes that could not be written; retried with the next snapshot
}

// commitGroup is the commit of one loop iteration.
type commitGroup struct {
	startedAt eventloop.Tick // time at which the changes were passed to the log; 0: the iteration has not ended
}

// openLog opens the log in a folder, and returns the statistics of the records found there.
func (j *journal) openLog(dir vfs.FS) (stats wal.Stats, err error) {
	j.wal, stats, err = wal.Open(dir, wal.Options{OnModeChange: j.logModeChange})
	if err != nil {
		return stats, fmt.Errorf("open log: %w", err)
	}
	return stats, nil
}

// logModeChange is called on the goroutine of the log.
func (j *journal) logModeChange(text string, attributes ...any) {
	j.loop.Post(func() { j.log.Warn(text, attributes...) })
}

// beginIncarnation logs the start of this incarnation. A full disk is not an error: attempts that have to be logged are
// not sent before the log holds the start.
func (j *journal) beginIncarnation(earlier warmstart.LogHistory) {
	j.history = earlier.Next(readClocks(j.now()))
	if err := j.wal.CommitSync(j.historyChange()); err != nil {
		j.historyPending = true
		j.log.Warn("incarnation not logged yet, attempts that must be logged are held back", "error", err)
	}
}

// coverage returns which attempts of earlier incarnations the log holds.
func (j *journal) coverage() recovery.LogCoverage { return j.history.Coverage }

func (j *journal) put(kind, key string, value any) {
	j.changes = append(j.changes, wal.Put(kind, key, value))
}

func (j *journal) remove(kind, key string) {
	j.changes = append(j.changes, wal.Change{Kind: kind, Key: key})
}

func attemptKey(number uint64) string { return fmt.Sprintf("%016x", number) }

func (j *journal) putAttempt(a reconcile.Attempt) { j.put(AttemptKind, attemptKey(a.Number), a) }

func (j *journal) removeAttempt(number uint64) { j.remove(AttemptKind, attemptKey(number)) }

func (j *journal) putSends(sends warmstart.SlowStartSends) {
	j.put(SendKind, string(sends.Machine), sends)
}

// afterCommit runs a callback on the loop once the changes of this iteration are written.
func (j *journal) afterCommit(callback func(error)) {
	j.callbacks = append(j.callbacks, callback)
}

// afterSync runs a callback on the loop once the changes of this iteration are synced to disk.
func (j *journal) afterSync(callback func(error)) {
	j.syncNeeded = true
	j.afterCommit(callback)
}

// currentCommit returns the commit of this iteration, which has not started yet.
func (j *journal) currentCommit() *commitGroup {
	if j.commitGroup == nil {
		j.commitGroup = &commitGroup{}
	}
	return j.commitGroup
}

// commit writes the changes of the iteration.
func (j *journal) commit() {
	if len(j.changes) == 0 && len(j.callbacks) == 0 {
		return
	}
	if j.commitGroup != nil {
		j.commitGroup.startedAt = j.loop.ReadClock()
	}
	callbacks, changes := j.callbacks, j.changes
	withHistory := j.historyPending
	if withHistory {
		changes = append([]wal.Change{j.historyChange()}, changes...)
	}
	j.wal.Commit(changes, j.syncNeeded || withHistory, func(err error) {
		if len(callbacks) == 0 && err == nil && !withHistory {
			return
		}
		j.loop.Post(func() { j.handleCommit(changes, callbacks, err) })
	})
	j.changes, j.commitGroup, j.callbacks, j.syncNeeded = nil, nil, nil, false
}

func (j *journal) handleCommit(changes []wal.Change, callbacks []func(error), err error) {
	if err == nil {
		j.historyPending = false
	} else {
		j.keepForRetry(changes)
	}
	for _, callback := range callbacks {
		callback(err)
	}
}

// keepForRetry keeps those changes of a failed commit that the log still needs: the ends of attempts, and the history.
// Attempts that could not be logged were not sent.
func (j *journal) keepForRetry(changes []wal.Change) {
	for _, c := range changes {
		switch {
		case c.Kind == AttemptKind && c.Value == nil:
			j.failedDeletes = append(j.failedDeletes, c)
		case c.Kind == IncarnationKind:
			j.historyPending = true
		}
	}
}

// retryDeletes adds the deletes that failed to be written to the changes of this iteration.
func (j *journal) retryDeletes() {
	j.changes, j.failedDeletes = append(j.failedDeletes, j.changes...), nil
}

func (j *journal) historyChange() wal.Change {
	return wal.Put(IncarnationKind, incarnationKey, j.history)
}

// markLogComplete logs that all attempts of earlier incarnations are known, because all machines have reported.
func (j *journal) markLogComplete() {
	j.history = j.history.WithCompleteLog()
	j.changes = append(j.changes, j.historyChange())
}

// closeLog closes the log.
func (j *journal) closeLog() error { return j.wal.Close() }
