package vfs

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"glenport/internal/testutil"
)

func mustOpen(t *testing.T, path string) *Dir {
	t.Helper()
	d, err := OpenLocked(path)
	testutil.NoError(t, err)
	t.Cleanup(func() {
		if err := d.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
			t.Error(err)
		}
	})
	return d
}

func mustWrite(t *testing.T, f File, err error, text string) {
	t.Helper()
	testutil.NoError(t, err)
	if _, err := f.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	testutil.NoError(t, f.Sync())
	testutil.NoError(t, f.Close())
}

func wantFile(t *testing.T, d FS, name, want string) {
	t.Helper()
	if p, err := d.Read(name); err != nil || string(p) != want {
		t.Errorf("%s holds %q, %v, want %q", name, p, err, want)
	}
}

func wantList(t *testing.T, d FS, want ...string) {
	t.Helper()
	if names, err := d.List(); err != nil || !slices.Equal(names, want) {
		t.Errorf("files %v, %v, want %v", names, err, want)
	}
}

func TestFolderIsCreatedAndItsLockNamesTheHolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "not", "yet")
	d := mustOpen(t, path)
	wantList(t, d)
	lock, err := os.ReadFile(filepath.Join(path, "lock"))
	testutil.Expect(t, err == nil && string(lock) == fmt.Sprintf("process %d\n", os.Getpid()),
		"lock file %q, %v", lock, err)
	for name, mode := range map[string]fs.FileMode{".": 0o755, "lock": 0o644} { // the umask may clear bits
		info, err := os.Stat(filepath.Join(path, name))
		testutil.NoError(t, err)
		if info.Mode().Perm()&^mode != 0 || info.Mode().Perm()&0o600 != 0o600 {
			t.Errorf("%s: mode %v", name, info.Mode())
		}
	}
}

func TestFolderIsLockedUntilClosed(t *testing.T) {
	path := t.TempDir()
	d := mustOpen(t, path)
	_, err := OpenLocked(path)
	locked, ok := errors.AsType[*LockedError](err)
	testutil.Require(t, ok && locked.Path == path && locked.Holder == fmt.Sprint("process ", os.Getpid()),
		"opened twice: %v", err)
	want := fmt.Sprintf("%s is locked by another instance, process %d: each needs its own folder", path, os.Getpid())
	testutil.Expect(t, locked.Error() == want, "text %v, want %s", locked, want)
	testutil.NoError(t, d.Close())
	mustOpen(t, path)
}

func TestLockedFolderMayBeRead(t *testing.T) {
	path := t.TempDir()
	d := mustOpen(t, path)
	f, err := d.Create("a")
	mustWrite(t, f, err, "text")
	read, err := OpenReadOnly(path)
	testutil.NoError(t, err)
	wantList(t, read, "a")
	wantFile(t, read, "a", "text")
	testutil.ExpectNoError(t, read.Close())
	if _, err := OpenReadOnly(filepath.Join(path, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing folder: %v", err)
	}
	file := filepath.Join(path, "a")
	if _, err := OpenReadOnly(file); err == nil || err.Error() != file+" is not a folder" {
		t.Errorf("a file instead of a folder: %v", err)
	}
}

func TestFolderThatCannotBeCreatedIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	testutil.WriteFile(t, path, nil)
	var pathErr *fs.PathError
	if _, err := OpenLocked(path); !errors.As(err, &pathErr) {
		t.Errorf("%v", err)
	}
	path = t.TempDir()
	testutil.NoError(t, os.Mkdir(filepath.Join(path, "lock"), 0o755))
	if _, err := OpenLocked(path); !errors.As(err, &pathErr) {
		t.Errorf("a folder instead of the lock file: %v", err)
	}
}

func TestFilesAreCreatedAppendedRenamedAndRemoved(t *testing.T) {
	path := t.TempDir()
	d := mustOpen(t, path)
	f, err := d.Create("a")
	mustWrite(t, f, err, "one")
	if _, err := d.Create("a"); !errors.Is(err, os.ErrExist) {
		t.Errorf("created twice: %v", err)
	}
	f, err = d.Append("a")
	mustWrite(t, f, err, " two")
	wantFile(t, d, "a", "one two")
	f, err = d.Append("a")
	testutil.NoError(t, err)
	testutil.NoError(t, f.Truncate(3))
	mustWrite(t, f, nil, " three") // appended at the end after the truncation
	wantFile(t, d, "a", "one three")
	f, err = d.Create("b")
	mustWrite(t, f, err, "other")
	testutil.NoError(t, d.Rename("a", "b"))
	testutil.NoError(t, os.Mkdir(filepath.Join(path, "folder"), 0o755))
	wantList(t, d, "b")
	wantFile(t, d, "b", "one three")
	testutil.ExpectNoError(t, d.Sync())
	testutil.ExpectNoError(t, d.Remove("b"))
	_, appended := d.Append("b")
	_, read := d.Read("b")
	for _, err := range []error{appended, read, d.Remove("b"), d.Rename("b", "c")} {
		testutil.Expect(t, errors.Is(err, os.ErrNotExist), "a missing file: %v", err)
	}
}

func TestWriteFileAtomicReplacesAndLeavesNoTempFile(t *testing.T) {
	d := mustOpen(t, t.TempDir())
	f, err := d.Create("a" + TempSuffix)
	mustWrite(t, f, err, "left by a crash")
	for _, text := range []string{"one", "two"} {
		testutil.NoError(t, WriteFileAtomic(d, "a", []byte(text)))
		wantFile(t, d, "a", text)
		wantList(t, d, "a")
	}
	testutil.Expect(t, TempSuffix == ".new", "the suffix of temporary files is %s", TempSuffix)
}
