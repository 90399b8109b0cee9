package config

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/config/strictyaml"

	"github.com/goccy/go-yaml"
)

const sampleFolder = "../../deploy"

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// parseScheduler returns the settings without the deprecations of the file, and these.
func parseScheduler(t *testing.T, data []byte) (*Scheduler, []strictyaml.Deprecation) {
	t.Helper()
	settings, err := ParseScheduler("scheduler.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	deprecations := settings.Deprecations
	settings.Deprecations = nil
	return settings, deprecations
}

func TestOldSchedulerFilesDecodeToTheSameSettings(t *testing.T) {
	for _, tc := range []struct{ name, old, current string }{
		{"sample", "testdata/legacy/placer.yaml", sampleFolder + "/scheduler.yaml"},
		{"every key", "testdata/every-key.yaml", "testdata/current.yaml"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			old, deprecations := parseScheduler(t, readFile(t, tc.old))
			current, none := parseScheduler(t, readFile(t, tc.current))
			if !reflect.DeepEqual(old, current) {
				t.Errorf("got %+v\nwant %+v", old, current)
			}
			if len(deprecations) < 40 || len(none) > 0 {
				t.Errorf("%d old spellings in %s, %d in %s", len(deprecations), tc.old, len(none), tc.current)
			}
		})
	}
}

func TestOldControllerFileDecodesToTheSameSettings(t *testing.T) {
	old, err := LoadController("testdata/legacy/keeper.yaml")
	if err != nil {
		t.Fatal(err)
	}
	current, err := LoadController(sampleFolder + "/controller.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if len(current.Deprecations) > 0 {
		t.Errorf("old spellings: %v", current.Deprecations)
	}
	want := strictyaml.Deprecation{File: "testdata/legacy/keeper.yaml", Line: 4, Old: "placer_file", New: "scheduler_config"}
	if got := old.Deprecations[0]; got != want {
		t.Errorf("got %v first, want %v", got, want)
	}
	if ofScheduler := old.Scheduler.Deprecations; len(old.Deprecations) != len(controllerKeyAliases)+len(ofScheduler) {
		t.Errorf("%d old spellings, those of the scheduler's file included", len(old.Deprecations))
	}
	old.Deprecations, old.Scheduler.Deprecations = nil, nil
	if !reflect.DeepEqual(old, current) {
		t.Errorf("got %+v\nwant %+v", old, current)
	}
}

// parseAs reads one kind of settings file and returns its settings, to be compared, and its old spellings.
type parseAs func(data []byte) (settings any, deprecations []strictyaml.Deprecation, err error)

func asScheduler(data []byte) (any, []strictyaml.Deprecation, error) {
	settings, err := ParseScheduler("file.yaml", data)
	if err != nil {
		return nil, nil, err
	}
	deprecations := settings.Deprecations
	settings.Deprecations = nil
	return settings, deprecations, nil
}

func asController(data []byte) (any, []strictyaml.Deprecation, error) {
	var content controllerFile
	file, err := strictyaml.ReadWithAliases("file.yaml", data, &content, ControllerAliases())
	if err != nil {
		return nil, nil, err
	}
	v := &validator{file: file}
	settings := v.controller(&content)
	return settings, file.Deprecations(), v.err
}

func TestEachOldKeyIsRead(t *testing.T) {
	for _, tc := range []struct {
		file  string
		keys  []strictyaml.KeyAlias
		parse parseAs
	}{
		{"testdata/current.yaml", schedulerKeyAliases, asScheduler},
		{sampleFolder + "/controller.yaml", controllerKeyAliases, asController},
	} {
		data := readFile(t, tc.file)
		want, _, err := tc.parse(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, alias := range tc.keys {
			t.Run(strings.TrimPrefix(alias.Section+"."+alias.Old, "."), func(t *testing.T) {
				checkKeyAlias(t, data, alias, tc.parse, want)
			})
		}
	}
}

// checkKeyAlias reads a file in which one key stands in its old spelling, and in both.
func checkKeyAlias(t *testing.T, data []byte, alias strictyaml.KeyAlias, parse parseAs, want any) {
	t.Helper()
	both := rewrite(t, data, alias.Section, func(section map[string]any) {
		if value, found := lookUp(section, alias.New); found {
			section[alias.Old] = value
		}
	})
	var located *strictyaml.Error
	_, _, err := parse(both)
	if !errors.As(err, &located) || !located.IsSet() || !strings.HasSuffix(located.Key, alias.Old) ||
		!strings.Contains(located.Message, alias.New) {
		t.Errorf("both spellings: %v", err)
	}
	old := rewrite(t, data, alias.Section, func(section map[string]any) {
		if value, found := lookUp(section, alias.New); found {
			section[alias.Old] = value
			remove(section, alias.New)
		}
	})
	got, deprecations, err := parse(old)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	prefix := ""
	if alias.Section != "" {
		prefix = alias.Section + "."
	}
	if len(deprecations) != 1 || deprecations[0].Line == 0 || deprecations[0].File != "file.yaml" ||
		deprecations[0].Old != prefix+alias.Old || deprecations[0].New != prefix+alias.New {
		t.Errorf("got old spellings %+v", deprecations)
	}
}

func TestEachOldValueIsRead(t *testing.T) {
	data := readFile(t, "testdata/current.yaml")
	for _, alias := range schedulerValueAliases {
		t.Run(alias.Key+" "+alias.Old, func(t *testing.T) {
			section, key, _ := strings.Cut(alias.Key, ".")
			with := func(value string) (any, []strictyaml.Deprecation) {
				settings, deprecations, err := asScheduler(rewrite(t, data, section, func(entry map[string]any) {
					if entry["name"] == "report-run" && key == "dedup_scope" ||
						entry["name"] == "corpus-merge" && key == "spread_scope" ||
						entry[key] == alias.New {
						entry[key] = value
					}
				}))
				if err != nil {
					t.Fatal(err)
				}
				return settings, deprecations
			}
			want, none := with(alias.New)
			got, deprecations := with(alias.Old)
			if !reflect.DeepEqual(got, want) || len(none) != 0 || len(deprecations) != 1 ||
				deprecations[0].Old != alias.Key+": "+alias.Old || deprecations[0].New != alias.Key+": "+alias.New {
				t.Errorf("got %+v with %v\nwant %+v with %v", got, deprecations, want, none)
			}
		})
	}
}

// rewrite changes each mapping at the path of a section.
func rewrite(t *testing.T, data []byte, section string, change func(map[string]any)) []byte {
	t.Helper()
	var root any
	if err := yaml.Unmarshal(data, &root); err != nil {
		t.Fatal(err)
	}
	visitSection(root, section, change)
	changed, err := yaml.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

func visitSection(node any, section string, visit func(map[string]any)) {
	switch n := node.(type) {
	case []any:
		for _, entry := range n {
			visitSection(entry, section, visit)
		}
	case map[string]any:
		if section == "" {
			visit(n)
			return
		}
		key, rest, _ := strings.Cut(section, ".")
		visitSection(n[key], rest, visit)
	}
}

// lookUp returns the value at a path below a section.
func lookUp(section map[string]any, path string) (value any, found bool) {
	key, rest, nested := strings.Cut(path, ".")
	value, found = section[key]
	if inner, ok := value.(map[string]any); ok && nested {
		return lookUp(inner, rest)
	}
	return value, found
}

func remove(section map[string]any, path string) {
	key, rest, nested := strings.Cut(path, ".")
	if inner, ok := section[key].(map[string]any); ok && nested {
		remove(inner, rest)
		return
	}
	delete(section, key)
}

func TestErrorsOfCurrentKeysAreLocated(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", "  budget: 60", "  budgets: 60", `scheduler.yaml:36:5: unknown field "budgets"`},
		{"missing in a nested section", "    window: 3s", "    #", "scheduler.yaml:34:5: machines.slow_start.window is missing"},
		{"missing in a list", "idempotency: idempotent, ", "", "scheduler.yaml:41:6: workload_classes[0].idempotency is missing"},
		{"value of a list", "idempotent,", "reissued,", `"reissued" is none of idempotent, idempotent-with-key, at-most-once`},
		{"value of a section", "max_attempts: 4", "max_attempts: 0", "scheduler.yaml:38:17: 0 would let nothing pass"},
		{"both spellings", "scheduler_count: 3", "scheduler_count: 3\nplacers: 3", `scheduler.yaml:6:1: "placers" is the old spelling of "scheduler_count", which stands on line 5`},
		{"both spellings, the old one first", "scheduler_count: 3", "placers: 3\nscheduler_count: 3", `scheduler.yaml:5:1: "placers" is the old spelling of "scheduler_count", which stands on line 6`},
		{"old key into what is no section", "  slow_start:", "  cold_for: 17s\n  slow_start: 5\n  slow:", `scheduler.yaml:33:3: "cold_for" belongs into section "slow_start", which is no mapping`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := string(readFile(t, sampleFolder+"/scheduler.yaml"))
			changed := strings.Replace(text, tc.old, tc.new, 1)
			if changed == text {
				t.Fatal("nothing was changed")
			}
			_, err := ParseScheduler("scheduler.yaml", []byte(changed))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
}

func TestWarningNamesFileLineOldAndNewKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scheduler.yaml")
	text := strings.Replace(string(readFile(t, sampleFolder+"/scheduler.yaml")), "latency_objective:", "agreed_time:", 2)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := LoadScheduler(path)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	LogDeprecations(slog.New(slog.NewTextHandler(&log, nil)), settings.Deprecations)
	want := `level=WARN msg="deprecated setting" file=` + path +
		" line=41 old=workload_classes.agreed_time new=workload_classes.latency_objective\n"
	if !strings.HasSuffix(log.String(), want) || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("got %swant %s", log.String(), want)
	}
}
