package config

import (
	"fmt"
	"slices"

	"glenport/internal/config/strictyaml"
	"glenport/scheduler"
)

// workloadClasses adds the workload classes to the settings. The parameter typeIndex holds the indices of the machine
// types by name.
func (v *validator) workloadClasses(entries []workloadClassEntry, typeIndex map[string]int, s *Scheduler) {
	for i := range entries {
		entry, path := &entries[i], fmt.Sprintf("workload_classes[%d]", i)
		v.required(path, *entry)
		if v.err != nil {
			return
		}
		class := v.workloadClass(path, entry, typeIndex)
		if slices.Contains(s.WorkloadClasses, entry.Name.Value) {
			v.fail(entry.Name.Position, "workload class %q is defined twice", entry.Name.Value)
		}
		s.WorkloadClasses = append(s.WorkloadClasses, entry.Name.Value)
		s.Policy.WorkloadClasses = append(s.Policy.WorkloadClasses, class)
	}
	if len(entries) == 0 {
		v.record(v.file.MissingKey("", "workload_classes"))
	}
}

func (v *validator) workloadClass(
	path string, entry *workloadClassEntry, typeIndex map[string]int,
) scheduler.WorkloadClass {
	class := scheduler.WorkloadClass{
		LatencyObjective: v.positiveDuration(entry.LatencyObjective),
		PlacementTimeout: v.positiveDuration(entry.PlacementTimeout),
		MachineType:      -1, // any
		PriorityWeight:   v.positive(entry.PriorityWeight),
	}
	if class.LatencyObjective > class.PlacementTimeout {
		v.fail(entry.LatencyObjective.Position, "%s is longer than %s",
			v.keyName(path+".latency_objective"), v.keyName(path+".placement_timeout"))
	}
	v.idempotency(path, entry, &class)
	if entry.MachineType.IsSet() {
		index, ok := typeIndex[entry.MachineType.Value]
		if !ok {
			v.fail(entry.MachineType.Position, "there is no machine type %q", entry.MachineType.Value)
		}
		class.MachineType = index
	}
	v.spread(path, entry, &class)
	return class
}

// idempotency sets the idempotency of a class. The deduplication scope and window are required with IdempotentWithKey
// and not allowed otherwise.
func (v *validator) idempotency(path string, entry *workloadClassEntry, class *scheduler.WorkloadClass) {
	levels := []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce}
	class.Idempotency = levels[v.oneOf(entry.Idempotency, "idempotent", "idempotent-with-key", "at-most-once")]
	if class.Idempotency != scheduler.IdempotentWithKey {
		if entry.DedupScope.IsSet() || entry.DedupWindow.IsSet() {
			v.fail(firstSet(entry.DedupScope.Position, entry.DedupWindow.Position), "%s and %s need %s: %s",
				v.keyName(path+".dedup_scope"), v.keyName(path+".dedup_window"), v.keyName(path+".idempotency"),
				v.file.ValueName(path+".idempotency", "idempotent-with-key"))
		}
		return
	}
	if !entry.DedupScope.IsSet() {
		v.record(v.file.MissingKey(path, "dedup_scope"))
	}
	if !entry.DedupWindow.IsSet() {
		v.record(v.file.MissingKey(path, "dedup_window"))
	}
	scopes := []scheduler.Scope{scheduler.ScopeRackGroup, scheduler.ScopeZone, scheduler.ScopeFleet}
	class.DedupScope = scopes[v.oneOf(entry.DedupScope, "rack-group", "zone", "fleet")]
	class.DedupWindow = duration(entry.DedupWindow)
}

// spread sets the maximum number of containers of a service in one failure domain.
func (v *validator) spread(path string, entry *workloadClassEntry, class *scheduler.WorkloadClass) {
	if !entry.SpreadScope.IsSet() {
		if entry.MaxPerScope.IsSet() {
			v.fail(entry.MaxPerScope.Position, "%s needs %s",
				v.keyName(path+".max_per_scope"), v.keyName(path+".spread_scope"))
		}
		return
	}
	scopes := []scheduler.Scope{scheduler.ScopeMachine, scheduler.ScopeRackGroup, scheduler.ScopeZone}
	class.SpreadScope = scopes[v.oneOf(entry.SpreadScope, "machine", "rack-group", "zone")]
	if !entry.MaxPerScope.IsSet() {
		v.record(v.file.MissingKey(path, "max_per_scope"))
	}
	class.MaxPerScope = v.positiveCount(entry.MaxPerScope)
}

// firstSet returns a if it is the position of a value in the file, and b otherwise.
func firstSet(a, b strictyaml.Position) strictyaml.Position {
	if a.IsSet() {
		return a
	}
	return b
}
