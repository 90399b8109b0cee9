package main

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testutil"
)

// writeStateFolder creates a state folder whose log has a record for each key.
func writeStateFolder(t *testing.T, keys ...string) (path string) {
	t.Helper()
	path = t.TempDir()
	folder, err := vfs.OpenLocked(path)
	testutil.NoError(t, err)
	log, _, err := wal.Open(folder, wal.Options{})
	testutil.NoError(t, err)
	for _, key := range keys {
		done := make(chan error, 1)
		change := wal.Change{Kind: "job", Key: key, Value: []byte{0x61, 'x'}}
		log.Commit([]wal.Change{change}, true, func(err error) { done <- err })
		testutil.NoError(t, <-done)
	}
	testutil.NoError(t, errors.Join(log.Close(), folder.Close()))
	return path
}

// The state commands inspect, verify, export and compact a folder. verify names the damaged file and the position of
// the damage, and export fails for a damaged folder.
func TestStateCommandsReadAndCompactAFolder(t *testing.T) {
	dir := writeStateFolder(t, "a", "b", "c")
	run := func(subcommand string) (string, error) {
		stdout, stderr, err := runCommand("state", subcommand, dir)
		return stdout + stderr, err
	}
	for _, tc := range []struct{ subcommand, want string }{
		{"inspect", "3 records"},
		{"verify", "valid, 3 records"},
		{"export", `{"key":"b","kind":"job","value":"x"}`},
		{"compact", "3 records"},
		{"verify", "valid, 3 records, 0 groups"},
		{"export", `{"key":"c","kind":"job","value":"x"}`},
	} {
		if out, err := run(tc.subcommand); err != nil || !strings.Contains(out, tc.want) {
			t.Errorf("%s: %q, %v", tc.subcommand, out, err)
		}
	}
	damaged := damageSnapshot(t, dir)
	if out, err := run("verify"); err == nil || !strings.Contains(out, damaged+", at byte") {
		t.Errorf("verify of a damaged folder: %q, %v", out, err)
	}
	if _, err := run("export"); err == nil {
		t.Error("the export of a damaged folder returns no error")
	}
}

// damageSnapshot flips a bit in the middle of a folder's snapshot file and returns the name of the file.
func damageSnapshot(t *testing.T, dir string) string {
	t.Helper()
	snapshots, err := filepath.Glob(filepath.Join(dir, "snapshot-*"))
	testutil.Require(t, err == nil && len(snapshots) != 0, "snapshots %v, %v", snapshots, err)
	content := testutil.ReadFile(t, snapshots[0])
	content[len(content)/2] ^= 1
	testutil.WriteFile(t, snapshots[0], content)
	return filepath.Base(snapshots[0])
}
