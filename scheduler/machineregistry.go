package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
)

// machineRegistry owns the set of machines and their entries in the machine list. A machine is evicted once it is gone
// and no longer referenced.
type machineRegistry struct {
	types          []machineTypeSize
	trafficClasses int // length of each machine's failure evidence
	slowStart      *slowStartLimiter
	actions        *actionBuffer

	byID           map[MachineID]*machine
	sortedMachines []*machine // by ID, because no decision may depend on the iteration order of a map
}

// machineTypeSize is the size of a machine type, and its capacity in containers of mean size.
type machineTypeSize struct {
	total    resources
	capacity float64
}

func newMachineRegistry(config *Config, slowStart *slowStartLimiter, actions *actionBuffer) *machineRegistry {
	types := make([]machineTypeSize, len(config.MachineTypes))
	for i, t := range config.MachineTypes {
		types[i] = machineTypeSize{
			total:    resources{cores: t.Cores, memory: t.Memory},
			capacity: min(t.Cores/config.MeanCores, t.Memory/config.MeanMemory),
		}
	}
	return &machineRegistry{
		types:          types,
		trafficClasses: trafficClassCount(config),
		slowStart:      slowStart,
		actions:        actions,
		byID:           map[MachineID]*machine{},
	}
}

// find returns the machine, or nil if it is unknown.
func (r *machineRegistry) find(id MachineID) *machine { return r.byID[id] }

// all returns the machines ordered by ID. The slice is valid until a machine is added or evicted.
func (r *machineRegistry) all() []*machine { return r.sortedMachines }

// findOrAdd returns the machine. It adds the machine if it is unknown, even if it is not in the machine list yet.
func (r *machineRegistry) findOrAdd(id MachineID) *machine {
	if m := r.byID[id]; m != nil {
		return m
	}
	m := &machine{
		id:       id,
		hash:     hash(string(id)),
		listing:  listing{state: MachineGone},
		outlier:  newOutlierRecord(),
		evidence: newClassEvidence(r.trafficClasses),
	}
	r.byID[id] = m
	position, _ := slices.BinarySearchFunc(r.sortedMachines, id, func(o *machine, id MachineID) int {
		return cmp.Compare(o.id, id)
	})
	r.sortedMachines = slices.Insert(r.sortedMachines, position, m)
	return m
}

// apply applies an update of the machine list.
func (r *machineRegistry) apply(update MachineListUpdate, now Time) {
	if update.Mode == FullSnapshot || update.Mode == RestoredSnapshot {
		for _, m := range r.sortedMachines {
			m.listing.state = MachineGone
		}
	}
	for _, entry := range update.Entries {
		r.applyEntry(entry)
	}
	r.evictGone(now)
}

func (r *machineRegistry) applyEntry(entry MachineEntry) {
	m := r.findOrAdd(entry.Machine)
	if entry.MachineType >= len(r.types) {
		r.actions.logMachine("machine of unknown type is not used", m, slog.Int("machine_type", entry.MachineType))
		m.listing.state = MachineGone
		return
	}
	if !m.listing.known || m.listing.startedAt != entry.StartedAt {
		m.beginIncarnation(entry.StartedAt, r.slowStart.transitTime())
	}
	size := r.types[entry.MachineType]
	m.listing = listing{
		known:       true,
		zone:        entry.Zone,
		rackGroup:   entry.RackGroup,
		machineType: entry.MachineType,
		state:       entry.State,
		startedAt:   entry.StartedAt,
		capacity:    size.capacity,
		requested: resources{
			cores:  size.total.cores - entry.FreeCores,
			memory: size.total.memory - entry.FreeMemory,
		},
	}
}

// evictGone removes the machines that are gone and no longer referenced: by a container, by an exclusion, or by a
// recent send, which would count if the machine came back in the same incarnation.
func (r *machineRegistry) evictGone(now Time) {
	r.sortedMachines = slices.DeleteFunc(r.sortedMachines, func(m *machine) bool {
		if m.listing.state != MachineGone || m.isReferenced() || len(r.slowStart.recentSends(m, now)) > 0 {
			return false
		}
		delete(r.byID, m.id)
		return true
	})
}
