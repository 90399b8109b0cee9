package server

import (
	"maps"
	"slices"
	"strconv"

	"glenport/internal/controller/pending"
	"glenport/internal/protocol"
)

// machineTable holds the machines as the machine list has them, and publishes them.
type machineTable struct {
	publisher *publisher
	types     []string // the names of machine types, by their numbers in the list
	byID      map[string]protocol.MachineEntry
}

func newMachineTable(p *publisher, types []string) *machineTable {
	return &machineTable{publisher: p, types: types, byID: map[string]protocol.MachineEntry{}}
}

// apply adopts an update of the machine list. In a full snapshot, machines that are not named are gone.
func (t *machineTable) apply(update *protocol.MachineListUpdate) {
	listed := map[string]bool{} // by machine that the update names: whether it still exists
	for _, entry := range update.Entries {
		listed[entry.Machine] = entry.State != protocol.MachineGone
		if entry.State != protocol.MachineGone {
			t.byID[entry.Machine] = entry
			t.publisher.put(KindMachines, entry.Machine, t.object(entry))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		exists, named := listed[id]
		if !exists && (named || update.FullSnapshot) {
			delete(t.byID, id)
			t.publisher.delete(KindMachines, id, Machine{ID: id})
		}
	}
}

func (t *machineTable) object(entry protocol.MachineEntry) Machine {
	m := Machine{
		ID: entry.Machine, Zone: entry.Zone, State: entry.State.String(), FreeCores: entry.FreeCores,
		FreeMemoryGiB: entry.FreeMemory, Incarnation: entry.Incarnation,
	}
	if entry.MachineType < len(t.types) {
		m.MachineType = t.types[entry.MachineType]
	}
	return m
}

// zones returns the zones of the machines in the order of their numbers.
func (t *machineTable) zones() []pending.Zone {
	byNumber := map[int]*pending.Zone{}
	for _, m := range t.byID {
		zone := byNumber[m.Zone]
		if zone == nil {
			zone = &pending.Zone{Name: strconv.Itoa(m.Zone)}
			byNumber[m.Zone] = zone
		}
		zone.Machines++
		if m.State == protocol.MachineDraining {
			zone.Draining++
		}
	}
	var zones []pending.Zone
	for _, number := range slices.Sorted(maps.Keys(byNumber)) {
		if number >= 0 { // below 0: of no zone
			zones = append(zones, *byNumber[number])
		}
	}
	return zones
}
