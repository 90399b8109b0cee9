package config

import (
	"path/filepath"
	"reflect"
	"testing"

	"glenport/internal/testutil"
)

func TestEncodedSchedulerSettingsReadBackTheSame(t *testing.T) {
	for _, path := range []string{sampleDir + "/scheduler.yaml", "testdata/every-key.yaml"} {
		t.Run(path, func(t *testing.T) {
			want, _ := parseWithDeprecations(t, path) // the encoded file has no deprecations
			text := encoded(t)(want.Encode())
			if got, err := ParseScheduler(path, text); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%v: got %+v, want %+v from\n%s", err, got, want, text)
			}
		})
	}
}

func TestEncodedControllerSettingsReadBackTheSame(t *testing.T) {
	for _, path := range []string{sampleDir + "/controller.yaml", "testdata/controller.yaml"} {
		t.Run(path, func(t *testing.T) {
			want, err := LoadController(path)
			testutil.NoError(t, err)
			dir := t.TempDir()
			want.Deprecations, want.Scheduler.Deprecations = nil, nil // the encoded files have none
			testutil.WriteFile(t, filepath.Join(dir, "scheduler.yaml"), encoded(t)(want.Scheduler.Encode()))
			text := encoded(t)(want.Encode("scheduler.yaml"))
			testutil.WriteFile(t, filepath.Join(dir, "controller.yaml"), text)
			got, err := LoadController(filepath.Join(dir, "controller.yaml"))
			testutil.Expect(t, err == nil && reflect.DeepEqual(got, want),
				"%v: got %+v, want %+v from\n%s", err, got, want, text)
		})
	}
}

// encoded returns a function that returns an encoded text, or fails the test on an error.
func encoded(t *testing.T) func(text []byte, err error) []byte {
	t.Helper()
	return func(text []byte, err error) []byte {
		t.Helper()
		testutil.NoError(t, err)
		return text
	}
}
