package simprotocol

import (
	"fmt"
	"strconv"
	"strings"

	"glenport/scheduler"
)

// settingsReader reads the pairs of a start-up message and keeps the first fault met.
type settingsReader struct {
	pairs map[string]string
	err   error
}

func (s *settingsReader) text(path string) string {
	v, ok := s.pairs[path]
	if !ok && s.err == nil {
		s.err = fmt.Errorf("setting %s is missing", path)
	}
	return v
}

func (s *settingsReader) number(path string) float64 { return s.parseNumber(path, s.text(path)) }

func (s *settingsReader) parseNumber(path, v string) float64 {
	f, err := parseNumber(v)
	if err != nil && s.err == nil {
		s.err = fmt.Errorf("setting %s: %w", path, err)
	}
	return f
}

// positiveNumber is a number above 0.
func (s *settingsReader) positiveNumber(path string) float64 {
	f := s.number(path)
	if f <= 0 && s.err == nil {
		s.err = fmt.Errorf("setting %s=%q is not above 0", path, s.pairs[path])
	}
	return f
}

func (s *settingsReader) count(path string) int {
	n, err := strconv.Atoi(s.text(path))
	if (err != nil || n < 0 || n > 10_000_000) && s.err == nil {
		s.err = fmt.Errorf("setting %s=%q is no count", path, s.pairs[path])
	}
	return n
}

func (s *settingsReader) duration(path string) scheduler.Time { return timeFromMillis(s.number(path)) }
func (s *settingsReader) boolean(path string) bool            { return s.enumIndex(path, "false", "true") == 1 }

// enumIndex returns which of the words stands there.
func (s *settingsReader) enumIndex(path string, words ...string) int {
	v := s.text(path)
	for i, w := range words {
		if v == w {
			return i
		}
	}
	if s.err == nil {
		s.err = fmt.Errorf("setting %s=%q is none of %s", path, v, strings.Join(words, ", "))
	}
	return 0
}

func (s *settingsReader) list(path string) []string {
	if v := s.text(path); v != "" && v != "-" {
		return strings.Split(v, ",")
	}
	return nil
}

func (s *settingsReader) numbers(path string, n int) []float64 {
	words := s.list(path)
	if len(words) != n && s.err == nil {
		s.err = fmt.Errorf("setting %s has %d values, not %d", path, len(words), n)
	}
	out := make([]float64, n)
	for i := 0; i < n && i < len(words); i++ {
		out[i] = s.parseNumber(path, words[i])
	}
	return out
}

// ParseSettings reads the pairs path=value of a start-up message.
func ParseSettings(seed uint64, fields []string) (scheduler.Config, error) {
	s := &settingsReader{pairs: make(map[string]string, len(fields))}
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
		MeanCores:          s.positiveNumber("family_info.unit_cores"),
		MeanMemory:         s.positiveNumber("family_info.unit_memory"),
		AcceptMeansRunning: s.enumIndex("family_info.yes_at", "accepted", "running") == 1,
		UsageReports:       s.boolean("family_info.use_notes"),
		ListTracksRequests: s.boolean("family_info.view"),
		ProbesAllowed:      s.boolean("permissions.probes"),
		MaxAttempts:        s.count("permissions.max_attempts"),
		AnswerGrace:        s.duration("rules.grace_to_answer_ms"),
		ListOnRequest:      s.enumIndex("registry_mode", "pushed", "on_request") == 1,
		SlowStartPeriod:    s.duration("rules.cold_ms"),
		SlowStartWindow:    s.duration("rules.overload_for_ms"),
		SlowStartBudget:    int(s.number("family_info.fresh_offers")),
	}
	if t.ListOnRequest {
		t.ResyncInterval = s.duration("rules.ask_every_ms")
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
	if n > len(fields) && s.err == nil {
		s.err = fmt.Errorf("setting classes.count=%d, with %d settings in all", n, len(fields))
	}
	if s.err != nil {
		return t, s.err
	}
	kinds, most := s.numbers("family_info.class_kind", n), s.numbers("family_info.class_most", n)
	spread := s.list("family_info.spread_over")
	if len(spread) != n && s.err == nil {
		s.err = fmt.Errorf("setting family_info.spread_over has %d values, not %d", len(spread), n)
	}
	places := map[string]scheduler.Scope{"silent": scheduler.ScopeNone, "machine": scheduler.ScopeMachine,
		"cell": scheduler.ScopeRackGroup, "zone": scheduler.ScopeZone}
	for i := 0; i < n && s.err == nil; i++ {
		at := fmt.Sprintf("classes.%d.", i)
		w := scheduler.WorkloadClass{
			Idempotency:      scheduler.Idempotency(s.enumIndex(at+"effect", "safe", "keyed", "unsafe")),
			LatencyObjective: s.duration(at + "aim_ms"),
			PlacementTimeout: s.duration(at + "deadline_ms"),
			PriorityWeight:   s.number(at + "credit"),
			MachineType:      int(kinds[i]),
			MaxPerScope:      int(most[i]),
		}
		if w.Idempotency == scheduler.IdempotentWithKey {
			w.DedupWindow = s.duration(at + "window_ms")
			w.DedupScope = []scheduler.Scope{scheduler.ScopeRackGroup, scheduler.ScopeZone, scheduler.ScopeFleet}[s.enumIndex(
				at+"group", "cell", "zone", "all")]
		}
		place, ok := places[spread[i]]
		if !ok {
			s.err = fmt.Errorf("setting family_info.spread_over: %q is no place", spread[i])
		}
		if w.SpreadScope = place; w.MachineType >= len(t.MachineTypes) {
			s.err = fmt.Errorf("setting family_info.class_kind: no kind %d", w.MachineType)
		}
		t.WorkloadClasses = append(t.WorkloadClasses, w)
	}
	if _, ok := s.pairs["tenants.count"]; ok {
		n := s.count("tenants.count")
		if n > len(fields) && s.err == nil {
			s.err = fmt.Errorf("setting tenants.count=%d, with %d settings in all", n, len(fields))
		}
		if s.err != nil {
			return t, s.err
		}
		if _, ok := s.pairs["family_info.quota_cores"]; ok {
			for _, cores := range s.numbers("family_info.quota_cores", n) {
				t.Tenants = append(t.Tenants, scheduler.Tenant{QuotaCores: cores})
			}
		}
	}
	return t, s.err
}
