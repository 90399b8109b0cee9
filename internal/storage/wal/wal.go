// Package wal keeps a key-value state on disk as a write-ahead log with snapshots. Values are addressed by kind and
// key. Commits are atomic and applied in order. Commits that wait at the same time share one group and one sync.
// Snapshots bound the length of the log.
//
// docs/notes/state.md describes the guarantees and why no existing library is used.
package wal

import (
	"sync"
	"time"

	"glenport/internal/storage/vfs"
)

// Sizes that govern groups and snapshots.
const (
	defaultMinSnapshotLog = 4 << 20 // bytes
	snapshotGrowthFactor  = 2       // a snapshot is due when the log exceeds this multiple of the last one
	snapshotChunkBytes    = 1 << 20
	maxGroupBytes         = 8 << 20 // a group of at least this size takes no further commit
)

// Options of a log. The zero value is the production configuration.
type Options struct {
	SyncEachCommit bool // each commit gets its own group and sync, as a baseline for measurements
	SkipChecksums  bool // corruption is not detected, for mutation tests
	MinSnapshotLog int  // minimum size of the log in bytes for a snapshot to be due; 0 means 4 MiB

	// OnModeChange receives log messages in the form of slog: a constant message, then keys and values. It is called on
	// the log's goroutines and must not block. It may be nil.
	OnModeChange func(message string, attributes ...any)
}

// Log is an open write-ahead log and the state that results from its commits.
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
	segment      vfs.File // the segment that is written to; nil if none is open
	segmentSize  int
	lastGroup    uint64 // sequence number of the last group written
	durableGroup uint64 // all groups up to this one are on disk

	bytesSinceSnapshot int
	// size of the last snapshot in bytes; written by the snapshot goroutine, read only once snapshotDone is closed
	snapshotSize int
	snapshotDone chan struct{} // closed when the current snapshot ends; nil if none is being written

	syncErr            error  // not nil after a failed sync, until rewrite succeeds
	rewriteFirstGroup  uint64 // first group of the segment that a rewrite starts; 0: no rewrite was tried
	consecutiveRejects int    // commits rejected since the last accepted one

	counters    Counters
	groupBuffer []byte
}

// Counters count the operations of a log since it was opened.
type Counters struct {
	Commits, Groups, Syncs, Snapshots, Rejected int
	SyncTime                                    time.Duration
}

// Open loads the state of a directory, truncates a group that a crash left incomplete, and starts to accept commits.
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

// Commit applies all changes or none. It calls done on the log's goroutine, in the order of the commits: with nil once
// the changes are written, or once they are on disk if durable is set, and with an error if they are rejected.
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

// Close writes the queued commits, marks the clean end of the log, and closes it.
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

// Counters returns the counters. It may be called after Close or from a done function.
func (l *Log) Counters() Counters { return l.counters }
