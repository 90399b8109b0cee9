package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// The types of this file are stored: their tags, not the names of their fields, are the format of the file
// "knowledge". The records of the log are recovery.Held, recall.Sent and recall.Life.

// WarmStartSnapshot is what the file holds.
type WarmStartSnapshot struct {
	TakenAt         warmstart.Timestamp            `cbor:"At"`
	Names           []string                       `cbor:"Names"` // of workloads and customers, in the order of the terms
	Learned         scheduler.Snapshot             `cbor:"Learned"`
	Incarnations    map[scheduler.MachineID]uint64 `cbor:"Starts"`
	ListVersion     int64                          `cbor:"ListIs"` // version of the list
	Entries         []entryRecord                  `cbor:"Entries"`
	OrderlyShutdown bool                           `cbor:"AtAnOrder"` // written at an orderly end
	Overload        *overload.Snapshot             `cbor:"Door"`
}

// entryRecord is a stored link.Entry. In CBOR it is an array, so the order of the fields is part of the format; JSON is
// the form of the export.
type entryRecord struct {
	_           struct{}              `cbor:",toarray"`
	Machine     string                `json:"Machine"`
	Addr        string                `json:"Addr"`
	Zone        int                   `json:"Zone"`
	MachineType int                   `json:"Kind"`
	RackGroup   int                   `json:"Cell"`
	State       protocol.MachineState `json:"State"`
	FreeCores   float64               `json:"FreeCores"`
	FreeMemory  float64               `json:"FreeMemory"`
	PowerHint   float64               `json:"Hint"`
	Incarnation uint64                `json:"Incarnation"`
	Age         protocol.Duration     `json:"Age"` // when the snapshot was taken; below 0: not known
}

func recordOfEntry(e protocol.MachineEntry) entryRecord {
	return entryRecord{Machine: e.Machine, Addr: e.Address, Zone: e.Zone, MachineType: e.MachineType, RackGroup: e.RackGroup, State: e.State,
		FreeCores: e.FreeCores, FreeMemory: e.FreeMemory, PowerHint: e.PowerHint, Incarnation: e.Incarnation, Age: e.Age}
}

func (r entryRecord) entry() protocol.MachineEntry {
	return protocol.MachineEntry{Machine: r.Machine, Address: r.Addr, Zone: r.Zone, MachineType: r.MachineType, RackGroup: r.RackGroup, State: r.State,
		FreeCores: r.FreeCores, FreeMemory: r.FreeMemory, PowerHint: r.PowerHint, Incarnation: r.Incarnation, Age: r.Age}
}
