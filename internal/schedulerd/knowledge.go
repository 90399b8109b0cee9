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
	KnowledgeName    = "knowledge"
	KnowledgeSort    = "GLENKNW"
	KnowledgeVersion = 2
	knowledgeEvery   = 2 * eventloop.Second
)

// learner is a decider whose knowledge can be kept.
type learner interface {
	Snapshot() scheduler.Snapshot
	Restore(scheduler.Snapshot)
}

// stamp reads the clocks.
func stamp(clock scheduler.Time) warmstart.Timestamp {
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

// ReadKnowledge reads the file; nil where there is none.
func ReadKnowledge(d vfs.FS) (*Knowledge, error) {
	version, body, err := wal.ReadChecksummed(d, KnowledgeName, KnowledgeSort, KnowledgeVersion)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	k := &Knowledge{}
	if version != KnowledgeVersion {
		return nil, &wal.CorruptionError{File: KnowledgeName, Offset: 7, Detail: fmt.Sprintf("there was no version %d of such a file", version)}
	}
	if err := cbor.Unmarshal(body, k); err != nil {
		return nil, &wal.CorruptionError{File: KnowledgeName, Offset: 16, Detail: err.Error()}
	}
	return k, nil
}

// readKeptList reads the file of version 1.
func readKeptList(path string) (*Knowledge, error) {
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
	k := &Knowledge{At: warmstart.Timestamp{Clock: scheduler.Time(binary.BigEndian.Uint64(data))}, ListIs: listed.Version}
	for _, e := range listed.Entries {
		k.Entries = append(k.Entries, recordOfEntry(e))
	}
	return k, nil
}

// aged gives the entries of a kept list as they stand now. A machine whose age is not known counts as just started:
// it is then spared as a cold one.
func (k *Knowledge) aged(now warmstart.Timestamp) []protocol.MachineEntry {
	since := now.Since(k.At)
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

// known gathers what is to be kept.
func (h *Host) known(orderly bool) *Knowledge {
	k := &Knowledge{At: stamp(scheduler.Time(h.loop.Now())), Names: h.names(), Starts: map[scheduler.MachineID]uint64{},
		ListIs: h.list.held.version, AtAnOrder: orderly}
	for _, e := range h.list.held.entries {
		if m := h.machines[scheduler.MachineID(e.Machine)]; m != nil && m.startedAt > 0 {
			e.Age = protocol.Duration(scheduler.Time(h.loop.Now()) - m.startedAt)
		}
		k.Entries = append(k.Entries, recordOfEntry(e))
	}
	sort.Slice(k.Entries, func(i, j int) bool { return k.Entries[i].Machine < k.Entries[j].Machine })
	if d := h.custody.Limiter(); d != nil {
		known := d.Snapshot()
		k.Door = &known
	}
	if l, ok := h.decider.(learner); ok {
		k.Learned = l.Snapshot()
		for _, m := range k.Learned.Machines {
			if at := h.machines[m.Machine]; at != nil {
				k.Starts[m.Machine] = at.incarnation
			}
		}
	}
	return k
}

func (h *Host) names() []string {
	return append(append([]string{}, h.site.Workloads...), h.site.Customers...)
}

// write runs on a goroutine of its own: file work must not hold up the loop.
func (k *Knowledge) write(d vfs.FS) error {
	body, err := cbor.Marshal(k)
	if err != nil {
		return err
	}
	return wal.WriteChecksummed(d, KnowledgeName, KnowledgeSort, KnowledgeVersion, body)
}
