// Package vfs is the few operations on files that glenport's state needs, in one folder. The stores work through
// Folder, so that a laboratory can stand beneath them and make every crash that a file system allows.
package vfs

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

// FS is one with files in it.
type FS interface {
	Create(name string) (File, error) // it must not exist
	Append(name string) (File, error) // what exists, to be written on at its end
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error // replaces what is there, whole or not at all
	Remove(name string) error
	Sync() error // what was created, renamed and removed is on disk when it returns
}

// File is one that is written.
type File interface {
	Write(p []byte) (int, error)
	Sync() error // what was written is on disk when it returns
	Truncate(size int64) error
	Close() error
}

// LockedError says that another instance holds a folder.
type LockedError struct{ Path, Holder string }

func (o *LockedError) Error() string {
	return fmt.Sprintf("%s is held by another instance, %s: each needs a folder of its own", o.Path, o.Holder)
}

const lockFileName = "lock"

// Dir is a folder of the system's, held against other instances until Close.
type Dir struct {
	path string
	lock *os.File
}

// OpenLocked makes the folder where there is none, holds it, and sees that it can be written to.
func OpenLocked(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	l, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("state cannot be kept: %w", err)
	}
	if err := unix.Flock(int(l.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		by, _ := os.ReadFile(l.Name())
		l.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, &LockedError{path, strings.TrimSpace(string(by))}
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	d := &Dir{path, l}
	if err := l.Truncate(0); err == nil {
		_, err = l.WriteAt(fmt.Appendf(nil, "process %d\n", os.Getpid()), 0)
	}
	if err == nil {
		return d, nil
	}
	l.Close()
	return nil, fmt.Errorf("state cannot be kept: %w", err)
}

// OpenReadOnly opens a folder to be read only; another instance may hold it.
func OpenReadOnly(path string) (*Dir, error) {
	s, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !s.IsDir() {
		return nil, fmt.Errorf("%s is no folder", path)
	}
	return &Dir{path: path}, nil
}

// Close lets go of the folder.
func (d *Dir) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}

type osFile struct{ *os.File }

// Sync leaves out what tells only when a file was changed.
func (f osFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

func (d *Dir) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), flags|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d *Dir) Create(name string) (File, error) { return d.open(name, os.O_CREATE|os.O_EXCL) }
func (d *Dir) Append(name string) (File, error) { return d.open(name, 0) }
func (d *Dir) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}
func (d *Dir) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

func (d *Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d *Dir) List() ([]string, error) {
	all, err := os.ReadDir(d.path)
	var names []string
	for _, e := range all {
		if e.Name() != lockFileName && !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

func (d *Dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// WriteFileAtomic puts a file in the place of another, whole or not at all. A library for this would write past Folder,
// where the laboratory could not see it.
func WriteFileAtomic(d FS, name string, data []byte) error {
	fresh := name + TempSuffix
	if err := d.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	f, err := d.Create(fresh)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if c := f.Close(); err == nil {
		err = c
	}
	if err == nil {
		err = d.Rename(fresh, name)
	}
	if err != nil {
		d.Remove(fresh)
		return err
	}
	return d.Sync()
}

// TempSuffix ends the name of a file that is still being written; one left behind by a crash holds nothing.
const TempSuffix = ".new"
