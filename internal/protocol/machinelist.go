package protocol

import "fmt"

// MachineState is the state of a machine in the machine list.
type MachineState uint8

// The states.
const (
	MachineServing MachineState = iota
	MachineDraining
	MachineGone
	machineStateCount
)

var machineStateNames = []string{"serving", "draining", "gone"}

// String is the name of the state in docs/protocol.md.
func (s MachineState) String() string { return enumName(machineStateNames, int(s)) }

// FetchMachineList asks for the whole list. A MachineListUpdate or a MachineListError answers.
type FetchMachineList struct {
	_ struct{} `cbor:",toarray"`
}

// WatchMachineList subscribes to the changes after a version, or ends the subscription.
type WatchMachineList struct {
	_            struct{} `cbor:",toarray"`
	Enabled      bool     `cbor:"On"`
	SinceVersion int64    `cbor:"Since"`
}

// MachineListUpdate holds the whole list, or the entries that have changed.
type MachineListUpdate struct {
	_            struct{}       `cbor:",toarray"`
	FullSnapshot bool           `cbor:"Whole"`
	Version      int64          `cbor:"Version"`
	Entries      []MachineEntry `cbor:"Entries"`
}

// MachineEntry is one machine of the list.
type MachineEntry struct {
	_           struct{}     `cbor:",toarray"`
	Machine     string       `cbor:"Machine"`
	Address     string       `cbor:"Addr"` // may be empty for a machine that is gone
	Zone        int          `cbor:"Zone"`
	MachineType int          `cbor:"Kind"`
	RackGroup   int          `cbor:"Cell"`
	State       MachineState `cbor:"State"`
	FreeCores   float64      `cbor:"FreeCores"`
	FreeMemory  float64      `cbor:"FreeMemory"` // GiB
	PowerHint   float64      `cbor:"Hint"`
	Incarnation uint64       `cbor:"Incarnation"` // increases with each start of the machine
	Age         Duration     `cbor:"Age"`         // time since that start; negative: long ago
}

// MachineListError is sent instead of a MachineListUpdate if the list is not available.
type MachineListError struct {
	_       struct{} `cbor:",toarray"`
	Message string   `cbor:"Text"`
}

func (*FetchMachineList) kind() kind  { return kindFetchMachineList }
func (*WatchMachineList) kind() kind  { return kindWatchMachineList }
func (*MachineListUpdate) kind() kind { return kindMachineListUpdate }
func (*MachineListError) kind() kind  { return kindMachineListError }

func (f *WatchMachineList) validate() error {
	var v validator
	if f.SinceVersion < 0 {
		v.fail("version", "is below 0")
	}
	return v.err
}

func (f *MachineListUpdate) validate() error {
	for i := range f.Entries {
		var v validator
		f.Entries[i].validate(&v)
		if v.err != nil {
			return fmt.Errorf("entry %d: %w", i, v.err)
		}
	}
	return nil
}

func (e *MachineEntry) validate(v *validator) {
	v.name("machine", e.Machine)
	if e.State != MachineGone {
		v.name("address", e.Address)
	}
	v.count("zone", e.Zone)
	v.count("kind", e.MachineType)
	v.count("cell", e.RackGroup)
	v.enum("state", int(e.State), 0, int(machineStateCount))
	v.number("free cores", e.FreeCores)
	v.number("free memory", e.FreeMemory)
	v.number("hint", e.PowerHint)
	if e.Age > maxDuration {
		v.fail("age", "is out of range")
	}
}

func (*FetchMachineList) validate() error { return nil }
func (*MachineListError) validate() error { return nil }
