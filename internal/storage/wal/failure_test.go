package wal

import (
	"errors"
	"maps"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"
)

// On a full disk, commits that do not fit are rejected and no acknowledged commit is lost. After a failed sync, the
// file is not used any more.
func TestFailedWritesLoseNothingAcknowledged(t *testing.T) {
	for _, tc := range []struct {
		name    string
		failing string // kinds of operations
		err     error
		full    bool
	}{
		{"full disk", "write", syscall.ENOSPC, true},
		{"used-up quota", "write", syscall.EDQUOT, true},
		{"failing sync", "sync", syscall.EIO, false},
		{"full disk at a sync", "sync", syscall.ENOSPC, true},
		{"full, and the write cannot be undone", "write truncate", syscall.EIO, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fs := faultfs.New()
			modeChanges := 0
			l, _ := mustOpen(t, fs, Options{OnModeChange: func(string, ...any) { modeChanges++ }})
			mustCommit(t, l, true, putText("a", "1"))
			fs.InjectError = failOperations(tc.failing, tc.err)
			err := commitAndWait(l, true, putText("b", "2"))
			full, syncFailed := errors.Is(err, ErrFull), errors.Is(err, ErrSyncFailed)
			testutil.Expect(t, errors.Is(err, tc.err) && full == tc.full && syncFailed == (tc.failing != "write"),
				"rejected with %v", err)
			fs.InjectError = nil
			mustCommit(t, l, true, putText("c", "3"))
			mustClose(t, l)
			testutil.Expect(t, modeChanges == 2,
				"%d mode changes reported, want one when commits are rejected and one at the end", modeChanges)
			values := valuesOf(t, mustLoad(t, fs))
			testutil.Expect(t, maps.Equal(values, map[string]string{"a": "1", "c": "3"}), "%v", values)
		})
	}
}

// failOperations returns a function that makes all operations of the given kinds fail with an error.
func failOperations(kinds string, err error) func(kind, name string) error {
	return func(kind, _ string) error {
		if strings.Contains(kinds, kind) {
			return err
		}
		return nil
	}
}

func TestReadOnlyDirectoryIsRefused(t *testing.T) {
	fs := faultfs.New()
	fs.InjectError = func(string, string) error { return syscall.EROFS }
	if _, _, err := Open(fs, Options{}); !errors.Is(err, syscall.EROFS) {
		t.Errorf("%v", err)
	}
}

func TestDirectoryOfAnotherProcessIsRefused(t *testing.T) {
	path := t.TempDir()
	held, err := vfs.OpenLocked(path)
	testutil.NoError(t, err)
	_, err = vfs.OpenLocked(path)
	locked, ok := errors.AsType[*vfs.LockedError](err)
	testutil.Expect(t, ok && strings.Contains(locked.Holder, strconv.Itoa(os.Getpid())), "%v", err)
	testutil.NoError(t, held.Close())
	again, err := vfs.OpenLocked(path)
	testutil.NoError(t, err)
	testutil.NoError(t, again.Close())
}

func TestCommitAfterCloseIsRejected(t *testing.T) {
	l, _ := mustOpen(t, faultfs.New(), Options{})
	mustClose(t, l)
	if err := l.CommitSync(putText("a", "1")); !errors.Is(err, ErrClosed) {
		t.Errorf("%v", err)
	}
}
