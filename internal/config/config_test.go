package config

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/config/strictyaml"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

const sampleDir = "../../deploy"

func readFile(t *testing.T, path string) string {
	t.Helper()
	data := testutil.ReadFile(t, path)
	return string(data)
}

// legacySample returns the sample settings file of a scheduler with the old keys.
func legacySample(t *testing.T) string {
	t.Helper()
	return readFile(t, "testdata/legacy/placer.yaml")
}

// errorCase is a replacement in a file and a part of the expected error.
type errorCase struct{ name, old, new, want string }

// checkErrors applies each change to a scheduler's file and checks the error of parsing it.
func checkErrors(t *testing.T, file, text string, cases []errorCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			changed := strings.Replace(text, tc.old, tc.new, 1)
			testutil.Require(t, changed != text, "the replaced text is not in the file")
			if _, err := ParseScheduler(file, []byte(changed)); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
}

func TestSampleFileIsReadAsWritten(t *testing.T) {
	s, err := ParseScheduler("placer.yaml", []byte(legacySample(t)))
	testutil.NoError(t, err)
	want := scheduler.WorkloadClass{
		Idempotency:      scheduler.IdempotentWithKey,
		DedupScope:       scheduler.ScopeZone,
		DedupWindow:      8 * scheduler.Second,
		LatencyObjective: 700 * scheduler.Millisecond,
		PlacementTimeout: 6 * scheduler.Second,
		MachineType:      -1,
		PriorityWeight:   2,
	}
	testutil.Equal(t, s.Policy.WorkloadClasses[1], want)
	if large := s.Policy.MachineTypes[1]; large.Cores != 48 || large.Memory != 120 || s.MaxOutput != 1<<20 ||
		s.Policy.SlowStartBudget != 60 {
		t.Errorf("got %+v", s)
	}
}

func TestErrorsNamePositionAndCause(t *testing.T) {
	checkErrors(t, "placer.yaml", legacySample(t), []errorCase{
		{"unknown key", "seed: 17", "sead: 17", `placer.yaml:5:1: unknown field "sead"`},
		{"duplicate key", "seed: 17", "seed: 17\nseed: 18", "placer.yaml:6:1: "},
		{
			"duration without unit", "ask_within: 10s", "ask_within: 10",
			`placer.yaml:11:15: "10" has no unit; write one of ms`,
		},
		{
			"duration with a unit of memory", "cold_for: 17s", "cold_for: 17GiB",
			`"17GiB" has the unit "GiB", which is none of ms`,
		},
		{
			"memory without unit", "memory: 120GiB", "memory: 120",
			`placer.yaml:25:40: "120" has no unit; write one of KiB`,
		},
		{"not a number", "cores: 48", "cores: many", `"many" is no number`},
		{"not an integer", "most: 4", "most: 4.5", `"4.5" is no whole number`},
		{"missing", "  address: 127.0.0.1:7300\n", "", "placer.yaml:10:3: list.address is missing"},
		{"missing key in a list entry", "effect: reissuable, ", "", "workloads[0].effect is missing"},
		{"not an address", "127.0.0.1:7400", "localhost", `placer.yaml:6:7: "localhost" is no address`},
		{"index beyond the count", "number: 0 ", "number: 3 ", "placer.yaml:3:9: number 3 is not below placers, 3"},
		// With a longer connect timeout, the waiting attempts would reach a machine in slow start in one burst.
		{
			"connect timeout too long for the slow-start window",
			"connect_within: 180ms", "connect_within: 200ms",
			"a sixteenth of cold_window, 187.5 ms",
		},
		{
			"unknown idempotency", "effect: numbered", "effect: keyed",
			`"keyed" is none of reissuable, numbered, at-most-once`,
		},
		{"missing dedup scope", "repeats_dropped_in: zone, ", "", "workloads[1].repeats_dropped_in is missing"},
		{
			"dedup window of an idempotent class", "effect: reissuable", "effect: reissuable, repeats_dropped_for: 8s",
			"repeats_dropped_in and repeats_dropped_for need effect: numbered",
		},
		{"unknown machine type", "kind: large", "kind: huge", `there is no machine type "huge"`},
		{"duplicate machine type", "name: large", "name: small", `machine type "small" is defined twice`},
		{"duplicate workload class", "name: report-run", "name: matcher", `workload class "matcher" is defined twice`},
		{"spread without a limit", ", most_in_one: 2", "", "workloads[2].most_in_one is missing"},
		{"objective beyond the timeout", "agreed_time: 2s", "agreed_time: 20s", "agreed_time is longer than hard_stop"},
		{"neither true nor false", "may_be_probed: true", "may_be_probed: maybe", `"maybe" is neither true nor false`},
		{"weight out of range", "over_share: 0.2", "over_share: 2", "2 is no part from 0 to 1"},
		{
			"prefix with host bits", "198.51.100.7/32", "198.51.100.7/24",
			"has bits beyond its length; 198.51.100.0/24 has not",
		},
		{"next hop of another family", "next_hop: 192.0.2.5", "next_hop: 2001:db8::5", "is of another family than"},
		{
			"peer without allowed prefixes", "allow: [198.51.100.0/24, \"2001:db8:1::/64\"]", "it_calls: false",
			"bgp.peers[0].allow is missing",
		},
		{"hold time too short", "hold: 9s", "hold: 2s", "a hold time is 0 or whole seconds from 3"},
		{"AS number 0", "as: 65001", "as: 0", "0 is no AS number to use"},
		{"list instead of a value", "seed: 17", "seed: [1]", "placer.yaml:5:7: a value is wanted here"},
		{"invalid YAML", "placers: 3", "placers: [3", "placer.yaml:"},
		{"two documents", "over_share: 0.2", "over_share: 0.2\n---\nname: x", "more than one document"},
	})
	if _, err := ParseScheduler("placer.yaml", nil); err == nil || err.Error() != "placer.yaml: is empty" {
		t.Errorf("empty file: %v", err)
	}
}

func TestErrorsAreTypedWithFileLineColumnAndKey(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		line, column   int
		key            string
	}{
		{"value in a section", "most: 4", "most: 0", 36, 9, "bids.most"},
		{"value in a list entry", "kind: large", "kind: huge", 43, 12, "workloads[2].kind"},
		{"value without its unit", "ask_within: 10s", "ask_within: 10", 11, 15, "list.ask_within"},
		{"list element", "families: [ipv4, ipv6]", "families: [ipv4, ipv5]", 52, 96, "bgp.peers[0].families[1]"},
		{"unknown key", "seed: 17", "sead: 17", 5, 1, "sead"},
		{"missing key", "effect: reissuable, ", "", 39, 6, "workloads[0].effect"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseScheduler("placer.yaml", []byte(strings.Replace(legacySample(t), tc.old, tc.new, 1)))
			var located *strictyaml.Error
			testutil.Require(t, errors.As(err, &located), "got %T: %v", err, err)
			want := strictyaml.Position{Line: tc.line, Column: tc.column}
			testutil.Expect(t, located.File == "placer.yaml" && located.Position == want && located.Key == tc.key,
				"got %v with key %q, want %v with key %q: %v", located.Position, located.Key, want, tc.key, err)
		})
	}
}

func TestMissingSchedulerFileIsLocatedInControllerFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keeper.yaml")
	text := "name: keeper\napi: 127.0.0.1:1\nplacer_file: absent.yaml\ndoors: [127.0.0.1:2]\n"
	testutil.WriteFile(t, path, []byte(text))
	_, err := LoadController(path)
	var located *strictyaml.Error
	testutil.Expect(t, errors.As(err, &located) && located.Key == "placer_file" && located.Line == 3, "got %v", err)
	testutil.Expect(t, errors.Is(err, fs.ErrNotExist), "%v does not wrap fs.ErrNotExist", err)
}
