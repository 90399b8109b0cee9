package wal

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/storage/faultfs"
)

// describeError describes the properties of an error that callers may test.
func describeError(err error) string {
	return fmt.Sprintf("failed %t, sync failed %t, closed %t, disk %t", err != nil, errors.Is(err, ErrSyncFailed),
		errors.Is(err, ErrClosed), errors.Is(err, syscall.EIO))
}

// historyTrial runs a scripted history on a directory whose operations may fail, and records each operation and result.
// No snapshot is written in the background, so the order of the operations is deterministic.
type historyTrial struct {
	fs         *faultfs.FS
	note       func(format string, arguments ...any)
	fails      func(operation int, kind string) bool
	operations int
}

// run runs the history and returns the number of operations.
func (h *historyTrial) run(t *testing.T) int {
	t.Helper()
	h.fs = faultfs.New()
	h.fs.InjectError = h.injectError
	h.openAndCommit(1)
	_, _, err := Compact(h.fs)
	h.note("compact: %s", describeError(err))
	h.openAndCommit(11)
	h.note("replace: %s", describeError(WriteChecksummed(h.fs, "replaced", "GOLDENF", 1, []byte("body"))))
	h.fs.InjectError = nil
	h.noteResult(t)
	return h.operations
}

func (h *historyTrial) injectError(kind, name string) error {
	h.note("  %s %s", kind, name)
	operation := h.operations
	h.operations++
	if h.fails(operation, kind) {
		return syscall.EIO
	}
	return nil
}

func (h *historyTrial) openAndCommit(from int) {
	l, _, err := Open(h.fs, Options{OnModeChange: func(string, ...any) { h.note("mode changed") }})
	h.note("open: %s", describeError(err))
	if err != nil {
		return
	}
	for i := from; i < from+3; i++ {
		removal := Change{Kind: "k", Key: strconv.Itoa(i - 2)}
		err := commitAndWait(l, i%2 == 0, putText(strconv.Itoa(i), "value"), removal)
		h.note("commit %d: %s", i, describeError(err))
	}
	h.note("keep: %s", describeError(l.CommitSync(goldenPut("kept", strconv.Itoa(from), "value"))))
	h.note("close: %s", describeError(l.Close()))
	h.note("commit after it: %s", describeError(commitAndWait(l, true)))
	c := l.Counters()
	h.note("%d commits, %d groups, %d syncs, %d snapshots, %d refused",
		c.Commits, c.Groups, c.Syncs, c.Snapshots, c.Rejected)
}

func (h *historyTrial) noteResult(t *testing.T) {
	t.Helper()
	state, err := Load(h.fs, false)
	if err != nil {
		h.note("not read: %v", err)
	} else {
		h.note("%s", describeState(t, state))
	}
	names, err := h.fs.List()
	h.note("%v %v", names, err)
}

// describeOperations lists the file operations of a history. It adds a digest of the results when each of the
// operations fails, alone or together with those of the same kind among the next four.
func describeOperations(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	noteText := func(format string, arguments ...any) { fmt.Fprintf(&out, format+"\n", arguments...) }
	faultless := historyTrial{note: noteText, fails: func(int, string) bool { return false }}
	operations := faultless.run(t)
	digest := golden.NewDigest()
	noteDigest := func(format string, arguments ...any) { digest.Printf(format+"\n", arguments...) }
	for failing := range operations {
		once := historyTrial{
			note:  noteDigest,
			fails: func(operation int, _ string) bool { return operation == failing },
		}
		once.run(t)
		var failingKind string
		repeated := historyTrial{note: noteDigest, fails: func(operation int, kind string) bool {
			if operation == failing {
				failingKind = kind
			}
			return operation >= failing && kind == failingKind && operation < failing+5
		}}
		repeated.run(t)
	}
	fmt.Fprintf(&out, "each of %d operations failing: digest %s\n", operations, digest.Sum())
	return out.String()
}

// Files are written, synced, renamed and removed in the recorded order, and a failure of one of these operations has
// the recorded results.
func TestOperationOrderMatchesGoldenFile(t *testing.T) {
	golden.CheckText(t, "testdata/operations.txt", describeOperations(t))
}
