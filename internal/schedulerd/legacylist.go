package schedulerd

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"

	"glenport/internal/protocol"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// Layout of the legacy list: the clock, the length of the remaining data, and a frame without its length prefix.
const (
	legacyLengthOffset = 8
	legacyFrameOffset  = 12
)

var errLegacyList = errors.New("incomplete machine list")

// readLegacyList reads the machine list that version 1 stored in a separate file. It returns nil if there is no such
// file.
func readLegacyList(path string) (*WarmStartSnapshot, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read machine list: %w", err)
	}
	if len(data) <= legacyFrameOffset ||
		int(binary.BigEndian.Uint32(data[legacyLengthOffset:])) != len(data)-legacyFrameOffset {
		return nil, fmt.Errorf("%s: %w", path, errLegacyList)
	}
	frame, err := protocol.Decode(data[legacyFrameOffset:])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	list, ok := frame.(*protocol.MachineListUpdate)
	if !ok {
		return nil, fmt.Errorf("%s: %w: %s", path, errUnexpectedFrame, protocol.Name(frame))
	}
	snapshot := &WarmStartSnapshot{
		TakenAt:     warmstart.Timestamp{Clock: scheduler.Time(binary.BigEndian.Uint64(data))},
		ListVersion: list.Version,
	}
	for _, entry := range list.Entries {
		snapshot.Entries = append(snapshot.Entries, newEntryRecord(entry))
	}
	return snapshot, nil
}
