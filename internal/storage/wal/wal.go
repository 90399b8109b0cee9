// Package wal keeps a key-value state on disk as a write-ahead log with snapshots. Values are addressed by kind and
// key. Each commit is applied whole or not at all, commits are applied in order, and commits that wait at the same time
// share one group and one sync. Snapshots bound the length of the log.
//
// docs/notes/state.md explains the guarantees and why the log is not a library.
package wal

import (
	"sync"
	"time"

	"glenport/internal/storage/vfs"
)

// Tuned values.
const (
	defaultMinSnapshotLog = 4 << 20 // bytes
	snapshotGrowthFactor  = 2       // the log grows to this multiple of the last snapshot before the next is due
	snapshotChunkBytes    = 1 << 20
	maxGroupBytes         = 8 << 20 // a group takes no further commit beyond this
)

// Options of a log. The zero value is the production configuration.
type Options struct {
	SyncEachCommit bool // each commit gets a group and a sync of its own, as a baseline for measurements
	SkipChecksums  bool // corruption goes undetected, for mutation tests
	MinSnapshotLog int  // bytes of log from which on a snapshot may be due; 0 means 4 MiB

	// OnModeChange receives log messages in the form of slog: a constant text, then keys and values. It is called from
	// the log's goroutines and must not block. May be nil.
	OnModeChange func(message string, attributes ...any)
}

// Log is an open write-ahead log and the state that it has built up.
type Log struct {
	fs      vfs.FS
	options Options

	mu            sync.Mutex
	workAvailable *sync.Cond
	queue         []commit
	closing       bool
	workers       sync.WaitGroup

	// The fields below belong to the run goroutine while it runs, and to Open and Close before and after it.

	state        *State
	segment      vfs.File // the segment that is written; nil when there is none open
	segmentSize  int
	lastGroup    uint64 // sequence number of the last group written
	durableGroup uint64 // all groups up to this one are known to be on disk

	bytesSinceSnapshot int
	// of the last snapshot; written by the snapshot goroutine, read once snapshotDone is closed
	snapshotSize int
	snapshotDone chan struct{} // closed when the running snapshot ends; nil when none runs

	syncErr       error  // set while the segment cannot be trusted, see rewrite
	rewriteFirst  uint64 // first group of the log that a rewrite begins; 0 when none was tried
	rejectedInRow int    // commits rejected since the last success

	counters    Counters
	groupBuffer []byte
}

// Counters count what a log did since it was opened.
type Counters struct {
	Commits, Groups, Syncs, Snapshots, Rejected int
	SyncTime                                    time.Duration
}

// Open loads the state of a directory, cuts off what a crash left unfinished, and begins to accept commits.
func Open(fs vfs.FS, options Options) (*Log, Stats, error) {
	l := &Log{fs: fs, options: options}
	l.workAvailable = sync.NewCond(&l.mu)
	if options.OnModeChange == nil {
		l.options.OnModeChange = func(string, ...any) {}
	}
	if options.MinSnapshotLog == 0 {
		l.options.MinSnapshotLog = defaultMinSnapshotLog
	}
	state, err := Load(fs, options.SkipChecksums)
	if err != nil {
		return nil, Stats{}, err
	}
	l.state, l.lastGroup, l.durableGroup = state, state.LastGroup, state.LastGroup
	if err := l.recover(); err != nil {
		return nil, Stats{}, err
	}
	l.workers.Go(l.run)
	return l, state.Stats, nil
}

// State is the state that Open loaded. It must not be used after the first commit.
func (l *Log) State() *State { return l.state }

// Commit applies changes, all or none. It calls done from the log's goroutine, in the order of the commits, once the
// changes are written, or on disk if durable is set; or with the error for which they were rejected.
func (l *Log) Commit(changes []Change, durable bool, done func(error)) {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		done(ErrClosed)
		return
	}
	l.queue = append(l.queue, commit{changes, durable, done})
	l.mu.Unlock()
	l.workAvailable.Signal()
}

// CommitSync applies changes and returns once they are on disk.
func (l *Log) CommitSync(changes ...Change) error {
	done := make(chan error, 1)
	l.Commit(changes, true, func(err error) { done <- err })
	return <-done
}

// Close writes what was committed, marks the clean end of the log, and closes it.
func (l *Log) Close() error {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.workAvailable.Signal()
	l.workers.Wait()
	err := l.syncErr
	if err == nil {
		err = l.segment.Sync()
	}
	l.durableGroup = l.lastGroup
	if err == nil {
		err = l.writeCleanEnd()
	}
	if closeErr := l.closeSegment(); err == nil {
		err = closeErr
	}
	return err
}

// Counters may be read after Close, or from a done function.
func (l *Log) Counters() Counters { return l.counters }
