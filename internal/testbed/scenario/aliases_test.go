package scenario

import (
	"strings"
	"testing"

	"glenport/internal/config"
	"glenport/internal/testutil"
)

func readScenario(t *testing.T, path string) *Scenario {
	t.Helper()
	s, err := Load(path)
	testutil.NoError(t, err)
	return s
}

// testdata/legacy holds unchanged copies of scenario files with the old key names. They still load, with deprecations,
// and give the same scenarios as the current files.
func TestOldScenarioFilesReadTheSame(t *testing.T) {
	for _, name := range []string{"bad-day", "short", "storm", "why"} {
		t.Run(name, func(t *testing.T) {
			old := readScenario(t, "testdata/legacy/"+name+".yaml")
			current := readScenario(t, "../../../scenarios/"+name+".yaml")
			testutil.Expect(t, len(old.Deprecations) != 0 && len(current.Deprecations) == 0,
				"deprecations: %v in the old file, %v in the new one", old.Deprecations, current.Deprecations)
			oldSettings, currentSettings := loadTemplate(t, old), loadTemplate(t, current)
			testutil.DeepEqual(t, oldSettings, currentSettings)
			old.Deprecations, old.Template = nil, current.Template
			testutil.DeepEqual(t, old, current)
		})
	}
}

func loadTemplate(t *testing.T, s *Scenario) *config.Scheduler {
	t.Helper()
	settings, err := config.LoadScheduler(s.Template)
	testutil.NoError(t, err)
	settings.Deprecations = nil
	return settings
}

// The file bad-day.yaml with the old names contains every renamed key, so each alias must be reported once.
func TestEachOldKeyIsReadAndNamed(t *testing.T) {
	deprecations := readScenario(t, "testdata/legacy/bad-day.yaml").Deprecations
	for _, alias := range keyAliases {
		t.Run(alias.Section+" "+alias.Old, func(t *testing.T) {
			newKey, count := strings.TrimPrefix(alias.Section+"."+alias.New, "."), 0
			for _, d := range deprecations {
				if d.New == newKey && strings.HasSuffix(d.Old, alias.Old) {
					count++
				}
			}
			testutil.Expect(t, count == 1, "named %d times in %v", count, deprecations)
		})
	}
}

func TestEachOldKindOfFaultIsReadAndNamed(t *testing.T) {
	for _, alias := range kindAliases {
		t.Run(alias.Old, func(t *testing.T) {
			s := readScenario(t, writeShortScenario(t, "kind: burst", `kind: "`+alias.Old+`"`))
			fault := s.Faults[len(s.Faults)-2] // in place of the burst
			testutil.Expect(t, string(fault.Kind) == alias.New, "got %q, want %q", fault.Kind, alias.New)
			want := "faults.kind: " + alias.Old + " is faults.kind: " + alias.New
			if got := s.Deprecations; len(got) != 1 || got[0].Old+" is "+got[0].New != want {
				t.Errorf("got %v, want one that says %s", got, want)
			}
		})
	}
}
