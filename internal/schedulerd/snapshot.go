package schedulerd

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// The file of what a placer has learned. Version 1 was the list alone, without sort, version and checksum, in a file
// of its own that the setting "keep" named.
const (
	WarmStartFile    = "knowledge"
	WarmStartMagic   = "GLENKNW"
	WarmStartVersion = 2
	snapshotInterval = 2 * eventloop.Second
)

// warmStarter is a decider whose knowledge can be kept.
type warmStarter interface {
	Snapshot() scheduler.Snapshot
	Restore(scheduler.Snapshot)
}

// readClocks reads the clocks.
func readClocks(clock scheduler.Time) warmstart.Timestamp {
	s := warmstart.Timestamp{Clock: clock}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		s.Uptime = scheduler.Time(t.Nano() / 100_000)
	}
	if id, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		s.BootID = strings.TrimSpace(string(id))
	}
	return s
}

// ReadWarmStart reads the file; nil where there is none.
func ReadWarmStart(d vfs.FS) (*WarmStartSnapshot, error) {
	version, body, err := wal.ReadChecksummed(d, WarmStartFile, WarmStartMagic, WarmStartVersion)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	k := &WarmStartSnapshot{}
	if version != WarmStartVersion {
		return nil, &wal.CorruptionError{File: WarmStartFile, Offset: 7, Detail: fmt.Sprintf("there was no version %d of such a file", version)}
	}
	if err := cbor.Unmarshal(body, k); err != nil {
		return nil, &wal.CorruptionError{File: WarmStartFile, Offset: 16, Detail: err.Error()}
	}
	return k, nil
}

// readLegacyList reads the file of version 1.
func readLegacyList(path string) (*WarmStartSnapshot, error) {
	data, err := os.ReadFile(path)
	if path == "" || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(data) < 13 || int(binary.BigEndian.Uint32(data[8:])) != len(data)-12 {
		return nil, fmt.Errorf("%s is cut short or no kept list", path)
	}
	f, err := protocol.Decode(data[12:])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	listed, ok := f.(*protocol.MachineListUpdate)
	if !ok {
		return nil, fmt.Errorf("%s holds a %T", path, f)
	}
	k := &WarmStartSnapshot{TakenAt: warmstart.Timestamp{Clock: scheduler.Time(binary.BigEndian.Uint64(data))}, ListVersion: listed.Version}
	for _, e := range listed.Entries {
		k.Entries = append(k.Entries, recordOfEntry(e))
	}
	return k, nil
}

// agedEntries gives the entries of a kept list as they stand now. A machine whose age is not known counts as just started:
// it is then spared as a cold one.
func (k *WarmStartSnapshot) agedEntries(now warmstart.Timestamp) []protocol.MachineEntry {
	since := now.Since(k.TakenAt)
	if since.Age >= 0 && warmstart.Weight(warmstart.MachineList, since.Age) == 0 {
		return nil
	}
	var all []protocol.MachineEntry
	for _, r := range k.Entries {
		e := r.entry()
		if e.Age >= 0 && since.Age >= 0 {
			e.Age += protocol.Duration(since.Age)
		} else if e.Age >= 0 {
			e.Age = 0
		}
		all = append(all, e)
	}
	return all
}

// collectSnapshot gathers what is to be kept.
func (h *Server) collectSnapshot(orderly bool) *WarmStartSnapshot {
	k := &WarmStartSnapshot{TakenAt: readClocks(scheduler.Time(h.loop.Now())), Names: h.classNames(), Incarnations: map[scheduler.MachineID]uint64{},
		ListVersion: h.discovery.cache.version, OrderlyShutdown: orderly}
	for _, e := range h.discovery.cache.entries {
		if m := h.machines[scheduler.MachineID(e.Machine)]; m != nil && m.startedAt > 0 {
			e.Age = protocol.Duration(scheduler.Time(h.loop.Now()) - m.startedAt)
		}
		k.Entries = append(k.Entries, recordOfEntry(e))
	}
	sort.Slice(k.Entries, func(i, j int) bool { return k.Entries[i].Machine < k.Entries[j].Machine })
	if d := h.ownership.Limiter(); d != nil {
		known := d.Snapshot()
		k.Overload = &known
	}
	if l, ok := h.scheduler.(warmStarter); ok {
		k.Learned = l.Snapshot()
		for _, m := range k.Learned.Machines {
			if at := h.machines[m.Machine]; at != nil {
				k.Incarnations[m.Machine] = at.incarnation
			}
		}
	}
	return k
}

func (h *Server) classNames() []string {
	return append(append([]string{}, h.config.Workloads...), h.config.Customers...)
}

// write runs on a goroutine of its own: file work must not hold up the loop.
func (k *WarmStartSnapshot) write(d vfs.FS) error {
	body, err := cbor.Marshal(k)
	if err != nil {
		return err
	}
	return wal.WriteChecksummed(d, WarmStartFile, WarmStartMagic, WarmStartVersion, body)
}
