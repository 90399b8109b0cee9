package audit

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// location is the zone and the rack group of a machine.
type location struct{ zone, rackGroup int }

// machineLocations holds the location that each scheduler last received for each machine, by scheduler and machine
// name. Locations are kept when a scheduler restarts: the scheduler restores its persisted machine list and uses the
// list until the next update arrives.
type machineLocations map[string]map[string]location

func (l machineLocations) update(schedulerName string, entry protocol.MachineEntry) {
	locations := l[schedulerName]
	if locations == nil {
		locations = map[string]location{}
		l[schedulerName] = locations
	}
	locations[entry.Machine] = location{entry.Zone, entry.RackGroup}
}

// sameScope reports whether two machines share a scope. A machine that this scheduler's machine list has never named
// shares a scope with no other machine.
func (l machineLocations) sameScope(s *schedulerState, a, b string, scope scheduler.Scope) bool {
	if scope == scheduler.ScopeFleet || a == b {
		return true
	}
	locationA, knownA := l[s.name][a]
	locationB, knownB := l[s.name][b]
	if !knownA || !knownB {
		return false
	}
	switch scope {
	case scheduler.ScopeZone:
		return locationA.zone == locationB.zone
	case scheduler.ScopeRackGroup:
		return locationA.rackGroup == locationB.rackGroup
	default:
		return false
	}
}
