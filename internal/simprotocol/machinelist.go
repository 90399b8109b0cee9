package simprotocol

import (
	"errors"
	"io"
	"strconv"

	"glenport/scheduler"
)

var updateModes = map[string]scheduler.UpdateMode{
	"Partial":   scheduler.DeltaUpdate,
	"Complete":  scheduler.FullSnapshot,
	"Persisted": scheduler.RestoredSnapshot,
	"Error":     scheduler.UpdateFailed,
}

var machineStates = map[string]scheduler.MachineState{
	"SERVING":  scheduler.MachineServing,
	"DRAINING": scheduler.MachineDraining,
	"DELETED":  scheduler.MachineGone,
}

// decodeMachineList decodes the header of a machine list and its entries, one per line.
func (d *Decoder) decodeMachineList(header *fieldReader) error {
	number, count := header.wholeNumber(), header.wholeNumber()
	if err := header.finish(); err != nil {
		return err
	}
	if number >= len(d.machineLists) {
		return ErrListOutOfRange
	}
	var entries []scheduler.MachineEntry
	for len(entries) < count {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return &TruncatedError{Inside: "list"}
		}
		if err != nil {
			return err
		}
		f := newFieldReader(line)
		if f.text() != machineEntryLine {
			return &ShortListError{Want: count, Got: len(entries)}
		}
		entry := decodeMachineEntry(f)
		if err := f.finish(); err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	d.machineLists[number] = machineList{entries: entries, defined: true}
	return nil
}

func decodeMachineEntry(f *fieldReader) scheduler.MachineEntry {
	return scheduler.MachineEntry{
		Machine:     f.machineID(),
		Zone:        f.wholeNumber(),
		MachineType: f.wholeNumber(),
		RackGroup:   f.wholeNumber(),
		State:       enumValue(f, machineStates),
		FreeCores:   f.numberOrZero(),
		PowerHint:   f.numberOrZero(),
		FreeMemory:  f.numberOrZero(),
		StartedAt:   f.timeOrZero(),
	}
}

// decodeUpdate decodes an update of the machine list. The update refers to a list by number, unless it reports a failed
// poll.
func (d *Decoder) decodeUpdate(f *fieldReader) (scheduler.Event, error) {
	update := scheduler.MachineListUpdate{Mode: enumValue(f, updateModes), Version: int64(f.wholeNumber())}
	reference := f.text()
	if update.Mode == scheduler.UpdateFailed {
		return update, nil
	}
	number, err := strconv.Atoi(reference)
	if err != nil || number < 0 || number >= len(d.machineLists) || !d.machineLists[number].defined {
		return nil, &UnknownListError{Reference: reference}
	}
	update.Entries = d.machineLists[number].entries
	return update, nil
}
