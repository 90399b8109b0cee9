package platform

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

func TestConfigIsValidated(t *testing.T) {
	good := configJSON(closedAddr, 256,
		snapshotJSON(1, machineJSON("a", "127.0.0.1:2", "ready", 5), machineJSON("b", "127.0.0.1:3", "draining", 0)))
	for _, tc := range []struct{ name, old, with, wantError string }{
		{"good", "", "", ""},
		{"no JSON", `"bus":`, `"bus"`, "line 2: invalid character"},
		{"seed", `"8c1f`, `"xyz`, "seed: "},
		{"address of the discovery service", `"127.0.0.1:1"`, `"bus.example"`, "bus: "},
		{"sockets", `"sockets":256`, `"sockets":3`, "3 sockets"},
		{"missing setting", `"me":0,`, ``, "setting me is missing"},
		{"setting of the wrong type", `"balancers":1`, `"balancers":"x"`, "setting balancers"},
		{"nested list", `"azs":["hall a"`, `"azs":[["x"]`, "azs[0]"},
		{
			"type of a machine", `"class":"large"`, `"class":"huge"`,
			`known.batch[0]: hosts[0]: site "hall-b" or class "huge"`,
		},
		{"address of a machine", `127.0.0.1:2"`, `nowhere"`, "known.batch[0]: hosts[0]: dial"},
		{"state of a machine", `"draining"`, `"resting"`, "known.batch[0]: hosts[1]: health"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config, err := parseConfig([]byte(strings.Replace(good, tc.old, tc.with, 1)))
			if tc.wantError != "" {
				testutil.Expect(t, err != nil && strings.Contains(err.Error(), tc.wantError),
					"error %v, want %q", err, tc.wantError)
				return
			}
			testutil.NoError(t, err)
			checkConfig(t, config)
		})
	}
}

// checkConfig checks the content of a valid file.
func checkConfig(t *testing.T, config *Config) {
	t.Helper()
	want := scheduler.MachineEntry{
		Machine: "a", Zone: 1, MachineType: 1, RackGroup: 2, PowerHint: 1,
		FreeCores: 40.5, FreeMemory: 100, StartedAt: 50,
	}
	testutil.Equal(t, config.KnownEvents[0].machines[0].entry, want, "machine")
	settings := config.Scheduler
	if len(settings.WorkloadClasses) != 2 || settings.Tenants[1].QuotaCores != 50 ||
		settings.Seed != 0x8c1f30d27a5be964 || settings.ListOnRequest {
		t.Errorf("settings %+v", settings)
	}
}

// Without zones and machine types in the settings there is one of each.
func TestConfigWithoutZones(t *testing.T) {
	text := strings.NewReplacer(`"azs":["hall a","hall-b"]`, `"azs":[]`, `"site":"hall-b"`, `"site":""`).
		Replace(configJSON(closedAddr, 256, snapshotJSON(1, machineJSON("a", "127.0.0.1:2", "ready", 0))))
	if config, err := parseConfig([]byte(text)); err != nil || config.KnownEvents[0].machines[0].entry.Zone != 0 {
		t.Errorf("%+v, %v", config, err)
	}
}

// Errors of a file name the file and the line.
func TestLoadConfigNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if _, err := LoadConfig(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v", err)
	}
	for _, tc := range []struct{ old, with, wantError string }{
		{"", "", ""},
		{`"memory_mb":64`, `"memory_mb":"64"`, "line 2: "},
		{`"connect_timeout_ms":250.0`, `"connect_timeout_ms":0`, "settings: permissions.connect_timeout_ms"},
	} {
		text := strings.Replace(configJSON(closedAddr, 256), tc.old, tc.with, 1)
		testutil.WriteFile(t, path, []byte(text))
		config, err := LoadConfig(path)
		if tc.wantError == "" {
			if err != nil || config.Name != "n0" || config.MemoryMB != 64 || config.MaxDescriptors != 256 {
				t.Errorf("loaded %+v, %v", config, err)
			}
			continue
		}
		testutil.Expect(t, err != nil && strings.HasPrefix(err.Error(), path+": "+tc.wantError),
			"error %v, want %q", err, tc.wantError)
	}
}
