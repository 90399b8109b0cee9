package audit

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// location is where a machine is.
type location struct{ zone, rackGroup int }

// machineLocations has the machines' locations by scheduler and machine, as each scheduler last learned them. They
// outlast a scheduler's incarnations: it persists its machine list and goes by it after a restart until the list is
// heard again.
type machineLocations map[string]map[string]location

func (l machineLocations) update(schedulerName string, entry protocol.MachineEntry) {
	locations := l[schedulerName]
	if locations == nil {
		locations = map[string]location{}
		l[schedulerName] = locations
	}
	locations[entry.Machine] = location{entry.Zone, entry.RackGroup}
}

// sameScope reports whether two machines share a scope. A machine that no list of this scheduler named shares none.
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
