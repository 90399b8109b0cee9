package schedulerd

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// The file of a WarmStartSnapshot. Version 1 was the machine list alone, in another format and place: see
// readLegacyList.
const (
	WarmStartFile    = "knowledge"
	WarmStartMagic   = "GLENKNW"
	WarmStartVersion = 2
)

// Offsets in the file for the report of damage.
const (
	versionOffset = 7
	bodyOffset    = 16
)

const snapshotInterval = 2 * eventloop.Second

// ReadWarmStart reads the snapshot of a state folder. It returns nil if there is none, *wal.CorruptionError if the file
// is damaged, and *wal.UnsupportedVersionError if a later version of the program wrote it.
func ReadWarmStart(dir vfs.FS) (*WarmStartSnapshot, error) {
	version, body, err := wal.ReadChecksummed(dir, WarmStartFile, WarmStartMagic, WarmStartVersion)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if version != WarmStartVersion {
		return nil, &wal.CorruptionError{
			File: WarmStartFile, Offset: versionOffset,
			Detail: fmt.Sprintf("there was no version %d of such a file", version),
		}
	}
	snapshot := &WarmStartSnapshot{}
	if err := cbor.Unmarshal(body, snapshot); err != nil {
		return nil, &wal.CorruptionError{File: WarmStartFile, Offset: bodyOffset, Detail: err.Error()}
	}
	return snapshot, nil
}

// write may be called on any goroutine: file operations must not hold up the loop.
func (w *WarmStartSnapshot) write(dir vfs.FS) error {
	body, err := cbor.Marshal(w)
	if err != nil {
		return err
	}
	return wal.WriteChecksummed(dir, WarmStartFile, WarmStartMagic, WarmStartVersion, body)
}

// agedEntries returns the machine list with the ages of now; nil if it is too old to be used. A machine whose age is
// not known counts as just started, which puts it in slow start.
func (w *WarmStartSnapshot) agedEntries(now warmstart.Timestamp) []protocol.MachineEntry {
	since := now.Since(w.TakenAt)
	if since.Age >= 0 && warmstart.Weight(warmstart.MachineList, since.Age) == 0 {
		return nil
	}
	var entries []protocol.MachineEntry
	for _, record := range w.Entries {
		entry := record.entry()
		switch {
		case entry.Age < 0: // it was long ago
		case since.Age < 0:
			entry.Age = 0
		default:
			entry.Age += protocol.Duration(since.Age)
		}
		entries = append(entries, entry)
	}
	return entries
}

// takeSnapshot collects what the next incarnation should know.
func (s *Server) takeSnapshot(orderlyShutdown bool) *WarmStartSnapshot {
	now := scheduler.Time(s.loop.Now())
	snapshot := &WarmStartSnapshot{
		TakenAt:         readClocks(now),
		ClassNames:      s.classNames(),
		Incarnations:    map[scheduler.MachineID]uint64{},
		ListVersion:     s.discovery.cache.version,
		OrderlyShutdown: orderlyShutdown,
	}
	for _, entry := range s.discovery.cache.entries {
		if m := s.machines[scheduler.MachineID(entry.Machine)]; m != nil && m.startedAt > 0 {
			entry.Age = protocol.Duration(now - m.startedAt)
		}
		snapshot.Entries = append(snapshot.Entries, recordOfEntry(entry))
	}
	slices.SortFunc(snapshot.Entries, func(a, b entryRecord) int { return cmp.Compare(a.Machine, b.Machine) })
	if limiter := s.reconciler.Limiter(); limiter != nil {
		overload := limiter.Snapshot()
		snapshot.Overload = &overload
	}
	if source, ok := s.scheduler.(warmStarter); ok {
		snapshot.Learned = source.Snapshot()
		for _, learned := range snapshot.Learned.Machines {
			if m := s.machines[learned.Machine]; m != nil {
				snapshot.Incarnations[learned.Machine] = m.incarnation
			}
		}
	}
	return snapshot
}

// classNames are the workload classes, then the tenants, in the order of the configuration.
func (s *Server) classNames() []string {
	names := append([]string{}, s.config.WorkloadClasses...)
	return append(names, s.config.Tenants...)
}

// save writes a snapshot at intervals, forgets machines that have left slow start, and repeats what the log did not
// take.
func (st *stateStore) save() {
	s := st.server
	s.loop.After(snapshotInterval, st.save)
	for _, id := range st.ledger.Expire(scheduler.Time(s.loop.Now()), st.machineStart) {
		st.remove(SendKind, string(id))
	}
	st.changes, st.retryDeletes = append(st.retryDeletes, st.changes...), nil
	if st.saving {
		return
	}
	st.saving = true
	snapshot := s.takeSnapshot(false)
	st.writers.Go(func() {
		err := snapshot.write(st.dir)
		s.loop.Post(func() { st.saved(err) })
	})
}

// saved logs the first failure of a row and its end.
func (st *stateStore) saved(err error) {
	st.saving = false
	switch {
	case err != nil && !st.saveFailed:
		st.server.log.Warn("snapshot not saved", "error", err)
	case err == nil && st.saveFailed:
		st.server.log.Info("snapshot saved again")
	}
	st.saveFailed = err != nil
}
