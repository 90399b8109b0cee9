package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
)

// machineRegistry owns the set of machines and what the machine list says of them. A machine is dropped once it is
// gone and nothing refers to it.
type machineRegistry struct {
	types          []machineTypeSize
	trafficClasses int // length of each machine's failure evidence
	slowStart      *slowStartLimiter
	actions        *actionBuffer

	byID    map[MachineID]*machine
	ordered []*machine // by ID: no decision may depend on the order of a map
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

// find returns nil for a machine that is not known.
func (r *machineRegistry) find(id MachineID) *machine { return r.byID[id] }

// all returns the machines ordered by ID. The slice is valid until a machine is added or evicted.
func (r *machineRegistry) all() []*machine { return r.ordered }

// findOrAdd also adds machines that no list has named yet.
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
	position, _ := slices.BinarySearchFunc(r.ordered, id, func(o *machine, id MachineID) int {
		return cmp.Compare(o.id, id)
	})
	r.ordered = slices.Insert(r.ordered, position, m)
	return m
}

// apply takes in an update of the machine list.
func (r *machineRegistry) apply(update MachineListUpdate, now Time) {
	if update.Mode == FullSnapshot || update.Mode == RestoredSnapshot {
		for _, m := range r.ordered {
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

// evictGone drops machines that are gone once nothing refers to them: no container, no exclusion, no send that would
// count if they came back in the same incarnation.
func (r *machineRegistry) evictGone(now Time) {
	r.ordered = slices.DeleteFunc(r.ordered, func(m *machine) bool {
		if m.listing.state != MachineGone || m.isReferenced() || len(r.slowStart.recentSends(m, now)) > 0 {
			return false
		}
		delete(r.byID, m.id)
		return true
	})
}
