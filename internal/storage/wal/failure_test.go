package wal

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
)

// A full disk rejects what does not fit and loses nothing; a sync that failed is never trusted again.
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
			mustCommit(t, l, true, put("a", "1"))
			fs.InjectError = func(kind, _ string) error {
				if strings.Contains(tc.failing, kind) {
					return tc.err
				}
				return nil
			}
			err := commitAndWait(l, true, put("b", "2"))
			if !errors.Is(err, tc.err) || errors.Is(err, ErrFull) != tc.full ||
				errors.Is(err, ErrSyncFailed) != (tc.failing != "write") {
				t.Errorf("rejected with %v", err)
			}
			fs.InjectError = nil
			mustCommit(t, l, true, put("c", "3"))
			mustClose(t, l)
			if modeChanges != 2 {
				t.Errorf(
					"%d changes of mode reported, want one when commits are rejected and one when they are accepted again",
					modeChanges,
				)
			}
			values := valuesOf(t, mustLoad(t, fs))
			if values["a"] != "1" || values["b"] != "" || values["c"] != "3" {
				t.Errorf("%v", values)
			}
		})
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
	if err != nil {
		t.Fatal(err)
	}
	var locked *vfs.LockedError
	if _, err := vfs.OpenLocked(
		path,
	); !errors.As(err, &locked) ||
		!strings.Contains(locked.Holder, fmt.Sprint(os.Getpid())) {
		t.Errorf("%v", err)
	}
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := vfs.OpenLocked(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestCommitAfterCloseIsRejected(t *testing.T) {
	l, _ := mustOpen(t, faultfs.New(), Options{})
	mustClose(t, l)
	if err := l.CommitSync(put("a", "1")); !errors.Is(err, ErrClosed) {
		t.Errorf("%v", err)
	}
}
