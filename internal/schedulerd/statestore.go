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

// stateStore persists what the next incarnation needs: attempts and slow-start sends in the journal, and what was
// learned in a file of its own.
type stateStore struct {
	*journal
	state  storeState
	dir    stateDir
	loaded loadedState // until the server has started
	writer snapshotWriter

	ledger *warmstart.SendLedger
	// to incarnations that are not listed yet; kept for two slow-start windows
	pendingSends    []warmstart.SlowStartSends
	sendsKnownSince scheduler.Time // all slow-start sends from then on are known
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
	found, err := st.openLog(st.dir)
	if err != nil {
		return err
	}
	if err := st.load(); err != nil {
		return errors.Join(err, st.closeLog())
	}
	st.beginIncarnation(st.loaded.history)
	st.transition(storeFolderLoaded)
	st.log.Info("state loaded", "folder", st.config.StateDir,
		"records", found.Records, "groups", found.Groups, "bytes", found.Bytes,
		"truncated_bytes", found.TruncatedBytes, "open_attempts", len(st.loaded.attempts),
		"log_coverage", st.coverage())
	return nil
}

func (st *stateStore) load() error {
	records := st.wal.State()
	histories, err := loadAll[warmstart.LogHistory](records, IncarnationKind)
	if err != nil {
		return err
	}
	if len(histories) > 0 { // there is one
		st.loaded.history = histories[0]
	}
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

// loadSnapshot reads what was learned. That is no promise: a file that cannot be read is left out, but one of a later
// version of the program stops the start, so that it is not replaced.
func (st *stateStore) loadSnapshot() error {
	snapshot, err := ReadWarmStart(st.dir)
	if _, unsupported := errors.AsType[*wal.UnsupportedVersionError](err); unsupported {
		return err
	}
	switch {
	case err != nil:
		st.log.Warn("snapshot not used", "error", err)
	case snapshot != nil:
		st.loaded.snapshot = snapshot
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
		st.log.Warn("legacy machine list not used", "error", err)
	case snapshot != nil:
		st.log.Info("legacy machine list loaded, the state folder replaces it", "file", file)
		st.loaded.snapshot = snapshot
	}
}

// logSend counts an attempt or a probe for a machine in slow start. It reports whether there is anything to log.
func (st *stateStore) logSend(id scheduler.MachineID, start warmstart.MachineStart) bool {
	sends, changed := st.ledger.RecordSend(st.now(), id, start)
	if changed {
		st.putSends(sends)
	}
	return changed
}

// logIncarnation logs sends that may have reached an incarnation that has just been announced, while an earlier one was
// known.
func (st *stateStore) logIncarnation(id scheduler.MachineID, start warmstart.MachineStart) {
	if sends, changed := st.ledger.IncarnationObserved(st.now(), id, start); changed {
		st.putSends(sends)
	}
}

// save writes a snapshot, forgets machines that have left slow start, and repeats what the log did not take.
func (st *stateStore) save(lookup warmstart.MachineLookup, takeSnapshot func() *WarmStartSnapshot) {
	for _, id := range st.ledger.Expire(st.now(), lookup) {
		st.remove(SendKind, string(id))
	}
	st.retryDeletes()
	st.writer.start(takeSnapshot)
}

// close writes what is left. The loop has ended. Where the state was not restored, the folder holds a better snapshot
// than this incarnation has.
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
		st.log.Error("state not saved", "error", err)
	}
	if err := st.dir.Close(); err != nil {
		st.log.Warn("state folder not released", "error", err)
	}
}
