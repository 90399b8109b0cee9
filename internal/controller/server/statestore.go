package server

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"

	"glenport/internal/controller"
	"glenport/internal/controller/watchcache"
	"glenport/internal/eventloop"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
)

const (
	versionCeilingKey  = "version"
	versionCeilingStep = 1_000_000 // versions between two ceilings; the next is stored when half of them are used
	storeRetryDelay    = eventloop.Second
)

// stateStore is the controller's state on disk. What is sent to schedulers and answered to clients waits until it is
// stored.
type stateStore struct {
	cache          *watchcache.Cache
	loop           *eventloop.Loop
	logger         *slog.Logger
	dir            *vfs.Dir
	log            *wal.Log
	versionCeiling int64                // on disk: no version above it is given out
	jobs           map[string]JobRecord // that are on disk, by job
	unwritten      map[string]wal.Change
	retryScheduled bool
}

// openStore opens the state folder, restores what it holds and raises the version ceiling, so that this process gives
// out no version of an earlier one.
func (s *Server) openStore() error {
	folder := s.config.StateDir
	dir, err := vfs.OpenLocked(folder)
	if err != nil {
		return err
	}
	st := &stateStore{
		cache: s.Cache, loop: s.loop, logger: s.log, dir: dir,
		jobs: map[string]JobRecord{}, unwritten: map[string]wal.Change{},
	}
	log, stats, err := wal.Open(dir, wal.Options{OnModeChange: func(message string, attributes ...any) {
		s.loop.Post(func() { s.log.Warn(message, attributes...) })
	}})
	if err != nil {
		st.releaseDir()
		return fmt.Errorf("state folder %s: %w", folder, err)
	}
	st.log = log
	restored, err := st.load(s.specs, s.schedulers.numbers())
	if err != nil {
		if closeErr := st.close(); closeErr != nil {
			s.log.Warn("state not saved", "error", closeErr)
		}
		return fmt.Errorf("state folder %s: %w", folder, err)
	}
	s.storage = st
	s.addEvent(restored)
	s.log.Info("state loaded", "folder", folder, "jobs", len(restored.Jobs), "containers", len(restored.Containers),
		"groups", stats.Groups, "bytes", stats.Bytes, "truncated_bytes", stats.TruncatedBytes)
	return nil
}

// load restores the records and stores a higher version ceiling.
func (st *stateStore) load(specs specReader, numbers map[string]int) (controller.StateRestored, error) {
	restored, err := st.restore(specs, numbers)
	if err != nil {
		return restored, err
	}
	st.versionCeiling += versionCeilingStep
	return restored, st.log.CommitSync(st.ceilingChange())
}

func (st *stateStore) ceilingChange() wal.Change {
	return wal.Put(RecordVersionCeiling, versionCeilingKey, st.versionCeiling)
}

func (st *stateStore) close() error {
	err := st.log.Close()
	st.releaseDir()
	return err
}

func (st *stateStore) releaseDir() {
	if err := st.dir.Close(); err != nil {
		st.logger.Warn("state folder not released", "error", err)
	}
}

func (st *stateStore) persist(changes []wal.Change, d durability, done func(error)) {
	if reserved := st.cache.LastReserved(); reserved+versionCeilingStep/2 > st.versionCeiling {
		st.versionCeiling = reserved + versionCeilingStep
		changes = append(changes, st.ceilingChange())
		d = synced
	}
	for _, c := range changes {
		delete(st.unwritten, recordID(c))
	}
	changes = append(st.takeUnwritten(), changes...)
	if len(changes) == 0 && d == written {
		done(nil)
		return
	}
	st.log.Commit(changes, d == synced, func(err error) {
		st.loop.Post(func() {
			if err != nil {
				st.retryLater(changes)
			}
			done(err)
		})
	})
}

// recordID identifies a record over all kinds.
func recordID(c wal.Change) string { return c.Kind + " " + c.Key }

// takeUnwritten returns the changes that the disk rejected before, by kind and key.
func (st *stateStore) takeUnwritten() []wal.Change {
	changes := make([]wal.Change, 0, len(st.unwritten))
	for _, c := range st.unwritten {
		changes = append(changes, c)
	}
	slices.SortFunc(changes, func(a, b wal.Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	clear(st.unwritten)
	return changes
}

// retryLater repeats changes that the disk rejected: the controller has moved on, and the log has to follow. A job
// whose change was not stored was not changed, so that is not repeated.
func (st *stateStore) retryLater(changes []wal.Change) {
	for _, c := range changes {
		if _, newer := st.unwritten[recordID(c)]; c.Kind != RecordJob && !newer {
			st.unwritten[recordID(c)] = c
		}
	}
	if st.retryScheduled {
		return
	}
	st.retryScheduled = true
	st.loop.After(storeRetryDelay, func() {
		st.retryScheduled = false
		if len(st.unwritten) > 0 {
			st.persist(nil, written, func(error) {}) // a failure schedules the next retry
		}
	})
}
