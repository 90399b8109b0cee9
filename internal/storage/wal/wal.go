// Package wal keeps promises on disk: values by kind and key, changed in groups that are kept whole or not at all,
// in the order in which they came. A log takes the groups, with one sync for all that wait at the same time; snapshots
// bound its length. docs/notes/state.md tells why this is no library.
package wal

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"glenport/internal/storage/vfs"

	"github.com/fxamacker/cbor/v2"
)

// Tuned values.
const (
	defaultMinSnapshotLog = 4 << 20 // bytes of log from which on a snapshot may be due
	snapshotGrowthFactor  = 2       // times the last snapshot: so much log is kept at least before the next
	snapshotChunkBytes    = 1 << 20
	maxGroupBytes         = 8 << 20 // bytes of changes that are written at once
)

// ErrSyncFailed says that a sync failed. What of that file is on disk cannot be known from then on, and asking again does not
// tell: nothing more is taken until all that was kept stands in other files.
var ErrSyncFailed = errors.New("the state folder cannot be trusted since a sync failed, and could not be written anew yet")

// ErrClosed is for what comes after Close.
var ErrClosed = errors.New("the state is closed")

// Options are what a store is told.
type Options struct {
	SyncEachCommit bool // each commit has a sync of its own, to be measured against
	SkipChecksums  bool // checksums are not looked at, as sabotage
	MinSnapshotLog int  // bytes of log from which on a snapshot may be due, where not 4 MiB
	OnModeChange   func(text string, figures ...any)
}

// Log is an open one.
type Log struct {
	fs      vfs.FS
	options Options

	mu      sync.Mutex
	wake    *sync.Cond
	queue   []commit
	closing bool

	state              *State // the committer's, once open
	segment            vfs.File
	segmentSize        int // of the log file that is written
	bytesSinceSnapshot int // bytes of log since the last snapshot
	snapshotSize       int
	lastGroup          uint64
	durableGroup       uint64
	syncErr            error
	rejectedInRow      int           // commits in a row that were not kept
	rewriteFirst       uint64        // the group from which on a folder that is written anew is read; 0: none is
	snapshotDone       chan struct{} // closed when the snapshot that is being written is done; nil: none is
	workers            sync.WaitGroup

	counters Counters
	buf      []byte
}

// Counters are what a store did since it was opened.
type Counters struct {
	Commits, Groups, Syncs, Snapshots, Rejected int
	SyncTime                                    time.Duration
}

type commit struct {
	changes []Change
	durable bool
	done    func(error)
}

// Open reads a folder, cuts off what a crash left unfinished, and begins to take commits.
func Open(d vfs.FS, t Options) (*Log, Stats, error) {
	s := &Log{fs: d, options: t}
	s.wake = sync.NewCond(&s.mu)
	if t.OnModeChange == nil {
		s.options.OnModeChange = func(string, ...any) {}
	}
	if t.MinSnapshotLog == 0 {
		s.options.MinSnapshotLog = defaultMinSnapshotLog
	}
	state, err := Load(d, t.SkipChecksums)
	if err != nil {
		return nil, Stats{}, err
	}
	s.state, s.lastGroup, s.durableGroup = state, state.LastGroup, state.LastGroup
	if err := s.recover(); err != nil {
		return nil, Stats{}, err
	}
	s.workers.Go(s.run)
	return s, state.Stats, nil
}

// recover leaves a folder in which everything is on disk and one log is open. Each step may be cut off by another
// crash: what it leaves is repaired likewise.
func (s *Log) recover() error {
	logs := s.state.segments
	if len(logs) == 0 { // before anything that tells why there is none goes
		if err := s.startSegment(s.lastGroup + 1); err != nil {
			return err
		}
	}
	for _, name := range s.state.obsolete {
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	if n := len(logs); n > 0 && s.state.validSize >= 0 {
		l := logs[n-1]
		f, err := s.fs.Append(l.name)
		if err != nil {
			return err
		}
		if l.size > s.state.validSize {
			if err := f.Truncate(int64(s.state.validSize)); err != nil {
				return err
			}
		}
		if err := f.Sync(); err != nil { // what was read may not have been on disk yet
			return err
		}
		s.segment, s.segmentSize = f, s.state.validSize
		for _, l := range logs {
			s.bytesSinceSnapshot += l.size
		}
		return s.fs.Sync()
	}
	if n := len(logs); n > 0 {
		if err := s.fs.Remove(logs[n-1].name); err != nil {
			return err
		}
		return s.startSegment(s.lastGroup + 1)
	}
	return nil
}

func segmentName(first uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, first) }

// startSegment makes the file of the groups from first on; it is on disk, with its name, before anything goes into it.
func (s *Log) startSegment(first uint64) error {
	name := segmentName(first)
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	p := appendFileHeader(segmentMagic, first)
	if _, err = f.Write(p); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Sync()
	}
	if err != nil {
		f.Close()
		s.fs.Remove(name)
		return err
	}
	if s.segment != nil {
		s.segment.Close()
	}
	s.segment, s.segmentSize = f, len(p)
	return nil
}

// State is what was read when the store was opened; it is to be used before the first commit only.
func (s *Log) State() *State { return s.state }

// Commit keeps changes, all or none. done is called from the store's goroutine, in the order of the commits, once
// they are written, or on disk where durable is set; or with the error for which they are not kept.
func (s *Log) Commit(changes []Change, durable bool, done func(error)) {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		done(ErrClosed)
		return
	}
	s.queue = append(s.queue, commit{changes, durable, done})
	s.mu.Unlock()
	s.wake.Signal()
}

// CommitSync commits changes and waits until they are on disk.
func (s *Log) CommitSync(changes ...Change) error {
	done := make(chan error, 1)
	s.Commit(changes, true, func(err error) { done <- err })
	return <-done
}

// Close keeps what was committed and ends.
func (s *Log) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wake.Signal()
	s.workers.Wait()
	err := s.syncErr
	if err == nil {
		err = s.segment.Sync()
	}
	if s.durableGroup = s.lastGroup; err == nil { // an empty group that tells that all before it was on disk
		err = s.writeCleanEnd()
	}
	if c := s.segment.Close(); err == nil {
		err = c
	}
	return err
}

// Counters are to be read after Close, or from a done function.
func (s *Log) Counters() Counters { return s.counters }

// run takes what waits, group by group.
func (s *Log) run() {
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closing {
			s.wake.Wait()
		}
		n, bytes := 0, 0
		for n < len(s.queue) && bytes < maxGroupBytes && (n == 0 || !s.options.SyncEachCommit) {
			for _, c := range s.queue[n].changes {
				bytes += len(c.Key) + len(c.Value)
			}
			n++
		}
		group := s.queue[:n:n]
		s.queue = s.queue[n:]
		s.mu.Unlock()
		if n == 0 {
			if s.snapshotDone != nil {
				<-s.snapshotDone
			}
			return
		}
		s.commitGroup(group)
		s.maybeSnapshot()
	}
}

func (s *Log) commitGroup(group []commit) {
	var all []Change
	durable := false
	for _, c := range group {
		all = append(all, c.changes...)
		durable = durable || c.durable
	}
	err := s.rewrite()
	if err == nil {
		err = s.write(all, durable)
	}
	s.reportMode(err, len(group))
	s.counters.Commits += len(group)
	for _, c := range group {
		c.done(err)
	}
}

// reportMode says when changes are kept no longer, and when they are again.
func (s *Log) reportMode(err error, commits int) {
	switch {
	case err != nil:
		if s.rejectedInRow == 0 {
			s.options.OnModeChange("state not kept", "why", err)
		}
		s.counters.Rejected += commits
		s.rejectedInRow += commits
	case s.rejectedInRow > 0:
		s.options.OnModeChange("state kept again", "commits refused", s.rejectedInRow)
		s.rejectedInRow = 0
	}
}

// rewrite writes all that was kept into other files, once a sync has failed: a snapshot, and a log that follows it. Until
// both are on disk the folder is read as it was, or from that snapshot on; nothing is kept meanwhile, so both are true.
// The file whose sync failed is not synced again. Each commit that waits tries, one try at a time.
func (s *Log) rewrite() error {
	if s.syncErr == nil {
		return nil
	}
	if s.snapshotDone != nil {
		<-s.snapshotDone
		s.snapshotDone = nil
	}
	if s.rewriteFirst == 0 { // a number of its own: the log that broke may hold groups, or halves, up to the next
		s.rewriteFirst = s.lastGroup + 2
	}
	first := s.rewriteFirst
	size, err := 0, s.announceRewrite(first)
	if err == nil {
		size, err = writeSnapshot(s.fs, first, s.state)
	}
	if err == nil {
		if err = s.fs.Remove(segmentName(first)); errors.Is(err, os.ErrNotExist) { // of a try before
			err = nil
		}
	}
	if err == nil {
		err = s.startSegment(first)
	}
	if err == nil {
		err = s.fs.Remove(segmentName(first) + vfs.TempSuffix)
	}
	if err != nil {
		return fmt.Errorf("%w; %w", s.syncErr, err)
	}
	s.lastGroup, s.durableGroup, s.bytesSinceSnapshot, s.snapshotSize, s.syncErr, s.rewriteFirst = first-1, first-1, 0, size, nil, 0
	s.counters.Snapshots++
	if err := removeOlder(s.fs, first); err != nil {
		s.options.OnModeChange("older state not removed", "why", err)
	}
	return nil
}

// announceRewrite leaves an unfinished log, by which a snapshot without the log that follows it is known not to be damage.
func (s *Log) announceRewrite(first uint64) error {
	f, err := s.fs.Create(segmentName(first) + vfs.TempSuffix)
	if errors.Is(err, os.ErrExist) {
		return s.fs.Sync()
	}
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return s.fs.Sync()
}

// write puts one group into the log. A write that fails, as on a full disk, is taken back, and the next may
// succeed; after a sync that fails all is written anew.
func (s *Log) write(all []Change, durable bool) error {
	body, err := cbor.Marshal(all)
	if err != nil {
		return err
	}
	if len(body) > maxGroupBody {
		return fmt.Errorf("a commit of %d bytes is more than %d", len(body), maxGroupBody)
	}
	if len(all) > 0 {
		s.buf = appendGroup(s.buf[:0], s.lastGroup+1, s.durableGroup, body)
		if _, err := s.segment.Write(s.buf); err != nil {
			if t := s.segment.Truncate(int64(s.segmentSize)); t != nil {
				s.setSyncError(fmt.Errorf("%w, and it could not be taken back: %w", err, t))
				return s.syncErr
			}
			return err
		}
		s.segmentSize += len(s.buf)
		s.bytesSinceSnapshot += len(s.buf)
		s.lastGroup++
		s.counters.Groups++
	}
	if durable {
		began := time.Now()
		if err := s.segment.Sync(); err != nil {
			s.setSyncError(err)
			return s.syncErr
		}
		s.counters.Syncs++
		s.counters.SyncTime += time.Since(began)
		s.durableGroup = s.lastGroup
	}
	s.state.apply(all)
	return nil
}

// writeCleanEnd ends a log in order: damage before it is then told from what a crash leaves.
func (s *Log) writeCleanEnd() error {
	if s.segmentSize == headerSize {
		return nil
	}
	if _, err := s.segment.Write(appendGroup(nil, s.lastGroup+1, s.durableGroup, emptyGroupBody)); err != nil {
		return err
	}
	s.lastGroup++
	return s.segment.Sync()
}

var emptyGroupBody = []byte{0x80} // no changes, in CBOR

func (s *Log) setSyncError(why error) { s.syncErr = fmt.Errorf("%w (%w)", ErrSyncFailed, why) }

// maybeSnapshot writes a snapshot, beside the work, when the log has outgrown the last one: so the folder holds at most
// the old snapshot and its log, the new one, and what came meanwhile.
func (s *Log) maybeSnapshot() {
	if s.snapshotDone != nil {
		select {
		case <-s.snapshotDone:
			s.snapshotDone = nil
		default:
			return
		}
	}
	if s.syncErr != nil || s.bytesSinceSnapshot < max(s.options.MinSnapshotLog, snapshotGrowthFactor*s.snapshotSize) {
		return
	}
	if err := s.segment.Sync(); err != nil { // the next file follows on this one whole
		s.setSyncError(err)
		return
	}
	s.durableGroup = s.lastGroup
	if err := s.startSegment(s.lastGroup + 1); err != nil {
		s.options.OnModeChange("no snapshot", "why", err)
		s.bytesSinceSnapshot = 0 // tried again when as much has come anew
		return
	}
	s.bytesSinceSnapshot = 0
	first, of := s.lastGroup+1, s.state.clone()
	done := make(chan struct{})
	s.snapshotDone = done
	s.counters.Snapshots++
	go func() {
		defer close(done)
		size, err := writeSnapshot(s.fs, first, of)
		if err != nil {
			s.options.OnModeChange("no snapshot", "why", err)
			return
		}
		s.snapshotSize = size // read after done is closed
		if err := removeOlder(s.fs, first); err != nil {
			s.options.OnModeChange("older state not removed", "why", err)
		}
	}()
}

// Compact makes a snapshot of a folder that nobody writes to.
func Compact(d vfs.FS) (before, after Stats, err error) {
	s, before, err := Open(d, Options{})
	if err != nil {
		return before, after, err
	}
	if err := s.Close(); err != nil {
		return before, after, err
	}
	if err := s.startSegment(s.lastGroup + 1); err != nil && !errors.Is(err, os.ErrExist) { // it exists where it is empty
		return before, after, err
	}
	defer s.segment.Close()
	if _, err := writeSnapshot(d, s.lastGroup+1, s.state); err != nil {
		return before, after, err
	}
	if err := removeOlder(d, s.lastGroup+1); err != nil {
		return before, after, err
	}
	now, err := Load(d, false)
	if err != nil {
		return before, after, err
	}
	return before, now.Stats, nil
}

func writeSnapshot(d vfs.FS, first uint64, of *State) (size int, err error) {
	p := appendFileHeader(snapshotMagic, first)
	var chunk []Change
	n, held := uint64(0), 0
	put := func() error {
		body, err := cbor.Marshal(chunk)
		if err == nil {
			p = appendGroup(p, n, 0, body)
			n, held, chunk = n+1, 0, chunk[:0]
		}
		return err
	}
	for _, kind := range of.Kinds() {
		if err := of.ForEach(kind, func(key string, value []byte) error {
			chunk = append(chunk, Change{Kind: kind, Key: key, Value: value})
			if held += len(key) + len(value); held >= snapshotChunkBytes {
				return put()
			}
			return nil
		}); err != nil {
			return 0, err
		}
	}
	if len(chunk) > 0 {
		if err := put(); err != nil {
			return 0, err
		}
	}
	p = appendGroup(p, n, 0, nil)
	return len(p), vfs.WriteFileAtomic(d, fmt.Sprintf("%s%016x", snapshotPrefix, first), p)
}

// removeOlder takes away what a snapshot made needless; what is left of it by a crash goes at the next start.
func removeOlder(d vfs.FS, first uint64) error {
	names, err := d.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		n, ok := parseFileName(name, segmentPrefix)
		if !ok {
			n, ok = parseFileName(name, snapshotPrefix)
		}
		if ok && n < first {
			if err := d.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}
