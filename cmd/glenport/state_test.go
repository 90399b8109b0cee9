package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
)

// A folder is inspected, checked, exported and compacted; of a damaged one the file and the place are named, and what
// comes before is exported.
func TestStateCommandsReadAndCompactAFolder(t *testing.T) {
	dir := t.TempDir()
	d, err := vfs.OpenLocked(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := wal.Open(d, wal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"a", "b", "c"} {
		done := make(chan error, 1)
		s.Commit([]wal.Change{{Kind: "job", Key: key, Value: []byte{0x61, 'x'}}}, true, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	run := func(what string) (string, error) {
		c := newStateCommand()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetErr(&out)
		c.SetArgs([]string{what, dir})
		c.SilenceUsage, c.SilenceErrors = true, true
		err := c.Execute()
		return out.String(), err
	}
	for _, tc := range []struct{ what, want string }{
		{"inspect", "3 records"},
		{"verify", "valid, 3 records"},
		{"export", `{"key":"b","kind":"job","value":"x"}`},
		{"compact", "3 records"},
		{"verify", "valid, 3 records, 0 groups"},
		{"export", `{"key":"c","kind":"job","value":"x"}`},
	} {
		if out, err := run(tc.what); err != nil || !strings.Contains(out, tc.want) {
			t.Errorf("%s: %q, %v", tc.what, out, err)
		}
	}
	all, err := filepath.Glob(filepath.Join(dir, "snapshot-*"))
	if err != nil || len(all) == 0 {
		t.Fatalf("snapshots %v, %v", all, err)
	}
	p, err := os.ReadFile(all[0])
	if err != nil {
		t.Fatal(err)
	}
	p[len(p)/2] ^= 1
	if err := os.WriteFile(all[0], p, 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := run("verify"); err == nil || !strings.Contains(out, filepath.Base(all[0])+", at byte") {
		t.Errorf("damaged: %q, %v", out, err)
	}
	if _, err := run("export"); err == nil {
		t.Error("a damaged folder is exported as whole")
	}
}
