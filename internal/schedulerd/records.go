package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// The types of this file define the format of WarmStartFile by their tags, not by the names of their fields. The
// records of the log are recovery.Attempt, warmstart.SlowStartSends and warmstart.LogHistory.

// WarmStartSnapshot is the state for the next incarnation that the log does not hold.
type WarmStartSnapshot struct {
	TakenAt         warmstart.Timestamp            `cbor:"At"`
	ClassNames      []string                       `cbor:"Names"` // result of process.classNames
	Learned         scheduler.Snapshot             `cbor:"Learned"`
	Incarnations    map[scheduler.MachineID]uint64 `cbor:"Starts"`    // incarnations of the machines in Learned
	ListVersion     int64                          `cbor:"ListIs"`    // version of the list in Entries
	Entries         []entryRecord                  `cbor:"Entries"`   // the machine list, ordered by machine
	OrderlyShutdown bool                           `cbor:"AtAnOrder"` // taken at the shutdown of the server
	Overload        *overload.Snapshot             `cbor:"Door"`      // nil if there is no concurrency limit
}

// entryRecord is a stored protocol.MachineEntry. CBOR encodes it as an array, so that the order of the fields is part
// of the format. The JSON names are the names in the export.
type entryRecord struct {
	_           struct{}              `cbor:",toarray"`
	Machine     string                `                json:"Machine"`
	Address     string                `                json:"Addr"`
	Zone        int                   `                json:"Zone"`
	MachineType int                   `                json:"Kind"`
	RackGroup   int                   `                json:"Cell"`
	State       protocol.MachineState `                json:"State"`
	FreeCores   float64               `                json:"FreeCores"`
	FreeMemory  float64               `                json:"FreeMemory"`
	PowerHint   float64               `                json:"Hint"`
	Incarnation uint64                `                json:"Incarnation"`
	Age         protocol.Duration     `                json:"Age"` // at the time of the snapshot; negative: long ago
}

func newEntryRecord(e protocol.MachineEntry) entryRecord {
	return entryRecord{
		Machine:     e.Machine,
		Address:     e.Address,
		Zone:        e.Zone,
		MachineType: e.MachineType,
		RackGroup:   e.RackGroup,
		State:       e.State,
		FreeCores:   e.FreeCores,
		FreeMemory:  e.FreeMemory,
		PowerHint:   e.PowerHint,
		Incarnation: e.Incarnation,
		Age:         e.Age,
	}
}

func (r entryRecord) entry() protocol.MachineEntry {
	return protocol.MachineEntry{
		Machine:     r.Machine,
		Address:     r.Address,
		Zone:        r.Zone,
		MachineType: r.MachineType,
		RackGroup:   r.RackGroup,
		State:       r.State,
		FreeCores:   r.FreeCores,
		FreeMemory:  r.FreeMemory,
		PowerHint:   r.PowerHint,
		Incarnation: r.Incarnation,
		Age:         r.Age,
	}
}
