package config

import (
	"bytes"
	"errors"
	"log/slog"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/config/strictyaml"
	"glenport/internal/testutil"

	"github.com/goccy/go-yaml"
)

// parseWithDeprecations returns the settings in a file and, separately, its deprecations.
func parseWithDeprecations(t *testing.T, path string) (*Scheduler, []strictyaml.Deprecation) {
	t.Helper()
	settings, err := LoadScheduler(path)
	testutil.NoError(t, err)
	deprecations := settings.Deprecations
	settings.Deprecations = nil
	return settings, deprecations
}

func TestOldSchedulerFilesDecodeToTheSameSettings(t *testing.T) {
	for _, tc := range []struct{ name, old, current string }{
		{"sample", "testdata/legacy/placer.yaml", sampleDir + "/scheduler.yaml"},
		{"every key", "testdata/every-key.yaml", "testdata/current.yaml"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			old, deprecations := parseWithDeprecations(t, tc.old)
			current, currentDeprecations := parseWithDeprecations(t, tc.current)
			testutil.Expect(t, reflect.DeepEqual(old, current), "got %+v\nwant %+v", old, current)
			testutil.Expect(t, len(deprecations) >= 40 && len(currentDeprecations) == 0,
				"%d old spellings in %s, %d in %s", len(deprecations), tc.old, len(currentDeprecations), tc.current)
		})
	}
}

func TestOldControllerFileDecodesToTheSameSettings(t *testing.T) {
	old, err := LoadController("testdata/legacy/keeper.yaml")
	testutil.NoError(t, err)
	current, err := LoadController(sampleDir + "/controller.yaml")
	testutil.NoError(t, err)
	testutil.Expect(t, len(current.Deprecations) == 0, "old spellings: %v", current.Deprecations)
	got, want := old.Deprecations[0], strictyaml.Deprecation{
		File: "testdata/legacy/keeper.yaml", Line: 4, Old: "placer_file", New: "scheduler_config",
	}
	testutil.Expect(t, got == want, "got %v first, want %v", got, want)
	if schedulerDeprecations := old.Scheduler.Deprecations; len(old.Deprecations) !=
		len(controllerKeyAliases)+len(schedulerDeprecations) {
		t.Errorf("%d old spellings, including those of the scheduler's file", len(old.Deprecations))
	}
	old.Deprecations, old.Scheduler.Deprecations = nil, nil
	testutil.Expect(t, reflect.DeepEqual(old, current), "got %+v\nwant %+v", old, current)
}

// parseFunc parses one kind of settings file and returns its settings and, separately, its old spellings.
type parseFunc func(data []byte) (settings any, deprecations []strictyaml.Deprecation, err error)

func parseSchedulerFile(data []byte) (any, []strictyaml.Deprecation, error) {
	settings, err := ParseScheduler("file.yaml", data)
	if err != nil {
		return nil, nil, err
	}
	deprecations := settings.Deprecations
	settings.Deprecations = nil
	return settings, deprecations, nil
}

func parseControllerFile(data []byte) (any, []strictyaml.Deprecation, error) {
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
		parse parseFunc
	}{
		{"testdata/current.yaml", schedulerKeyAliases, parseSchedulerFile},
		{sampleDir + "/controller.yaml", controllerKeyAliases, parseControllerFile},
	} {
		data := []byte(readFile(t, tc.file))
		want, _, err := tc.parse(data)
		testutil.NoError(t, err)
		for _, alias := range tc.keys {
			t.Run(strings.TrimPrefix(alias.Section+"."+alias.Old, "."), func(t *testing.T) {
				checkKeyAlias(t, data, alias, tc.parse, want)
			})
		}
	}
}

// checkKeyAlias parses a file that has one key in its old spelling, and a file that has it in both spellings.
func checkKeyAlias(t *testing.T, data []byte, alias strictyaml.KeyAlias, parse parseFunc, want any) {
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
	testutil.NoError(t, err)
	testutil.Expect(t, reflect.DeepEqual(got, want), "got %+v\nwant %+v", got, want)
	prefix := strings.TrimPrefix(alias.Section+".", ".")
	checkDeprecation(t, deprecations, prefix+alias.Old, prefix+alias.New)
}

func TestEachOldValueIsRead(t *testing.T) {
	data := []byte(readFile(t, "testdata/current.yaml"))
	// name of the workload class that may have the key
	classOf := map[string]string{"dedup_scope": "report-run", "spread_scope": "corpus-merge"}
	for _, alias := range schedulerValueAliases {
		t.Run(alias.Key+" "+alias.Old, func(t *testing.T) {
			section, key, _ := strings.Cut(alias.Key, ".")
			settingsWith := func(value string) (any, []strictyaml.Deprecation) {
				settings, deprecations, err := parseSchedulerFile(rewrite(t, data, section, func(entry map[string]any) {
					if entry["name"] == classOf[key] || entry[key] == alias.New {
						entry[key] = value
					}
				}))
				testutil.NoError(t, err)
				return settings, deprecations
			}
			want, wantDeprecations := settingsWith(alias.New)
			got, deprecations := settingsWith(alias.Old)
			testutil.Expect(t, reflect.DeepEqual(got, want) && len(wantDeprecations) == 0,
				"got %+v\nwant %+v with old spellings %v", got, want, wantDeprecations)
			checkDeprecation(t, deprecations, alias.Key+": "+alias.Old, alias.Key+": "+alias.New)
		})
	}
}

// checkDeprecation checks that a file has exactly one old spelling, the given one.
func checkDeprecation(t *testing.T, got []strictyaml.Deprecation, old, current string) {
	t.Helper()
	if len(got) != 1 || got[0].Line == 0 || got[0].File != "file.yaml" || got[0].Old != old || got[0].New != current {
		t.Errorf("got old spellings %+v, want %s for %s", got, old, current)
	}
}

// rewrite calls change with each mapping at the path of a section and returns the changed file.
func rewrite(t *testing.T, data []byte, section string, change func(map[string]any)) []byte {
	t.Helper()
	var root any
	testutil.NoError(t, yaml.Unmarshal(data, &root))
	visitSection(root, section, change)
	changed, err := yaml.Marshal(root)
	testutil.NoError(t, err)
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
	checkErrors(t, "scheduler.yaml", readFile(t, sampleDir+"/scheduler.yaml"), []errorCase{
		{"unknown key", "  budget: 60", "  budgets: 60", `scheduler.yaml:36:5: unknown field "budgets"`},
		{
			"missing key in a nested section", "    window: 3s", "    #",
			"scheduler.yaml:34:5: machines.slow_start.window is missing",
		},
		{
			"missing key in a list entry", "idempotency: idempotent, ", "",
			"scheduler.yaml:41:6: workload_classes[0].idempotency is missing",
		},
		{
			"value in a list entry", "idempotent,", "reissued,",
			`"reissued" is none of idempotent, idempotent-with-key, at-most-once`,
		},
		{"value in a section", "max_attempts: 4", "max_attempts: 0", "scheduler.yaml:38:17: 0 would let nothing pass"},
		{
			"objective beyond the timeout", "latency_objective: 2s", "latency_objective: 20s",
			"latency_objective is longer than placement_timeout",
		},
		{
			"dedup window of an idempotent class",
			"idempotency: idempotent,", "idempotency: idempotent, dedup_window: 8s,",
			"dedup_scope and dedup_window need idempotency: idempotent-with-key",
		},
		{
			"index beyond the count", "scheduler_index: 0", "scheduler_index: 3",
			"scheduler_index 3 is not below scheduler_count, 3",
		},
		{
			"both spellings", "scheduler_count: 3", "scheduler_count: 3\nplacers: 3",
			`scheduler.yaml:6:1: "placers" is the old spelling of "scheduler_count", which is set on line 5`,
		},
		{
			"both spellings, old one first", "scheduler_count: 3", "placers: 3\nscheduler_count: 3",
			`scheduler.yaml:5:1: "placers" is the old spelling of "scheduler_count", which is set on line 6`,
		},
		{
			"old key of a section that is no mapping", "  slow_start:", "  cold_for: 17s\n  slow_start: 5\n  slow:",
			`scheduler.yaml:33:3: "cold_for" belongs in section "slow_start", which is not a mapping`,
		},
	})
}

func TestWarningNamesFileLineOldAndNewKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scheduler.yaml")
	text := readFile(t, sampleDir+"/scheduler.yaml")
	testutil.WriteFile(t, path, []byte(strings.ReplaceAll(text, "latency_objective:", "agreed_time:")))
	settings, err := LoadScheduler(path)
	testutil.NoError(t, err)
	var log bytes.Buffer
	LogDeprecations(slog.New(slog.NewTextHandler(&log, nil)), settings.Deprecations)
	want := `level=WARN msg="deprecated setting" file=` + path +
		" line=41 old=workload_classes.agreed_time new=workload_classes.latency_objective\n"
	testutil.Expect(t, strings.HasSuffix(log.String(), want) && strings.Count(log.String(), "\n") == 1,
		"got %swant %s", log.String(), want)
}
