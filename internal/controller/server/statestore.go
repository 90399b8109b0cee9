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
	versionCeilingStep = 1_000_000 // versions added by each new ceiling, which is stored once half of them are assigned
	storeRetryDelay    = eventloop.Second
)

// stateStore stores the controller's state on disk. Requests to schedulers and answers to clients wait until the state
// behind them is stored.
type stateStore struct {
	cache            *watchcache.Cache
	loop             *eventloop.Loop
	logger           *slog.Logger
	dir              *vfs.Dir
	log              *wal.Log
	versionCeiling   int64                 // stored on disk; no version above it is assigned
	jobs             map[string]JobRecord  // records on disk, by job ID
	unwrittenChanges map[string]wal.Change // failed changes to retry, by recordID
	retryScheduled   bool
}

// openStore opens the state folder, restores its records and raises the version ceiling, so that this process assigns
// no version that an earlier one assigned.
func (s *Server) openStore() error {
	folder := s.config.StateDir
	dir, err := vfs.OpenLocked(folder)
	if err != nil {
		return fmt.Errorf("state folder %s: %w", folder, err)
	}
	log, stats, err := wal.Open(dir, wal.Options{OnModeChange: func(message string, attributes ...any) {
		s.loop.Post(func() { s.log.Warn(message, attributes...) })
	}})
	st := &stateStore{
		cache: s.Cache, loop: s.loop, logger: s.log, dir: dir, log: log,
		jobs: map[string]JobRecord{}, unwrittenChanges: map[string]wal.Change{},
	}
	if err != nil {
		st.releaseDir()
		return fmt.Errorf("state folder %s: %w", folder, err)
	}
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
	if err := st.log.CommitSync(st.ceilingChange()); err != nil {
		return restored, fmt.Errorf("store the version ceiling: %w", err)
	}
	return restored, nil
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
		d = durabilitySync
	}
	for _, c := range changes {
		delete(st.unwrittenChanges, recordID(c))
	}
	changes = append(st.takeUnwritten(), changes...)
	if len(changes) == 0 && d == durabilityWrite {
		done(nil)
		return
	}
	st.log.Commit(changes, d == durabilitySync, func(err error) {
		st.loop.Post(func() {
			if err != nil {
				st.scheduleRetry(changes)
			}
			done(err)
		})
	})
}

// recordID identifies a record across all kinds.
func recordID(c wal.Change) string { return c.Kind + " " + c.Key }

// takeUnwritten removes and returns the changes to retry, ordered by kind and key.
func (st *stateStore) takeUnwritten() []wal.Change {
	changes := make([]wal.Change, 0, len(st.unwrittenChanges))
	for _, c := range st.unwrittenChanges {
		changes = append(changes, c)
	}
	slices.SortFunc(changes, func(a, b wal.Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	clear(st.unwrittenChanges)
	return changes
}

// scheduleRetry schedules a retry of changes that could not be written, because the controller has already applied
// them. Changes of jobs are not retried: a job change that could not be stored was not applied.
func (st *stateStore) scheduleRetry(changes []wal.Change) {
	for _, c := range changes {
		if _, newer := st.unwrittenChanges[recordID(c)]; c.Kind != RecordJob && !newer {
			st.unwrittenChanges[recordID(c)] = c
		}
	}
	if st.retryScheduled {
		return
	}
	st.retryScheduled = true
	st.loop.After(storeRetryDelay, func() {
		st.retryScheduled = false
		if len(st.unwrittenChanges) > 0 {
			st.persist(nil, durabilityWrite, func(error) {}) // a failure schedules the next retry
		}
	})
}
