package server

import (
	"maps"
	"slices"
	"strconv"

	"glenport/internal/controller/pending"
	"glenport/internal/protocol"
)

// machineTable holds the entries of the machine list and publishes them as machines.
type machineTable struct {
	publisher *publisher
	types     []string // names of the machine types, by their index in the machine list
	byID      map[string]protocol.MachineEntry
}

func newMachineTable(p *publisher, types []string) *machineTable {
	return &machineTable{publisher: p, types: types, byID: map[string]protocol.MachineEntry{}}
}

// apply applies an update of the machine list. A full snapshot removes all machines that it does not list.
func (t *machineTable) apply(update *protocol.MachineListUpdate) {
	listed := map[string]bool{} // by machine in the update: whether it still exists
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

// zones returns the zones of the machines, ordered by zone number.
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
		if number >= 0 { // below 0: machines without a zone
			zones = append(zones, *byNumber[number])
		}
	}
	return zones
}
