package scenario

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"glenport/internal/config"
	"glenport/internal/config/strictyaml"
)

func load(t *testing.T, path string) *Scenario {
	t.Helper()
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The scenario files of before the renaming stand byte for byte in testdata/legacy.
func TestOldScenarioFilesReadTheSame(t *testing.T) {
	for _, name := range []string{"bad-day", "short", "storm", "why"} {
		t.Run(name, func(t *testing.T) {
			old := load(t, "testdata/legacy/"+name+".yaml")
			current := load(t, "../../../scenarios/"+name+".yaml")
			if len(old.Deprecations) == 0 || len(current.Deprecations) != 0 {
				t.Errorf("deprecations: %v in the old file, %v in the new one", old.Deprecations, current.Deprecations)
			}
			oldSettings, currentSettings := loadTemplate(t, old), loadTemplate(t, current)
			if !reflect.DeepEqual(oldSettings, currentSettings) {
				t.Errorf("settings: got %+v, want %+v", oldSettings, currentSettings)
			}
			old.Deprecations, old.Template = nil, current.Template
			if !reflect.DeepEqual(old, current) {
				t.Errorf("got %+v, want %+v", old, current)
			}
		})
	}
}

func loadTemplate(t *testing.T, s *Scenario) *config.Scheduler {
	t.Helper()
	settings, err := config.LoadScheduler(s.Template)
	if err != nil {
		t.Fatal(err)
	}
	settings.Deprecations = nil
	return settings
}

// The long old file has every key that was renamed.
func TestEachOldKeyIsReadAndNamed(t *testing.T) {
	deprecations := load(t, "testdata/legacy/bad-day.yaml").Deprecations
	for _, alias := range keyAliases {
		t.Run(alias.Section+" "+alias.Old, func(t *testing.T) {
			count := 0
			for _, d := range deprecations {
				if d.New == strings.TrimPrefix(alias.Section+"."+alias.New, ".") && strings.HasSuffix(d.Old, alias.Old) {
					count++
				}
			}
			if count != 1 {
				t.Errorf("named %d times in %v", count, deprecations)
			}
		})
	}
}

func TestEachOldKindOfFaultIsReadAndNamed(t *testing.T) {
	text, err := os.ReadFile("../../../scenarios/short.yaml")
	if err != nil {
		t.Fatal(err)
	}
	template, err := os.ReadFile("../../../scenarios/scheduler.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, alias := range kindAliases {
		t.Run(alias.Old, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "scenario.yaml")
			writeFile(t, filepath.Join(dir, "scheduler.yaml"), template)
			writeFile(t, path, []byte(strings.Replace(string(text), "kind: burst", `kind: "`+alias.Old+`"`, 1)))
			s := load(t, path)
			last := s.Faults[len(s.Faults)-2] // in place of the burst
			if string(last.Kind) != alias.New || !slices.ContainsFunc(s.Deprecations, func(d strictyaml.Deprecation) bool {
				return d.Old == "faults.kind: "+alias.Old && d.New == "faults.kind: "+alias.New
			}) {
				t.Errorf("got %q, %v", last.Kind, s.Deprecations)
			}
		})
	}
}
