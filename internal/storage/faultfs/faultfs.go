// Package faultfs is an in-memory file system for tests. It injects errors, records every write, sync, rename and
// removal in order, and produces the states in which a crash may leave a directory.
//
// The crash model: synced data survives. Each unsynced sector of 512 bytes, change of a file's length and change of the
// directory may or may not have reached the disk, in any order. A rename is atomic.
package faultfs

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"

	"glenport/internal/storage/vfs"
)

// FS is a directory in memory. Its methods may be called from any goroutine.
type FS struct {
	// InjectError, if set, is called before each operation with its kind and the name of the file. If it returns an
	// error, the operation fails. A write that fails writes the first half of its data.
	InjectError func(kind, name string) error
	// IgnoreSync makes syncs succeed without effect, for mutation tests.
	IgnoreSync bool

	mu         sync.Mutex
	operations []operation
	names      map[string]int // inode by file name
	inodes     [][]byte       // contents by inode, synced or not
}

var _ vfs.FS = (*FS)(nil)

// New returns an empty directory.
func New() *FS { return &FS{names: map[string]int{}} }

// OperationCount is the number of operations so far. Crash simulates a crash after any of them.
func (f *FS) OperationCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.operations)
}

func (f *FS) injectedError(kind operationKind, name string) error {
	if f.InjectError == nil {
		return nil
	}
	return f.InjectError(kind.String(), name)
}

func (f *FS) record(o operation) { f.operations = append(f.operations, o) }

// addInode adds a file and returns its inode.
func (f *FS) addInode(data []byte) int {
	f.inodes = append(f.inodes, data)
	return len(f.inodes) - 1
}

func (f *FS) lookup(name string) (inode int, err error) {
	inode, ok := f.names[name]
	if !ok {
		return 0, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return inode, nil
}

// lookupForChange returns the inode of a file that an operation is about to change. It fails if there is no such file,
// or with the error that InjectError returns for the operation on target.
func (f *FS) lookupForChange(kind operationKind, name, target string) (inode int, err error) {
	inode, err = f.lookup(name)
	if err != nil {
		return 0, err
	}
	return inode, f.injectedError(kind, target)
}

// Create implements vfs.FS.
func (f *FS) Create(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.names[name]; ok {
		return nil, &os.PathError{Op: "create", Path: name, Err: os.ErrExist}
	}
	if err := f.injectedError(opCreate, name); err != nil {
		return nil, err
	}
	inode := f.addInode(nil)
	f.names[name] = inode
	f.record(operation{kind: opCreate, name: name, inode: inode})
	return &file{f, inode, name}, nil
}

// Append implements vfs.FS.
func (f *FS) Append(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode, err := f.lookup(name)
	if err != nil {
		return nil, err
	}
	return &file{f, inode, name}, nil
}

// Read implements vfs.FS.
func (f *FS) Read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode, err := f.lookup(name)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(f.inodes[inode]), nil
}

// List implements vfs.FS.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sortedNames(f.names), nil
}

func sortedNames(names map[string]int) []string { return slices.Sorted(maps.Keys(names)) }

// Rename implements vfs.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode, err := f.lookupForChange(opRename, from, to)
	if err != nil {
		return err
	}
	delete(f.names, from)
	f.names[to] = inode
	f.record(operation{kind: opRename, name: from, to: to, inode: inode})
	return nil
}

// Remove implements vfs.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode, err := f.lookupForChange(opRemove, name, name)
	if err != nil {
		return err
	}
	delete(f.names, name)
	f.record(operation{kind: opRemove, name: name, inode: inode})
	return nil
}

// Sync implements vfs.FS.
func (f *FS) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectedError(opSyncDir, ""); err != nil {
		return err
	}
	if !f.IgnoreSync {
		f.record(operation{kind: opSyncDir})
	}
	return nil
}

// FlipBit flips a bit of a file without recording an operation.
func (f *FS) FlipBit(name string, bit int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode, err := f.lookup(name)
	if err != nil {
		return err
	}
	if bit < 0 || bit/8 >= len(f.inodes[inode]) {
		return fmt.Errorf("%s has no bit %d", name, bit)
	}
	f.inodes[inode][bit/8] ^= 1 << (bit % 8)
	return nil
}

// file is an open file. It refers to the same inode after a rename.
type file struct {
	fs    *FS
	inode int
	name  string // name under which it was opened
}

func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	err := f.fs.injectedError(opWrite, f.name)
	if err != nil {
		p = p[:len(p)/2]
	}
	offset := len(f.fs.inodes[f.inode])
	f.fs.inodes[f.inode] = append(f.fs.inodes[f.inode], p...)
	f.fs.record(operation{kind: opWrite, inode: f.inode, offset: offset, data: bytes.Clone(p)})
	return len(p), err
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.injectedError(opTruncate, f.name); err != nil {
		return err
	}
	f.fs.inodes[f.inode] = resize(f.fs.inodes[f.inode], int(size))
	f.fs.record(operation{kind: opTruncate, inode: f.inode, offset: int(size)})
	return nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.injectedError(opSync, f.name); err != nil {
		return err
	}
	if !f.fs.IgnoreSync {
		f.fs.record(operation{kind: opSync, inode: f.inode})
	}
	return nil
}

func (f *file) Close() error { return nil }

// resize returns data truncated to a size or padded with zeros. It never writes to the array behind data.
func resize(data []byte, size int) []byte {
	if size <= len(data) {
		return data[:size:size]
	}
	return append(slices.Clip(data), make([]byte, size-len(data))...)
}
