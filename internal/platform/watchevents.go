package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"glenport/scheduler"
)

// This file encodes and decodes the messages between the discovery service and this process.

// watchEvent is one numbered change of the machine list.
type watchEvent struct {
	offset         int64
	offsetOnly     bool // the event only carries the offset of the last event
	fullSnapshot   bool // machines that the event does not name are gone
	version        int64
	machines       []machineUpdate
	invalidEntries []error // errors of the machine entries that were skipped
}

// machineUpdate is the update of one machine in an event.
type machineUpdate struct {
	entry scheduler.MachineEntry
	addr  string // empty if the machine is gone
}

var (
	errNegativeOffset = errors.New("offset is negative")
	errNoMachineID    = errors.New("host is missing")
)

var machineStates = map[string]scheduler.MachineState{
	"ready":    scheduler.MachineServing,
	"draining": scheduler.MachineDraining,
	"gone":     scheduler.MachineGone,
}

// wireEvent and wireMachine are the encodings of an event and a machine.
type (
	wireEvent struct {
		Offset   int64 `json:"offset"`
		Topology *struct {
			Version  int64         `json:"seq"`
			Full     bool          `json:"whole"`
			Machines []wireMachine `json:"hosts"`
		} `json:"topology"`
	}
	wireMachine struct {
		ID              string    `json:"host"`
		Addr            string    `json:"dial"`
		Zone            string    `json:"site"`
		Type            string    `json:"class"`
		State           string    `json:"health"`
		RackGroup       int       `json:"block"`
		PowerHint       float64   `json:"share"`
		StartedAtMillis float64   `json:"born_ms"`
		Free            []float64 `json:"free"` // cores, memory
	}
)

// watchRequest returns the line that requests the events after an offset.
func watchRequest(lastOffset int64) []byte { return fmt.Appendf(nil, "from %d\n", lastOffset) }

// decodeWatchEvent reads an event. Entries that do not fit the settings are skipped, and their errors are returned as
// invalidEntries, so that an invalid entry does not prevent the others from being applied.
func (config *Config) decodeWatchEvent(line []byte) (watchEvent, error) {
	var wire wireEvent
	if err := json.Unmarshal(line, &wire); err != nil {
		return watchEvent{}, err
	}
	if wire.Offset < 0 {
		return watchEvent{}, errNegativeOffset
	}
	if wire.Topology == nil {
		return watchEvent{offset: wire.Offset, offsetOnly: true}, nil
	}
	event := watchEvent{offset: wire.Offset, fullSnapshot: wire.Topology.Full, version: wire.Topology.Version}
	for i, machine := range wire.Topology.Machines {
		update, err := config.decodeMachineUpdate(machine)
		if err != nil {
			event.invalidEntries = append(event.invalidEntries, fmt.Errorf("hosts[%d]: %w", i, err))
			continue
		}
		event.machines = append(event.machines, update)
	}
	return event, nil
}

func (config *Config) decodeMachineUpdate(wire wireMachine) (machineUpdate, error) {
	entry := scheduler.MachineEntry{
		Machine:   scheduler.MachineID(wire.ID),
		RackGroup: wire.RackGroup,
		PowerHint: wire.PowerHint,
		StartedAt: scheduler.Time(math.Floor(wire.StartedAtMillis * float64(scheduler.Millisecond))),
	}
	if len(wire.Free) == 2 {
		entry.FreeCores, entry.FreeMemory = wire.Free[0], wire.Free[1]
	}
	if err := config.resolveMachine(&entry, wire); err != nil {
		return machineUpdate{}, err
	}
	return machineUpdate{entry: entry, addr: wire.Addr}, nil
}

// resolveMachine replaces the names of state, zone and machine type by their indexes. Zone and type of a machine that
// is gone do not matter. If the settings name no zones or no machine types, there is one of each.
func (config *Config) resolveMachine(entry *scheduler.MachineEntry, wire wireMachine) error {
	state, ok := machineStates[wire.State]
	if !ok {
		return fmt.Errorf("health %q is not known", wire.State)
	}
	if wire.ID == "" {
		return errNoMachineID
	}
	zone, machineType := indexOrSingle(config.zones, wire.Zone), indexOrSingle(config.machineTypes, wire.Type)
	entry.State, entry.Zone, entry.MachineType = state, max(zone, 0), max(machineType, 0)
	if state == scheduler.MachineGone {
		return nil
	}
	if _, err := netip.ParseAddrPort(wire.Addr); err != nil {
		return &invalidFieldError{"dial", err}
	}
	if zone < 0 || machineType < 0 {
		return fmt.Errorf("site %q or class %q is not known", wire.Zone, wire.Type)
	}
	return nil
}

// indexOrSingle is the index of a name: -1 if it is unknown, and 0 if there are no names.
func indexOrSingle(names []string, name string) int {
	if len(names) == 0 {
		return 0
	}
	return slices.Index(names, name)
}
