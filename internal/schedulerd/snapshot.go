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

// Name, magic number and version of the file that holds a WarmStartSnapshot. Version 1 held only the machine list, in
// another format and another file: see readLegacyList.
const (
	WarmStartFile    = "knowledge"
	WarmStartMagic   = "GLENKNW"
	WarmStartVersion = 2
)

// Offsets in the file, for errors about a damaged file.
const (
	versionOffset = 7
	bodyOffset    = 16
)

const snapshotInterval = 2 * eventloop.Second

// ReadWarmStart reads the snapshot of a state folder. It returns a nil snapshot if there is none, *wal.CorruptionError
// if the file is damaged, and *wal.UnsupportedVersionError if a later version of the program wrote it.
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
			Detail: fmt.Sprintf("file version %d has never existed", version),
		}
	}
	snapshot := &WarmStartSnapshot{}
	if err := cbor.Unmarshal(body, snapshot); err != nil {
		return nil, &wal.CorruptionError{File: WarmStartFile, Offset: bodyOffset, Detail: err.Error()}
	}
	return snapshot, nil
}

// write may be called on any goroutine, as file operations must not block the loop.
func (w *WarmStartSnapshot) write(dir vfs.FS) error {
	body, err := cbor.Marshal(w)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	return wal.WriteChecksummed(dir, WarmStartFile, WarmStartMagic, WarmStartVersion, body)
}

// entriesAt returns the machine list with the ages at the given time; nil if the list is too old to be used. A machine
// whose age is unknown counts as just started, which puts it in slow start.
func (w *WarmStartSnapshot) entriesAt(now warmstart.Timestamp) []protocol.MachineEntry {
	since := now.Since(w.TakenAt)
	if since.Age >= 0 && warmstart.Weight(warmstart.MachineList, since.Age) == 0 {
		return nil
	}
	var entries []protocol.MachineEntry
	for _, record := range w.Entries {
		entry := record.entry()
		switch {
		case entry.Age < 0: // started long ago
		case since.Age < 0:
			entry.Age = 0
		default:
			entry.Age += protocol.Duration(since.Age)
		}
		entries = append(entries, entry)
	}
	return entries
}

// takeSnapshot collects the state for the next incarnation.
func (s *Server) takeSnapshot() *WarmStartSnapshot {
	snapshot := &WarmStartSnapshot{
		TakenAt:      readClocks(s.now()),
		ClassNames:   s.classNames(),
		Incarnations: map[scheduler.MachineID]uint64{},
	}
	snapshot.ListVersion, snapshot.Entries = s.machines.listRecords()
	slices.SortFunc(snapshot.Entries, func(a, b entryRecord) int { return cmp.Compare(a.Machine, b.Machine) })
	if limiter := s.decisions.limiter(); limiter != nil {
		limits := limiter.Snapshot()
		snapshot.Overload = &limits
	}
	if source, ok := s.decisions.warmStarter(); ok {
		snapshot.Learned = source.Snapshot()
		for _, learned := range snapshot.Learned.Machines {
			if start, known := s.machines.machineStart(learned.Machine); known {
				snapshot.Incarnations[learned.Machine] = start.Incarnation
			}
		}
	}
	return snapshot
}

// saveSnapshot writes a snapshot, and schedules the next one.
func (s *Server) saveSnapshot() {
	s.loop.After(snapshotInterval, s.saveSnapshot)
	s.state.save(s.machines.machineStart, s.takeSnapshot)
}
