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
	leastLog  = 4 << 20 // bytes of log from which on a snapshot may be due
	logGrows  = 2       // times the last snapshot: so much log is kept at least before the next
	snapChunk = 1 << 20
	mostGroup = 8 << 20 // bytes of changes that are written at once
)

// ErrBroken says that a sync failed. What of that file is on disk cannot be known from then on, and asking again does not
// tell: nothing more is taken until all that was kept stands in other files.
var ErrBroken = errors.New("the state folder cannot be trusted since a sync failed, and could not be written anew yet")

// ErrStopped is for what comes after Close.
var ErrStopped = errors.New("the state is closed")

// Terms are what a store is told.
type Terms struct {
	Alone  bool // each commit has a sync of its own, to be measured against
	Trust  bool // checksums are not looked at, as sabotage
	Small  int  // bytes of log from which on a snapshot may be due, where not 4 MiB
	OnMode func(text string, figures ...any)
}

// Store is an open one.
type Store struct {
	d     vfs.Folder
	terms Terms

	mu      sync.Mutex
	wake    *sync.Cond
	queue   []commit
	closing bool

	state    *State // the committer's, once open
	log      vfs.File
	size     int // of the log file that is written
	since    int // bytes of log since the last snapshot
	snapSize int
	last     uint64
	safe     uint64
	broken   error
	refusing int           // commits in a row that were not kept
	mended   uint64        // the group from which on a folder that is written anew is read; 0: none is
	snapping chan struct{} // closed when the snapshot that is being written is done; nil: none is
	ended    sync.WaitGroup

	counts Counts
	buf    []byte
}

// Counts are what a store did since it was opened.
type Counts struct {
	Commits, Groups, Syncs, Snapshots, Refused int
	Syncing                                    time.Duration
}

type commit struct {
	changes []Change
	durable bool
	done    func(error)
}

// Open reads a folder, cuts off what a crash left unfinished, and begins to take commits.
func Open(d vfs.Folder, t Terms) (*Store, Figures, error) {
	s := &Store{d: d, terms: t}
	s.wake = sync.NewCond(&s.mu)
	if t.OnMode == nil {
		s.terms.OnMode = func(string, ...any) {}
	}
	if t.Small == 0 {
		s.terms.Small = leastLog
	}
	state, err := Read(d, t.Trust)
	if err != nil {
		return nil, Figures{}, err
	}
	s.state, s.last, s.safe = state, state.Last, state.Last
	if err := s.repair(); err != nil {
		return nil, Figures{}, err
	}
	s.ended.Go(s.work)
	return s, state.Figures, nil
}

// repair leaves a folder in which everything is on disk and one log is open. Each step may be cut off by another
// crash: what it leaves is repaired likewise.
func (s *Store) repair() error {
	logs := s.state.logs
	if len(logs) == 0 { // before anything that tells why there is none goes
		if err := s.startLog(s.last + 1); err != nil {
			return err
		}
	}
	for _, name := range s.state.stale {
		if err := s.d.Remove(name); err != nil {
			return err
		}
	}
	if n := len(logs); n > 0 && s.state.cut >= 0 {
		l := logs[n-1]
		f, err := s.d.Append(l.name)
		if err != nil {
			return err
		}
		if l.size > s.state.cut {
			if err := f.Truncate(int64(s.state.cut)); err != nil {
				return err
			}
		}
		if err := f.Sync(); err != nil { // what was read may not have been on disk yet
			return err
		}
		s.log, s.size = f, s.state.cut
		for _, l := range logs {
			s.since += l.size
		}
		return s.d.Sync()
	}
	if n := len(logs); n > 0 {
		if err := s.d.Remove(logs[n-1].name); err != nil {
			return err
		}
		return s.startLog(s.last + 1)
	}
	return nil
}

func logOf(first uint64) string { return fmt.Sprintf("%s%016x", logName, first) }

// startLog makes the file of the groups from first on; it is on disk, with its name, before anything goes into it.
func (s *Store) startLog(first uint64) error {
	name := logOf(first)
	f, err := s.d.Create(name)
	if err != nil {
		return err
	}
	p := header(logSort, first)
	if _, err = f.Write(p); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.d.Sync()
	}
	if err != nil {
		f.Close()
		s.d.Remove(name)
		return err
	}
	if s.log != nil {
		s.log.Close()
	}
	s.log, s.size = f, len(p)
	return nil
}

// State is what was read when the store was opened; it is to be used before the first commit only.
func (s *Store) State() *State { return s.state }

// Commit keeps changes, all or none. done is called from the store's goroutine, in the order of the commits, once
// they are written, or on disk where durable is set; or with the error for which they are not kept.
func (s *Store) Commit(changes []Change, durable bool, done func(error)) {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		done(ErrStopped)
		return
	}
	s.queue = append(s.queue, commit{changes, durable, done})
	s.mu.Unlock()
	s.wake.Signal()
}

// Keep commits changes and waits until they are on disk.
func (s *Store) Keep(changes ...Change) error {
	done := make(chan error, 1)
	s.Commit(changes, true, func(err error) { done <- err })
	return <-done
}

// Close keeps what was committed and ends.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wake.Signal()
	s.ended.Wait()
	err := s.broken
	if err == nil {
		err = s.log.Sync()
	}
	if s.safe = s.last; err == nil { // an empty group that tells that all before it was on disk
		err = s.mark()
	}
	if c := s.log.Close(); err == nil {
		err = c
	}
	return err
}

// Counts are to be read after Close, or from a done function.
func (s *Store) Counts() Counts { return s.counts }

// work takes what waits, group by group.
func (s *Store) work() {
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closing {
			s.wake.Wait()
		}
		n, bytes := 0, 0
		for n < len(s.queue) && bytes < mostGroup && (n == 0 || !s.terms.Alone) {
			for _, c := range s.queue[n].changes {
				bytes += len(c.Key) + len(c.Value)
			}
			n++
		}
		group := s.queue[:n:n]
		s.queue = s.queue[n:]
		s.mu.Unlock()
		if n == 0 {
			if s.snapping != nil {
				<-s.snapping
			}
			return
		}
		s.keep(group)
		s.compact()
	}
}

func (s *Store) keep(group []commit) {
	var all []Change
	durable := false
	for _, c := range group {
		all = append(all, c.changes...)
		durable = durable || c.durable
	}
	err := s.mend()
	if err == nil {
		err = s.write(all, durable)
	}
	s.tell(err, len(group))
	s.counts.Commits += len(group)
	for _, c := range group {
		c.done(err)
	}
}

// tell says when changes are kept no longer, and when they are again.
func (s *Store) tell(err error, commits int) {
	switch {
	case err != nil:
		if s.refusing == 0 {
			s.terms.OnMode("state not kept", "why", err)
		}
		s.counts.Refused += commits
		s.refusing += commits
	case s.refusing > 0:
		s.terms.OnMode("state kept again", "commits refused", s.refusing)
		s.refusing = 0
	}
}

// mend writes all that was kept into other files, once a sync has failed: a snapshot, and a log that follows it. Until
// both are on disk the folder is read as it was, or from that snapshot on; nothing is kept meanwhile, so both are true.
// The file whose sync failed is not synced again. Each commit that waits tries, one try at a time.
func (s *Store) mend() error {
	if s.broken == nil {
		return nil
	}
	if s.snapping != nil {
		<-s.snapping
		s.snapping = nil
	}
	if s.mended == 0 { // a number of its own: the log that broke may hold groups, or halves, up to the next
		s.mended = s.last + 2
	}
	first := s.mended
	size, err := 0, s.announce(first)
	if err == nil {
		size, err = writeSnapshot(s.d, first, s.state)
	}
	if err == nil {
		if err = s.d.Remove(logOf(first)); errors.Is(err, os.ErrNotExist) { // of a try before
			err = nil
		}
	}
	if err == nil {
		err = s.startLog(first)
	}
	if err == nil {
		err = s.d.Remove(logOf(first) + vfs.Unfinished)
	}
	if err != nil {
		return fmt.Errorf("%w; %w", s.broken, err)
	}
	s.last, s.safe, s.since, s.snapSize, s.broken, s.mended = first-1, first-1, 0, size, nil, 0
	s.counts.Snapshots++
	if err := removeOlder(s.d, first); err != nil {
		s.terms.OnMode("older state not removed", "why", err)
	}
	return nil
}

// announce leaves an unfinished log, by which a snapshot without the log that follows it is known not to be damage.
func (s *Store) announce(first uint64) error {
	f, err := s.d.Create(logOf(first) + vfs.Unfinished)
	if errors.Is(err, os.ErrExist) {
		return s.d.Sync()
	}
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return s.d.Sync()
}

// write puts one group into the log. A write that fails, as on a full disk, is taken back, and the next may
// succeed; after a sync that fails all is written anew.
func (s *Store) write(all []Change, durable bool) error {
	body, err := cbor.Marshal(all)
	if err != nil {
		return err
	}
	if len(body) > mostFrame {
		return fmt.Errorf("a commit of %d bytes is more than %d", len(body), mostFrame)
	}
	if len(all) > 0 {
		s.buf = frame(s.buf[:0], s.last+1, s.safe, body)
		if _, err := s.log.Write(s.buf); err != nil {
			if t := s.log.Truncate(int64(s.size)); t != nil {
				s.fail(fmt.Errorf("%w, and it could not be taken back: %w", err, t))
				return s.broken
			}
			return err
		}
		s.size += len(s.buf)
		s.since += len(s.buf)
		s.last++
		s.counts.Groups++
	}
	if durable {
		began := time.Now()
		if err := s.log.Sync(); err != nil {
			s.fail(err)
			return s.broken
		}
		s.counts.Syncs++
		s.counts.Syncing += time.Since(began)
		s.safe = s.last
	}
	s.state.apply(all)
	return nil
}

// mark ends a log in order: damage before it is then told from what a crash leaves.
func (s *Store) mark() error {
	if s.size == headerSize {
		return nil
	}
	if _, err := s.log.Write(frame(nil, s.last+1, s.safe, emptyGroup)); err != nil {
		return err
	}
	s.last++
	return s.log.Sync()
}

var emptyGroup = []byte{0x80} // no changes, in CBOR

func (s *Store) fail(why error) { s.broken = fmt.Errorf("%w (%w)", ErrBroken, why) }

// compact writes a snapshot, beside the work, when the log has outgrown the last one: so the folder holds at most
// the old snapshot and its log, the new one, and what came meanwhile.
func (s *Store) compact() {
	if s.snapping != nil {
		select {
		case <-s.snapping:
			s.snapping = nil
		default:
			return
		}
	}
	if s.broken != nil || s.since < max(s.terms.Small, logGrows*s.snapSize) {
		return
	}
	if err := s.log.Sync(); err != nil { // the next file follows on this one whole
		s.fail(err)
		return
	}
	s.safe = s.last
	if err := s.startLog(s.last + 1); err != nil {
		s.terms.OnMode("no snapshot", "why", err)
		s.since = 0 // tried again when as much has come anew
		return
	}
	s.since = 0
	first, of := s.last+1, s.state.copied()
	done := make(chan struct{})
	s.snapping = done
	s.counts.Snapshots++
	go func() {
		defer close(done)
		size, err := writeSnapshot(s.d, first, of)
		if err != nil {
			s.terms.OnMode("no snapshot", "why", err)
			return
		}
		s.snapSize = size // read after done is closed
		if err := removeOlder(s.d, first); err != nil {
			s.terms.OnMode("older state not removed", "why", err)
		}
	}()
}

// Compact makes a snapshot of a folder that nobody writes to.
func Compact(d vfs.Folder) (before, after Figures, err error) {
	s, before, err := Open(d, Terms{})
	if err != nil {
		return before, after, err
	}
	if err := s.Close(); err != nil {
		return before, after, err
	}
	if err := s.startLog(s.last + 1); err != nil && !errors.Is(err, os.ErrExist) { // it exists where it is empty
		return before, after, err
	}
	defer s.log.Close()
	if _, err := writeSnapshot(d, s.last+1, s.state); err != nil {
		return before, after, err
	}
	if err := removeOlder(d, s.last+1); err != nil {
		return before, after, err
	}
	now, err := Read(d, false)
	if err != nil {
		return before, after, err
	}
	return before, now.Figures, nil
}

func writeSnapshot(d vfs.Folder, first uint64, of *State) (size int, err error) {
	p := header(snapSort, first)
	var chunk []Change
	n, held := uint64(0), 0
	put := func() error {
		body, err := cbor.Marshal(chunk)
		if err == nil {
			p = frame(p, n, 0, body)
			n, held, chunk = n+1, 0, chunk[:0]
		}
		return err
	}
	for _, kind := range of.Kinds() {
		if err := of.Each(kind, func(key string, value []byte) error {
			chunk = append(chunk, Change{Kind: kind, Key: key, Value: value})
			if held += len(key) + len(value); held >= snapChunk {
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
	p = frame(p, n, 0, nil)
	return len(p), vfs.Replace(d, fmt.Sprintf("%s%016x", snapName, first), p)
}

// removeOlder takes away what a snapshot made needless; what is left of it by a crash goes at the next start.
func removeOlder(d vfs.Folder, first uint64) error {
	names, err := d.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		n, ok := numbered(name, logName)
		if !ok {
			n, ok = numbered(name, snapName)
		}
		if ok && n < first {
			if err := d.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}
