package wal

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
)

// writeFolders runs the histories of the golden folders and returns the files of each folder.
func writeFolders(t *testing.T) map[string]map[string][]byte {
	t.Helper()
	fs, older := writeOrderly(t)
	orderly := contents(t, fs)
	return map[string]map[string][]byte{
		orderlyFolder:   orderly,
		tornFolder:      writeTorn(t, fs, older),
		rewrittenFolder: writeRewritten(t),
	}
}

// writeOrderly returns a directory with a snapshot, several segments and a clean end. older holds its files before the
// snapshot.
func writeOrderly(t *testing.T) (fs *faultfs.FS, older map[string][]byte) {
	t.Helper()
	fs = faultfs.New()
	l, _ := mustOpen(t, fs, Options{})
	mustCommit(t, l, true, goldenPut("job", "a", "value 1"))
	mustCommit(t, l, true, goldenPut("job", "b", "value 2"), goldenPut("container", "a/0", "value 3"))
	mustCommit(t, l, false, Change{Kind: "job", Key: "a"}, Put("typed", "all", []any{int64(-1), "text", true, 2.5}))
	mustCommit(t, l, true) // writes no group
	mustCommit(t, l, false, goldenPut("container", "a/1", ""), goldenPut("container", "a/0", "value 4"))
	mustClose(t, l)
	older = contents(t, fs)
	mustCompact(t, fs)
	fs.InjectError = func(kind, name string) error {
		if kind == "rename" && strings.HasPrefix(name, snapshotPrefix) {
			return syscall.ENOSPC
		}
		return nil
	}
	for i := range 2 { // each Open starts one more segment, for a snapshot that then fails
		l, _ = mustOpen(t, fs, Options{MinSnapshotLog: 300})
		mustCommit(t, l, false, goldenPut("container", fmt.Sprint("b/", i), strings.Repeat("value 5 ", 70)))
		mustCommit(t, l, true, goldenPut("container", fmt.Sprint("c/", i), "value 6"))
		mustCommit(t, l, false, Change{Kind: "container", Key: fmt.Sprint("b/", i)})
		mustClose(t, l)
	}
	fs.InjectError = nil
	return fs, older
}

// writeTorn commits to a directory and returns its files as after a crash in the last group, with obsolete files left.
func writeTorn(t *testing.T, fs *faultfs.FS, older map[string][]byte) map[string][]byte {
	t.Helper()
	l, _ := mustOpen(t, fs, Options{})
	mustCommit(t, l, true, goldenPut("job", "c", "value 7"))
	mustCommit(t, l, false, goldenPut("job", "d", "value 8"))
	mustCommit(t, l, false, goldenPut("job", "e", "value 9"))
	files := contents(t, fs)
	mustClose(t, l)
	last := lastFile(files, segmentPrefix)
	files[last] = files[last][:len(files[last])-7]
	maps.Copy(files, older)
	files[snapshotPrefix+"000000000000000f"+vfs.TempSuffix] = []byte("unfinished")
	return files
}

// writeRewritten returns the files of a directory that was rewritten after a failed sync.
func writeRewritten(t *testing.T) map[string][]byte {
	t.Helper()
	fs := faultfs.New()
	l, _ := mustOpen(t, fs, Options{})
	mustCommit(t, l, true, goldenPut("job", "a", "value 10"))
	fs.InjectError = failOperations("sync", syscall.EIO)
	if err := commitAndWait(l, true, goldenPut("job", "b", "refused")); !errors.Is(err, ErrSyncFailed) {
		t.Fatal(err)
	}
	fs.InjectError = nil
	mustCommit(t, l, true, goldenPut("job", "c", "value 11"))
	files := contents(t, fs)
	mustClose(t, l)
	return files
}

func lastFile(files map[string][]byte, prefix string) string {
	last := ""
	for name := range files {
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, vfs.TempSuffix) {
			last = max(last, name)
		}
	}
	return last
}
