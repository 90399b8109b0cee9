package schedulerd

import (
	"errors"
	"fmt"
	"sync"

	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of records in the log of a scheduler.
const (
	AttemptKind     = "bid"  // reconcile.Attempt by number: pending or running, of work that is not idempotent
	SendKind        = "sent" // warmstart.SlowStartSends by machine
	IncarnationKind = "life" // warmstart.LogHistory, one
)

// incarnationKey is the key of the one record of IncarnationKind.
const incarnationKey = "this"

// stateStore persists what the next incarnation needs: attempts and slow-start sends in the log, and what was learned
// in a file of its own. The changes of one iteration of the loop are one commit. What has to wait for the commit is run
// when it is written, or on disk if the work demands that.
type stateStore struct {
	server *Server
	dir    stateDir
	log    *wal.Log
	loaded loadedState // until restore

	history             warmstart.LogHistory
	incarnationUnlogged bool // the log does not hold history yet

	ledger *warmstart.SendLedger
	// to incarnations that are not listed yet; kept for two slow-start windows
	pendingSends    []warmstart.SlowStartSends
	sendsKnownSince scheduler.Time // all slow-start sends from then on are known

	changes      []wal.Change // of this iteration
	callbacks    []func(error)
	syncNeeded   bool
	retryDeletes []wal.Change // that the disk did not take; tried again with the next snapshot

	restored   bool
	saving     bool
	saveFailed bool // the last time
	writers    sync.WaitGroup
}

// loadedState is what the folder holds of earlier incarnations.
type loadedState struct {
	history  warmstart.LogHistory
	attempts []reconcile.Attempt // without an end
	sends    []warmstart.SlowStartSends
	snapshot *WarmStartSnapshot // nil if there is none
}

// stateDir is a folder that is held until Close.
type stateDir interface {
	vfs.FS
	Close() error
}

// openStateDir is replaced by tests that inject faults.
var openStateDir = func(path string) (stateDir, error) { return vfs.OpenLocked(path) }

// openState loads a folder and logs that this incarnation begins. A folder that cannot be read or locked is an error; a
// full disk is not.
func openState(s *Server) (*stateStore, error) {
	dir, err := openStateDir(s.config.StateDir)
	if err != nil {
		return nil, err
	}
	st := &stateStore{
		server: s,
		dir:    dir,
		ledger: warmstart.NewSendLedger(s.config.Policy.SlowStartPeriod, s.config.Policy.SlowStartWindow),
	}
	if err := st.open(); err != nil {
		return nil, errors.Join(fmt.Errorf("state folder %s: %w", s.config.StateDir, err), dir.Close())
	}
	return st, nil
}

func (st *stateStore) open() error {
	s := st.server
	var found wal.Stats
	var err error
	if st.log, found, err = wal.Open(st.dir, wal.Options{OnModeChange: st.logModeChange}); err != nil {
		return err
	}
	if err := st.load(); err != nil {
		return errors.Join(err, st.log.Close())
	}
	st.history = st.loaded.history.Next(readClocks(scheduler.Time(s.loop.Now())))
	// nothing that needs the log is sent before it holds this
	if err := st.log.CommitSync(st.historyChange()); err != nil {
		st.incarnationUnlogged = true
		s.log.Warn("incarnation not logged yet, what must be logged waits", "error", err)
	}
	s.log.Info(
		"state loaded",
		"folder",
		s.config.StateDir,
		"records",
		found.Records,
		"groups",
		found.Groups,
		"bytes",
		found.Bytes,
		"truncated_bytes",
		found.TruncatedBytes,
		"open_attempts",
		len(st.loaded.attempts),
		"log_coverage",
		st.history.Coverage,
	)
	return nil
}

// logModeChange is called by the goroutine of the log.
func (st *stateStore) logModeChange(text string, attributes ...any) {
	st.server.loop.Post(func() { st.server.log.Warn(text, attributes...) })
}

func (st *stateStore) load() error {
	records := st.log.State()
	if err := records.ForEach(IncarnationKind, func(_ string, value []byte) error {
		return cbor.Unmarshal(value, &st.loaded.history)
	}); err != nil {
		return err
	}
	var err error
	if st.loaded.attempts, err = loadAll[reconcile.Attempt](records, AttemptKind); err != nil {
		return err
	}
	if st.loaded.sends, err = loadAll[warmstart.SlowStartSends](records, SendKind); err != nil {
		return err
	}
	return st.loadSnapshot()
}

// loadAll decodes the records of a kind in the order of their keys.
func loadAll[Record any](records *wal.State, kind string) (all []Record, err error) {
	err = records.ForEach(kind, func(_ string, value []byte) error {
		var record Record
		err := cbor.Unmarshal(value, &record)
		all = append(all, record)
		return err
	})
	return all, err
}

// loadSnapshot reads what was learned. That is no promise: a file that cannot be read is left out, but one of a later
// version of the program stops the start, so that it is not replaced.
func (st *stateStore) loadSnapshot() error {
	s := st.server
	var unsupported *wal.UnsupportedVersionError
	snapshot, err := ReadWarmStart(st.dir)
	switch {
	case errors.As(err, &unsupported):
		return err
	case err != nil:
		s.log.Warn("snapshot not used", "error", err)
		return nil
	case snapshot != nil:
		st.loaded.snapshot = snapshot
		return nil
	}
	snapshot, err = readLegacyList(s.config.LegacyListFile)
	switch {
	case err != nil:
		s.log.Warn("legacy machine list not used", "error", err)
	case snapshot != nil:
		s.log.Info("legacy machine list loaded, the state folder replaces it", "file", s.config.LegacyListFile)
		st.loaded.snapshot = snapshot
	}
	return nil
}

func (st *stateStore) put(kind, key string, value any) {
	st.changes = append(st.changes, wal.Put(kind, key, value))
}

func (st *stateStore) remove(kind, key string) {
	st.changes = append(st.changes, wal.Change{Kind: kind, Key: key})
}

// afterCommit runs a callback on the loop once the changes of this iteration are written, or on disk.
func (st *stateStore) afterCommit(sync bool, callback func(error)) {
	st.syncNeeded = st.syncNeeded || sync
	st.callbacks = append(st.callbacks, callback)
}

// commit writes the changes of the iteration.
func (st *stateStore) commit() {
	if len(st.changes) == 0 && len(st.callbacks) == 0 {
		return
	}
	callbacks, changes := st.callbacks, st.changes
	withHistory := st.incarnationUnlogged
	if withHistory {
		changes = append([]wal.Change{st.historyChange()}, changes...)
	}
	st.log.Commit(changes, st.syncNeeded || withHistory, func(err error) {
		if len(callbacks) == 0 && err == nil && !withHistory {
			return
		}
		st.server.loop.Post(func() { st.committed(changes, callbacks, err) })
	})
	st.changes, st.callbacks, st.syncNeeded = nil, nil, false
}

func (st *stateStore) committed(changes []wal.Change, callbacks []func(error), err error) {
	if err == nil {
		st.incarnationUnlogged = false
	} else {
		st.retryLater(changes)
	}
	for _, callback := range callbacks {
		callback(err)
	}
}

// retryLater keeps the changes of a failed commit that record what has happened: the end of attempts, and the history.
// An attempt that could not be logged was not sent.
func (st *stateStore) retryLater(changes []wal.Change) {
	for _, c := range changes {
		switch {
		case c.Kind == AttemptKind && c.Value == nil:
			st.retryDeletes = append(st.retryDeletes, c)
		case c.Kind == IncarnationKind:
			st.incarnationUnlogged = true
		}
	}
}

func (st *stateStore) historyChange() wal.Change {
	return wal.Put(IncarnationKind, incarnationKey, st.history)
}

// allMachinesReported logs that all attempts of earlier incarnations are known.
func (st *stateStore) allMachinesReported() {
	st.history = st.history.WithCompleteLog()
	st.changes = append(st.changes, st.historyChange())
}

// close writes what is left. The loop has ended. Where the state was not restored, the folder holds a better snapshot
// than this incarnation has.
func (st *stateStore) close() {
	log := st.server.log
	st.changes = append(st.retryDeletes, st.changes...)
	st.commit()
	st.writers.Wait()
	if st.restored {
		if err := st.server.takeSnapshot(true).write(st.dir); err != nil {
			log.Warn("snapshot not saved", "error", err)
		}
	}
	if err := st.log.Close(); err != nil {
		log.Error("state not saved", "error", err)
	}
	if err := st.dir.Close(); err != nil {
		log.Warn("state folder not released", "error", err)
	}
}
