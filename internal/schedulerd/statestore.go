package schedulerd

import (
	"errors"
	"fmt"

	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// stateStore persists the state for the next incarnation: attempts and slow-start sends in the journal, the learned
// state in a snapshot file.
type stateStore struct {
	*journal
	state       storeState
	dir         stateDir
	loadedState loadedState // cleared once it is restored
	writer      snapshotWriter

	ledger *warmstart.SendLedger
	// pendingSends are sends to incarnations that are not listed yet. They are kept for two slow-start windows.
	pendingSends    []warmstart.SlowStartSends
	sendsKnownSince scheduler.Time // all slow-start sends since this time are known
}

// loadedState is the state of earlier incarnations that the folder holds.
type loadedState struct {
	history  warmstart.LogHistory
	attempts []reconcile.Attempt // attempts whose end is not in the log
	sends    []warmstart.SlowStartSends
	snapshot *WarmStartSnapshot // nil if there is none
}

// stateDir is a folder that is locked until Close.
type stateDir interface {
	vfs.FS
	Close() error
}

// openStateDir is replaced by tests that inject faults.
var openStateDir = func(path string) (stateDir, error) { return vfs.OpenLocked(path) }

// openState loads the state folder and logs the start of this incarnation. A folder that cannot be read or locked is an
// error; a full disk is not.
func openState(p *process) (*stateStore, error) {
	folder := p.config.StateDir
	dir, err := openStateDir(folder)
	if err != nil {
		return nil, err
	}
	st := &stateStore{
		journal: &journal{process: p},
		state:   storeLoading,
		dir:     dir,
		writer:  snapshotWriter{process: p, dir: dir, state: writerSaved},
		ledger:  warmstart.NewSendLedger(p.config.Policy.SlowStartPeriod, p.config.Policy.SlowStartWindow),
	}
	if err := st.open(); err != nil {
		return nil, errors.Join(fmt.Errorf("state folder %s: %w", folder, err), dir.Close())
	}
	return st, nil
}

func (st *stateStore) open() error {
	logStats, err := st.openLog(st.dir)
	if err != nil {
		return err
	}
	if err := st.load(); err != nil {
		return errors.Join(err, st.closeLog())
	}
	st.beginIncarnation(st.loadedState.history)
	st.transition(storeFolderLoaded)
	st.log.Info("state loaded", "folder", st.config.StateDir,
		"records", logStats.Records, "groups", logStats.Groups, "bytes", logStats.Bytes,
		"truncated_bytes", logStats.TruncatedBytes, "open_attempts", len(st.loadedState.attempts),
		"log_coverage", st.coverage())
	return nil
}

func (st *stateStore) load() error {
	records := st.wal.State()
	histories, err := loadAll[warmstart.LogHistory](records, IncarnationKind)
	if err != nil {
		return err
	}
	if len(histories) > 0 { // the log holds at most one
		st.loadedState.history = histories[0]
	}
	if st.loadedState.attempts, err = loadAll[reconcile.Attempt](records, AttemptKind); err != nil {
		return err
	}
	if st.loadedState.sends, err = loadAll[warmstart.SlowStartSends](records, SendKind); err != nil {
		return err
	}
	return st.loadSnapshot()
}

// loadAll decodes the records of a kind in the order of their keys.
func loadAll[Record any](records *wal.State, kind string) (all []Record, err error) {
	err = records.ForEach(kind, func(key string, value []byte) error {
		var record Record
		if err := cbor.Unmarshal(value, &record); err != nil {
			return fmt.Errorf("decode record %s %s: %w", kind, key, err)
		}
		all = append(all, record)
		return nil
	})
	return all, err
}

// loadSnapshot reads the snapshot. A snapshot is optional, so an unreadable file is ignored. A file that a later
// version of the program wrote is an error, so that it is not overwritten.
func (st *stateStore) loadSnapshot() error {
	snapshot, err := ReadWarmStart(st.dir)
	if _, unsupported := errors.AsType[*wal.UnsupportedVersionError](err); unsupported {
		return err
	}
	switch {
	case err != nil:
		st.log.Warn("unreadable snapshot ignored", "error", err)
	case snapshot != nil:
		st.loadedState.snapshot = snapshot
	default:
		st.loadLegacyList()
	}
	return nil
}

func (st *stateStore) loadLegacyList() {
	file := st.config.LegacyListFile
	snapshot, err := readLegacyList(file)
	switch {
	case err != nil:
		st.log.Warn("unreadable legacy machine list ignored", "error", err)
	case snapshot != nil:
		st.log.Info("legacy machine list loaded, it is stored in the state folder from now on", "file", file)
		st.loadedState.snapshot = snapshot
	}
}

// logSend records the send of an attempt or a probe to a machine. It reports whether the send has to be logged,
// because the machine is in slow start.
func (st *stateStore) logSend(id scheduler.MachineID, start warmstart.MachineStart) bool {
	sends, changed := st.ledger.RecordSend(st.now(), id, start)
	if changed {
		st.putSends(sends)
	}
	return changed
}

// logIncarnation logs sends that may have reached a newly announced incarnation of a machine. At the time of these
// sends, only an earlier incarnation was known.
func (st *stateStore) logIncarnation(id scheduler.MachineID, start warmstart.MachineStart) {
	if sends, changed := st.ledger.IncarnationObserved(st.now(), id, start); changed {
		st.putSends(sends)
	}
}

// save writes a snapshot, removes the sends of machines that have left slow start, and retries failed deletes.
func (st *stateStore) save(lookup warmstart.MachineLookup, takeSnapshot func() *WarmStartSnapshot) {
	for _, id := range st.ledger.Expire(st.now(), lookup) {
		st.remove(SendKind, string(id))
	}
	st.retryDeletes()
	st.writer.start(takeSnapshot)
}

// close commits the pending changes and writes the last snapshot, once the loop has ended. No snapshot is written if
// the state was not restored: the snapshot in the folder is more complete than the state of this incarnation.
func (st *stateStore) close(takeSnapshot func() *WarmStartSnapshot) {
	st.retryDeletes()
	st.commit()
	st.writer.wait()
	if st.state == storeRecording {
		snapshot := takeSnapshot()
		snapshot.OrderlyShutdown = true
		if err := snapshot.write(st.dir); err != nil {
			st.log.Warn("snapshot not saved", "error", err)
		}
	}
	st.transition(storeReleased)
	if err := st.closeLog(); err != nil {
		st.log.Error("log not closed cleanly, recent changes may be lost", "error", err)
	}
	if err := st.dir.Close(); err != nil {
		st.log.Warn("state folder not released", "error", err)
	}
}
