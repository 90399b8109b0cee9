package wal

import (
	"strings"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
	_ "glenport/internal/testutil/fixedseed"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fataler is the part of *testing.T and *rapid.T that the helpers need.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

func putText(key, value string) Change { return Change{Kind: "k", Key: key, Value: []byte(value)} }

// commitAndWait commits and returns what the done function was called with.
func commitAndWait(l *Log, durable bool, changes ...Change) error {
	done := make(chan error, 1)
	l.Commit(changes, durable, func(err error) { done <- err })
	return <-done
}

func mustCommit(t fataler, l *Log, durable bool, changes ...Change) {
	t.Helper()
	if err := commitAndWait(l, durable, changes...); err != nil {
		t.Fatal(err)
	}
}

func mustOpen(t fataler, fs vfs.FS, options Options) (*Log, Stats) {
	t.Helper()
	l, stats, err := Open(fs, options)
	if err != nil {
		t.Fatal("not opened:", err)
	}
	return l, stats
}

func mustClose(t fataler, l *Log) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

func mustCompact(t fataler, fs vfs.FS) {
	t.Helper()
	if _, _, err := Compact(fs); err != nil {
		t.Fatal(err)
	}
}

func mustLoad(t fataler, fs vfs.FS) *State {
	t.Helper()
	state, err := Load(fs, false)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func mustList(t fataler, fs vfs.FS) []string {
	t.Helper()
	names, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func mustRead(t fataler, fs vfs.FS, name string) []byte {
	t.Helper()
	data, err := fs.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func mustRemove(t fataler, fs vfs.FS, name string) {
	t.Helper()
	if err := fs.Remove(name); err != nil {
		t.Fatal(err)
	}
}

func mustCreate(t fataler, fs vfs.FS, name string, data []byte) {
	t.Helper()
	file, err := fs.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(data); err != nil {
		t.Fatal(err)
	}
}

func mustTruncate(t fataler, fs vfs.FS, name string, size int) {
	t.Helper()
	file, err := fs.Append(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := file.Truncate(int64(size)); err != nil {
		t.Fatal(err)
	}
	if err := file.Sync(); err != nil {
		t.Fatal(err)
	}
}

// mustFlipBit damages the first segment.
func mustFlipBit(t fataler, fs *faultfs.FS, bit int) {
	t.Helper()
	if err := fs.FlipBit(firstSegment, bit); err != nil {
		t.Fatal(err)
	}
}

// valuesOf returns the values of kind "k".
func valuesOf(t fataler, s *State) map[string]string {
	t.Helper()
	values := map[string]string{}
	err := s.ForEach("k", func(key string, value []byte) error {
		values[key] = string(value)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return values
}

// newestSnapshot returns the name of the snapshot of a directory that has one at most.
func newestSnapshot(t fataler, fs vfs.FS) string {
	t.Helper()
	for _, name := range mustList(t, fs) {
		if strings.HasPrefix(name, snapshotPrefix) {
			return name
		}
	}
	return ""
}
