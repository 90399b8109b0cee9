package vfs

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	lockFileName = "lock"

	dirMode  = 0o755
	fileMode = 0o644
)

// LockedError reports that another process holds the lock of a directory.
type LockedError struct {
	Path   string
	Holder string // contents of the lock file
}

func (e *LockedError) Error() string {
	return fmt.Sprintf("%s is locked by another instance, %s: each needs its own folder", e.Path, e.Holder)
}

// Dir is a directory in the file system of the operating system.
type Dir struct {
	path string
	lock *os.File // nil if the directory was opened with OpenReadOnly
}

var _ FS = (*Dir)(nil)

// OpenLocked creates the directory if needed, locks it against other processes until Close, and checks that it can be
// written to. It returns a *LockedError if another process has locked it.
func OpenLocked(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("cannot open lock file: %w", err)
	}
	if err := acquireLock(lock, path); err != nil {
		_ = lock.Close() // nothing was written, so the error can be ignored
		return nil, err
	}
	if err := writeHolder(lock); err != nil {
		_ = lock.Close() // the error of the write is reported
		return nil, fmt.Errorf("cannot write lock file: %w", err)
	}
	return &Dir{path, lock}, nil
}

// acquireLock locks the lock file, or returns a *LockedError if another process holds the lock.
func acquireLock(lock *os.File, path string) error {
	err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return nil
	}
	if !errors.Is(err, unix.EWOULDBLOCK) {
		return fmt.Errorf("%s: %w", path, err)
	}
	holder, _ := os.ReadFile(lock.Name()) // if reading fails, the holder is left empty
	return &LockedError{path, strings.TrimSpace(string(holder))}
}

func writeHolder(lock *os.File) error {
	if err := lock.Truncate(0); err != nil {
		return err
	}
	_, err := lock.WriteAt(fmt.Appendf(nil, "process %d\n", os.Getpid()), 0)
	return err
}

// OpenReadOnly opens an existing directory without a lock, so that it can be read while another process has locked it.
func OpenReadOnly(path string) (*Dir, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a folder", path)
	}
	return &Dir{path: path}, nil
}

// Close releases the lock.
func (d *Dir) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}

func (d *Dir) join(name string) string { return filepath.Join(d.path, name) }

// Create implements FS.
func (d *Dir) Create(name string) (File, error) { return d.openFile(name, os.O_CREATE|os.O_EXCL) }

// Append implements FS.
func (d *Dir) Append(name string) (File, error) { return d.openFile(name, 0) }

func (d *Dir) openFile(name string, flags int) (File, error) {
	file, err := os.OpenFile(d.join(name), flags|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Read implements FS.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

// List implements FS. It omits directories and the lock file.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, entry := range entries {
		if entry.Name() != lockFileName && !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// Rename implements FS.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// Remove implements FS.
func (d *Dir) Remove(name string) error { return os.Remove(d.join(name)) }

// Sync implements FS.
func (d *Dir) Sync() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	_ = dir.Close() // opened only for reading, so the error can be ignored
	return err
}

type osFile struct{ *os.File }

// Sync does not sync metadata that is not needed to read the file, such as its times.
func (f osFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }
