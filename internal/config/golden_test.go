package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

// schedulerValues lists every value of a scheduler's settings with the old spelling of its key.
func schedulerValues(s *Scheduler) []string {
	var lines []string
	add := func(key string, value any) { lines = append(lines, fmt.Sprintf("%s = %v", key, value)) }
	policy := s.Policy
	add("name", s.Name)
	add("number", policy.SchedulerIndex)
	add("placers", policy.SchedulerCount)
	add("seed", policy.Seed)
	add("door", s.ListenAddr)
	add("state", s.StateDir)
	add("keep", s.LegacyListFile)
	add("metrics", s.MetricsAddr)
	add("list.address", s.MachineListAddr)
	add("list.ask_within", int64(policy.ResyncInterval))
	add("links.connect_within", int64(s.ConnectTimeout))
	add("links.close_idle_after", int64(s.IdleTimeout))
	add("links.broken_when_silent_for", int64(s.SilenceTimeout))
	add("links.most_waiting_output", s.MaxOutput)
	add("bounds", s.Limits)
	add("bounds.narrow_when_slow", s.AdaptiveLimit)
	add("machines.kinds", s.MachineTypes)
	add("machines.kinds", policy.MachineTypes)
	add("machines.accept.cores", policy.CoresOvercommit)
	add("machines.accept.memory", policy.MemoryOvercommit)
	add("machines.mean_container.cores", policy.MeanCores)
	add("machines.mean_container.memory", policy.MeanMemory)
	add("machines.say_yes_when", policy.AcceptMeansRunning)
	add("machines.tell_use", policy.UsageReports)
	add("machines.list_tells_room", policy.ListTracksRequests)
	add("machines.may_be_probed", policy.ProbesAllowed)
	add("machines.cold_for", int64(policy.SlowStartPeriod))
	add("machines.cold_window", int64(policy.SlowStartWindow))
	add("machines.cold_bids", policy.SlowStartBudget)
	add("bids.most", policy.MaxAttempts)
	add("bids.answer_grace", int64(policy.AnswerGrace))
	for i, class := range policy.WorkloadClasses {
		add("workloads.name", s.WorkloadClasses[i])
		add("workloads", class)
	}
	for i, tenant := range policy.Tenants {
		add("customers.name", s.Tenants[i])
		add("customers.cores", tenant.QuotaCores)
	}
	add("over_share", policy.OverQuotaWeight)
	// The whole policy, including fields that no key sets.
	add("terms", policy)
	return append(lines, bgpValues(s.BGP)...)
}

func bgpValues(b *BGP) []string {
	if b == nil {
		return []string{"bgp = none"}
	}
	lines := []string{
		fmt.Sprintf("bgp.as = %v", b.ASN),
		fmt.Sprintf("bgp.identifier = %v", b.RouterID),
		fmt.Sprintf("bgp.listen = %v", b.ListenAddr),
	}
	for _, peer := range b.Peers {
		lines = append(lines, fmt.Sprintf("bgp.peers = %v", []any{
			peer.Addr, peer.ASN, int64(peer.HoldTime), int64(peer.RestartTime), peer.Passive,
			peer.Families, peer.Allow, peer.MD5Key,
		}))
	}
	var services []string
	for name, service := range b.Services {
		services = append(services, fmt.Sprintf("bgp.services %s = %v", name, service))
	}
	slices.Sort(services)
	return append(lines, services...)
}

func controllerValues(c *Controller) []string {
	return []string{
		fmt.Sprint("name = ", c.Name),
		fmt.Sprint("api = ", c.APIAddr),
		fmt.Sprint("doors = ", c.SchedulerAddrs),
		fmt.Sprint("list = ", c.MachineListAddr),
		fmt.Sprint("seed = ", c.Seed),
		fmt.Sprint("state = ", c.StateDir),
		fmt.Sprint("placer_file names ", c.Scheduler.Name),
	}
}

func TestValuesReadAreAsRecorded(t *testing.T) {
	var lines []string
	for _, path := range []string{"testdata/legacy/placer.yaml", "testdata/every-key.yaml"} {
		settings, err := LoadScheduler(path)
		testutil.NoError(t, err)
		lines = append(lines, schedulerValues(settings)...)
	}
	for _, path := range []string{"testdata/legacy/keeper.yaml", "testdata/controller.yaml"} {
		settings, err := LoadController(path)
		testutil.NoError(t, err)
		lines = append(lines, controllerValues(settings)...)
	}
	golden.Check(t, "testdata/values.txt", lines)
}

// replacements are the values that each value of a file is replaced by.
var replacements = []string{"bogus", "[1]", "0", "1.5", "2s", "0s", "4KiB", "0GiB", "192.0.2.1", "[bogus]"}

// replacementsByKey are further replacements for the value of one key.
var replacementsByKey = map[string][]string{
	"name":                {"small", "large", "matcher", "report-run", `""`, "~"},
	"number":              {"2", "3", "-1", "9999999999"},
	"door":                {"192.0.2.1:99999", "localhost:1", "127.0.0.1:1"},
	"connect_within":      {"187ms", "188ms", "9000h"},
	"most_waiting_output": {"63KiB", "64KiB"},
	"cores":               {"-2", "1e400", "nan"},
	"memory":              {"60", "60GB", "-1GiB"},
	"say_yes_when":        {"accepted", "yes"},
	"may_be_probed":       {"false", "yes"},
	"cold_window":         {"2s", "12parsecs"},
	"cold_bids":           {"0"},
	"effect":              {"reissuable", "numbered", "at-most-once"},
	"repeats_dropped_in":  {"zone", "everywhere", "machine"},
	"agreed_time":         {"20s", "2h", "1min"},
	"hard_stop":           {"100ms"},
	"kind":                {"small", "large"},
	"spread_over":         {"machine", "cell", "everywhere"},
	"over_share":          {"-0.1", "1", "1.1"},
	"as":                  {"1", "23456", "-1"},
	"identifier":          {"0.0.0.0", "2001:db8::1"},
	"hold":                {"1s", "2s", "3s", "1500ms", "65535s", "65536s"},
	"families":            {"[ipv6]", "[]", "[ipv5]"},
	"allow":               {"[192.0.2.1/24]", "[]", "[192.0.2.0/24]"},
	"tcp_md5_key":         {strings.Repeat("k", 80), strings.Repeat("k", 81)},
	"prefix":              {"192.0.2.1/24", "2001:db8::/32", "198.51.100.7/32"},
	"next_hop":            {"2001:db8::1", "localhost"},
	"api":                 {"localhost"},
	"placer_file":         {"absent.yaml", "keeper.yaml", "/absent.yaml"},
	"doors":               {"[localhost]", "[127.0.0.1:1]", "[]"},
}

// mutations calls visit with each file that differs from text in one line: the line is left out or doubled, its key is
// renamed or its value is replaced.
func mutations(text string, visit func(label, text string)) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, line := range lines {
		mutate := func(mutation string, replaced ...string) {
			changed := strings.Join(slices.Concat(lines[:i], replaced, lines[i+1:]), "\n") + "\n"
			visit(fmt.Sprintf("line %d %s", i+1, mutation), changed)
		}
		key, value, _ := strings.Cut(line, ": ")
		mutate("doubled", line, line)
		mutate("renamed", strings.TrimSuffix(key, ":")+"x: "+value)
		if value == "" { // without a section's line several keys are unknown, and the YAML package reports any of them
			continue
		}
		mutate("left out")
		name := strings.TrimLeft(key, " -")
		for _, replacement := range slices.Concat(replacements, replacementsByKey[name]) {
			mutate(replacement, key+": "+replacement)
		}
	}
}

// outcome returns the text of the error, or the number of values that differ from those of the unchanged file.
func outcome(label string, err error, values, unchanged []string) string {
	if err != nil {
		return label + ": " + strings.ReplaceAll(err.Error(), "\n", `\n`)
	}
	changed := 0
	for i := range values {
		if i >= len(unchanged) || values[i] != unchanged[i] {
			changed++
		}
	}
	return fmt.Sprintf("%s: read, %d values of %d differ", label, changed, len(values))
}

func TestFaultsOfSchedulerSettingsAreAsRecorded(t *testing.T) {
	data := testutil.ReadFile(t, "testdata/every-key.yaml")
	settings, err := ParseScheduler("placer.yaml", data)
	testutil.NoError(t, err)
	unchanged := schedulerValues(settings)
	var lines []string
	visit := func(label, text string) {
		var values []string
		settings, err := ParseScheduler("placer.yaml", []byte(text))
		if err == nil {
			values = schedulerValues(settings)
		}
		lines = append(lines, outcome(label, err, values, unchanged))
	}
	mutations(string(data), visit)
	sections := []string{"list", "links", "bounds", "machines", "bids", "workloads", "customers", "bgp"}
	for _, section := range sections { // without the section and everything below it
		before, rest, _ := strings.Cut(string(data), "\n"+section+":\n")
		after := strings.Split(rest, "\n")
		for len(after) > 0 && strings.HasPrefix(after[0], " ") {
			after = after[1:]
		}
		visit("without "+section, before+"\n"+strings.Join(after, "\n"))
	}
	visit("empty", "")
	visit("two documents", string(data)+"---\nname: x\n")
	samePrefix := strings.Replace(string(data), "2001:db8:1::7/128", "198.51.100.7/32", 1)
	visit("twice the prefix", strings.Replace(samePrefix, "2001:db8::5", "192.0.2.9", 1))
	visit("passive without listener", strings.Replace(string(data), "  listen: 127.0.0.1:1790\n", "", 1))
	visit("no machine types", strings.Replace(string(data), "  kinds:\n", "  kinds: []\n  other:\n", 1))
	golden.Check(t, "testdata/scheduler-faults.txt", lines)
}

func TestFaultsOfControllerSettingsAreAsRecorded(t *testing.T) {
	data := testutil.ReadFile(t, "testdata/controller.yaml")
	dir := t.TempDir()
	schedulerText := testutil.ReadFile(t, "testdata/every-key.yaml")
	testutil.WriteFile(t, filepath.Join(dir, "every-key.yaml"), schedulerText)
	path := filepath.Join(dir, "keeper.yaml")
	var lines, unchanged []string
	visit := func(label, text string) {
		testutil.WriteFile(t, path, []byte(text))
		var values []string
		settings, err := LoadController(path)
		if err == nil {
			values = controllerValues(settings)
		}
		if label == "unchanged" {
			unchanged = values
		}
		lines = append(lines, strings.ReplaceAll(outcome(label, err, values, unchanged), dir, "DIR"))
	}
	visit("unchanged", string(data))
	mutations(string(data), visit)
	visit("empty", "")
	golden.Check(t, "testdata/controller-faults.txt", lines)
	if _, err := LoadController(filepath.Join(dir, "absent.yaml")); !os.IsNotExist(err) {
		t.Errorf("missing file: %v", err)
	}
	if _, err := LoadScheduler(filepath.Join(dir, "absent.yaml")); !os.IsNotExist(err) {
		t.Errorf("missing file: %v", err)
	}
}
