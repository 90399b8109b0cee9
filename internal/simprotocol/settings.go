package simprotocol

import (
	"fmt"
	"strconv"
	"strings"

	"glenport/scheduler"
)

// startup reads the pairs of a start-up message and keeps the first fault met.
type startup struct {
	pairs map[string]string
	fault error
}

func (s *startup) text(path string) string {
	v, ok := s.pairs[path]
	if !ok && s.fault == nil {
		s.fault = fmt.Errorf("setting %s is missing", path)
	}
	return v
}

func (s *startup) number(path string) float64 { return s.parse(path, s.text(path)) }

func (s *startup) parse(path, v string) float64 {
	f, err := parseNumber(v)
	if err != nil && s.fault == nil {
		s.fault = fmt.Errorf("setting %s: %w", path, err)
	}
	return f
}

// size is a number above 0.
func (s *startup) size(path string) float64 {
	f := s.number(path)
	if f <= 0 && s.fault == nil {
		s.fault = fmt.Errorf("setting %s=%q is not above 0", path, s.pairs[path])
	}
	return f
}

func (s *startup) count(path string) int {
	n, err := strconv.Atoi(s.text(path))
	if (err != nil || n < 0 || n > 10_000_000) && s.fault == nil {
		s.fault = fmt.Errorf("setting %s=%q is no count", path, s.pairs[path])
	}
	return n
}

func (s *startup) span(path string) scheduler.Time { return tenths(s.number(path)) }
func (s *startup) flag(path string) bool           { return s.choice(path, "false", "true") == 1 }

// choice returns which of the words stands there.
func (s *startup) choice(path string, words ...string) int {
	v := s.text(path)
	for i, w := range words {
		if v == w {
			return i
		}
	}
	if s.fault == nil {
		s.fault = fmt.Errorf("setting %s=%q is none of %s", path, v, strings.Join(words, ", "))
	}
	return 0
}

func (s *startup) list(path string) []string {
	if v := s.text(path); v != "" && v != "-" {
		return strings.Split(v, ",")
	}
	return nil
}

func (s *startup) numbers(path string, n int) []float64 {
	words := s.list(path)
	if len(words) != n && s.fault == nil {
		s.fault = fmt.Errorf("setting %s has %d values, not %d", path, len(words), n)
	}
	out := make([]float64, n)
	for i := 0; i < n && i < len(words); i++ {
		out[i] = s.parse(path, words[i])
	}
	return out
}

// ParseTerms reads the pairs path=value of a start-up message.
func ParseTerms(seed uint64, fields []string) (scheduler.Config, error) {
	s := &startup{pairs: make(map[string]string, len(fields))}
	for _, f := range fields {
		k, v, ok := strings.Cut(f, "=")
		if !ok {
			return scheduler.Config{}, fmt.Errorf("setting %q has no value", f)
		}
		s.pairs[k] = v
	}
	t := scheduler.Config{
		Seed:               seed,
		SchedulerIndex:     s.count("me"),
		SchedulerCount:     s.count("balancers"),
		CoresOvercommit:    s.number("family_info.admit_cores"),
		MemoryOvercommit:   s.number("family_info.mem_booking"),
		MeanCores:          s.size("family_info.unit_cores"),
		MeanMemory:         s.size("family_info.unit_memory"),
		AcceptMeansRunning: s.choice("family_info.yes_at", "accepted", "running") == 1,
		UsageReports:       s.flag("family_info.use_notes"),
		ListTracksRequests: s.flag("family_info.view"),
		ProbesAllowed:      s.flag("permissions.probes"),
		MaxAttempts:        s.count("permissions.max_attempts"),
		AnswerGrace:        s.span("rules.grace_to_answer_ms"),
		ListOnRequest:      s.choice("registry_mode", "pushed", "on_request") == 1,
		SlowStartPeriod:    s.span("rules.cold_ms"),
		SlowStartWindow:    s.span("rules.overload_for_ms"),
		SlowStartBudget:    int(s.number("family_info.fresh_offers")),
	}
	if t.ListOnRequest {
		t.ResyncInterval = s.span("rules.ask_every_ms")
	}
	if _, ok := s.pairs["over_share_worth"]; ok {
		t.OverQuotaWeight = s.number("over_share_worth")
	}
	cores := s.list("family_info.cpu_of_kind")
	memory := s.numbers("family_info.kind_memory", len(cores))
	for i, c := range s.numbers("family_info.cpu_of_kind", len(cores)) {
		t.MachineTypes = append(t.MachineTypes, scheduler.MachineType{Cores: c, Memory: memory[i]})
	}
	n := s.count("classes.count")
	if n > len(fields) && s.fault == nil {
		s.fault = fmt.Errorf("setting classes.count=%d, with %d settings in all", n, len(fields))
	}
	if s.fault != nil {
		return t, s.fault
	}
	kinds, most := s.numbers("family_info.class_kind", n), s.numbers("family_info.class_most", n)
	spread := s.list("family_info.spread_over")
	if len(spread) != n && s.fault == nil {
		s.fault = fmt.Errorf("setting family_info.spread_over has %d values, not %d", len(spread), n)
	}
	places := map[string]scheduler.Scope{"silent": scheduler.ScopeNone, "machine": scheduler.ScopeMachine,
		"cell": scheduler.ScopeRackGroup, "zone": scheduler.ScopeZone}
	for i := 0; i < n && s.fault == nil; i++ {
		at := fmt.Sprintf("classes.%d.", i)
		w := scheduler.WorkloadClass{
			Idempotency:      scheduler.Idempotency(s.choice(at+"effect", "safe", "keyed", "unsafe")),
			LatencyObjective: s.span(at + "aim_ms"),
			PlacementTimeout: s.span(at + "deadline_ms"),
			PriorityWeight:   s.number(at + "credit"),
			MachineType:      int(kinds[i]),
			MaxPerScope:      int(most[i]),
		}
		if w.Idempotency == scheduler.IdempotentWithKey {
			w.DedupWindow = s.span(at + "window_ms")
			w.DedupScope = []scheduler.Scope{scheduler.ScopeRackGroup, scheduler.ScopeZone, scheduler.ScopeFleet}[s.choice(
				at+"group", "cell", "zone", "all")]
		}
		place, ok := places[spread[i]]
		if !ok {
			s.fault = fmt.Errorf("setting family_info.spread_over: %q is no place", spread[i])
		}
		if w.SpreadScope = place; w.MachineType >= len(t.MachineTypes) {
			s.fault = fmt.Errorf("setting family_info.class_kind: no kind %d", w.MachineType)
		}
		t.WorkloadClasses = append(t.WorkloadClasses, w)
	}
	if _, ok := s.pairs["tenants.count"]; ok {
		n := s.count("tenants.count")
		if n > len(fields) && s.fault == nil {
			s.fault = fmt.Errorf("setting tenants.count=%d, with %d settings in all", n, len(fields))
		}
		if s.fault != nil {
			return t, s.fault
		}
		if _, ok := s.pairs["family_info.quota_cores"]; ok {
			for _, cores := range s.numbers("family_info.quota_cores", n) {
				t.Tenants = append(t.Tenants, scheduler.Tenant{QuotaCores: cores})
			}
		}
	}
	return t, s.fault
}
