package simprotocol

import (
	"fmt"

	"glenport/scheduler"
)

// The keywords of settings, in the order in which error texts list them.
var (
	acceptStages  = []keyword[bool]{{"accepted", false}, {"running", true}}
	listModes     = []keyword[bool]{{"pushed", false}, {"on_request", true}}
	idempotencies = []keyword[scheduler.Idempotency]{
		{"safe", scheduler.Idempotent},
		{"keyed", scheduler.IdempotentWithKey},
		{"unsafe", scheduler.AtMostOnce},
	}
	dedupScopes = []keyword[scheduler.Scope]{
		{"cell", scheduler.ScopeRackGroup},
		{"zone", scheduler.ScopeZone},
		{"all", scheduler.ScopeFleet},
	}
)

var spreadScopes = map[string]scheduler.Scope{
	"silent":  scheduler.ScopeNone,
	"machine": scheduler.ScopeMachine,
	"cell":    scheduler.ScopeRackGroup,
	"zone":    scheduler.ScopeZone,
}

// ParseSettings decodes the path=value pairs of a start message. Errors are of type *SettingError or *PairError. If a
// path is repeated, the last value is used. Unknown paths are ignored.
func ParseSettings(seed uint64, pairs []string) (scheduler.Config, error) {
	s, err := newSettingsReader(pairs)
	if err != nil {
		return scheduler.Config{}, err
	}
	config := s.generalConfig(seed)
	config.MachineTypes = s.machineTypes()
	classCount := s.itemCount("classes.count")
	if s.err != nil {
		return scheduler.Config{}, s.err
	}
	config.WorkloadClasses = s.workloadClasses(classCount, len(config.MachineTypes))
	config.Tenants = s.tenants()
	if s.err != nil {
		return scheduler.Config{}, s.err
	}
	return config, nil
}

// generalConfig reads the settings with a single value.
func (s *settingsReader) generalConfig(seed uint64) scheduler.Config {
	config := scheduler.Config{
		Seed:               seed,
		SchedulerIndex:     s.count("me"),
		SchedulerCount:     s.count("balancers"),
		CoresOvercommit:    s.number("family_info.admit_cores"),
		MemoryOvercommit:   s.number("family_info.mem_booking"),
		MeanCores:          s.positiveNumber("family_info.unit_cores"),
		MeanMemory:         s.positiveNumber("family_info.unit_memory"),
		AcceptMeansRunning: settingValue(s, "family_info.yes_at", acceptStages),
		UsageReports:       s.boolean("family_info.use_notes"),
		ListTracksRequests: s.boolean("family_info.view"),
		ProbesAllowed:      s.boolean("permissions.probes"),
		MaxAttempts:        s.count("permissions.max_attempts"),
		AnswerGrace:        s.duration("rules.grace_to_answer_ms"),
		ListOnRequest:      settingValue(s, "registry_mode", listModes),
		SlowStartPeriod:    s.duration("rules.cold_ms"),
		SlowStartWindow:    s.duration("rules.overload_for_ms"),
		SlowStartBudget:    int(s.number("family_info.fresh_offers")),
	}
	if config.ListOnRequest {
		config.ResyncInterval = s.duration("rules.ask_every_ms")
	}
	if s.has("over_share_worth") {
		config.OverQuotaWeight = s.number("over_share_worth")
	}
	return config
}

func (s *settingsReader) machineTypes() []scheduler.MachineType {
	count := len(s.list("family_info.cpu_of_kind"))
	memory := s.numbers("family_info.kind_memory", count)
	cores := s.numbers("family_info.cpu_of_kind", count)
	var types []scheduler.MachineType
	for i := range count {
		types = append(types, scheduler.MachineType{Cores: cores[i], Memory: memory[i]})
	}
	return types
}

// workloadClasses reads count workload classes. It stops after the first class with an error.
func (s *settingsReader) workloadClasses(count, machineTypes int) []scheduler.WorkloadClass {
	typeOfClass := s.numbers("family_info.class_kind", count)
	maxPerScope := s.numbers("family_info.class_most", count)
	spreadOfClass := s.listOfLength("family_info.spread_over", count)
	var classes []scheduler.WorkloadClass
	for i := 0; i < count && s.err == nil; i++ {
		class := s.workloadClass(fmt.Sprintf("classes.%d.", i))
		class.MachineType = int(typeOfClass[i])
		class.MaxPerScope = int(maxPerScope[i])
		scope, known := spreadScopes[spreadOfClass[i]]
		class.SpreadScope = scope
		// The next two errors replace any other error of the class.
		if !known {
			s.err = &SettingError{
				Setting: "family_info.spread_over",
				Problem: fmt.Sprintf(": %q is no place", spreadOfClass[i]),
			}
		}
		if class.MachineType >= machineTypes {
			s.err = &SettingError{
				Setting: "family_info.class_kind",
				Problem: fmt.Sprintf(": no kind %d", class.MachineType),
			}
		}
		classes = append(classes, class)
	}
	return classes
}

// workloadClass reads the settings of a single class. The settings begin with path, which ends in a dot.
func (s *settingsReader) workloadClass(path string) scheduler.WorkloadClass {
	class := scheduler.WorkloadClass{
		Idempotency:      settingValue(s, path+"effect", idempotencies),
		LatencyObjective: s.duration(path + "aim_ms"),
		PlacementTimeout: s.duration(path + "deadline_ms"),
		PriorityWeight:   s.number(path + "credit"),
	}
	if class.Idempotency == scheduler.IdempotentWithKey {
		class.DedupWindow = s.duration(path + "window_ms")
		class.DedupScope = settingValue(s, path+"group", dedupScopes)
	}
	return class
}

// tenants reads the quotas of the tenants. Without quotas, the scheduler is configured without tenants.
func (s *settingsReader) tenants() []scheduler.Tenant {
	if !s.has("tenants.count") {
		return nil
	}
	count := s.itemCount("tenants.count")
	if s.err != nil || !s.has("family_info.quota_cores") {
		return nil
	}
	var tenants []scheduler.Tenant
	for _, cores := range s.numbers("family_info.quota_cores", count) {
		tenants = append(tenants, scheduler.Tenant{QuotaCores: cores})
	}
	return tenants
}
