// Package faultfs is the laboratory's folder: it lives in memory, keeps every write, sync, rename and removal
// in order, fails on demand, and makes the states in which a crash may leave a folder. What it allows: of all that
// was not synced each sector of 512 bytes, each change of a file's length, and each change of the folder may have
// reached the disk or not, in any order; a rename is whole or not at all; what was synced stays.
package faultfs

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"

	"glenport/internal/storage/vfs"
)

const sectorSize = 512

type operationKind uint8

const (
	opCreate operationKind = iota
	opWrite
	opTruncate
	opSync
	opRename
	opRemove
	opSyncFolder
)

func (k operationKind) String() string {
	return [...]string{"create", "write", "truncate", "sync", "rename", "remove", "sync folder"}[k]
}

type operation struct {
	kind     operationKind
	name, to string
	inode    int
	at       int
	data     []byte
}

// FS is one.
type FS struct {
	// Fail, where set, may fail an operation by its kind and file; a failed write leaves the first half of it.
	InjectError func(kind, name string) error
	// IgnoreSync lets syncs do nothing, as sabotage.
	IgnoreSync bool

	mu         sync.Mutex
	operations []operation
	names      map[string]int
	inodes     [][]byte
}

// New makes an empty one.
func New() *FS { return &FS{names: map[string]int{}} }

func (d *FS) injectedError(k operationKind, name string) error {
	if d.InjectError == nil {
		return nil
	}
	return d.InjectError(k.String(), name)
}

type file struct {
	d     *FS
	inode int
	name  string
}

func (d *FS) Create(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.names[name]; ok {
		return nil, &os.PathError{Op: "create", Path: name, Err: os.ErrExist}
	}
	if err := d.injectedError(opCreate, name); err != nil {
		return nil, err
	}
	d.inodes = append(d.inodes, nil)
	n := len(d.inodes) - 1
	d.names[name] = n
	d.operations = append(d.operations, operation{kind: opCreate, name: name, inode: n})
	return &file{d, n, name}, nil
}

func (d *FS) lookup(name string) (int, error) {
	n, ok := d.names[name]
	if !ok {
		return 0, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return n, nil
}

func (d *FS) Append(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(name)
	return &file{d, n, name}, err
}

func (d *FS) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(name)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), d.inodes[n]...), nil
}

func (d *FS) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedNames(d.names), nil
}

func sortedNames(names map[string]int) []string {
	var all []string
	for n := range names {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}

func (d *FS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(from)
	if err == nil {
		err = d.injectedError(opRename, to)
	}
	if err != nil {
		return err
	}
	delete(d.names, from)
	d.names[to] = n
	d.operations = append(d.operations, operation{kind: opRename, name: from, to: to, inode: n})
	return nil
}

func (d *FS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(name)
	if err == nil {
		err = d.injectedError(opRemove, name)
	}
	if err != nil {
		return err
	}
	delete(d.names, name)
	d.operations = append(d.operations, operation{kind: opRemove, name: name, inode: n})
	return nil
}

func (d *FS) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectedError(opSyncFolder, ""); err != nil {
		return err
	}
	if !d.IgnoreSync {
		d.operations = append(d.operations, operation{kind: opSyncFolder})
	}
	return nil
}

func (f *file) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	err := f.d.injectedError(opWrite, f.name)
	if err != nil {
		p = p[:len(p)/2]
	}
	at := len(f.d.inodes[f.inode])
	f.d.inodes[f.inode] = append(f.d.inodes[f.inode], p...)
	f.d.operations = append(f.d.operations, operation{kind: opWrite, inode: f.inode, at: at, data: append([]byte(nil), p...)})
	return len(p), err
}

func (f *file) Truncate(size int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.injectedError(opTruncate, f.name); err != nil {
		return err
	}
	f.d.inodes[f.inode] = resize(f.d.inodes[f.inode], int(size))
	f.d.operations = append(f.d.operations, operation{kind: opTruncate, inode: f.inode, at: int(size)})
	return nil
}

func resize(p []byte, size int) []byte {
	if size <= len(p) {
		return p[:size:size]
	}
	return append(p[:len(p):len(p)], make([]byte, size-len(p))...)
}

func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.injectedError(opSync, f.name); err != nil {
		return err
	}
	if !f.d.IgnoreSync {
		f.d.operations = append(f.d.operations, operation{kind: opSync, inode: f.inode})
	}
	return nil
}

func (f *file) Close() error { return nil }

// OperationCount is the number of operations so far: a crash may come after each.
func (d *FS) OperationCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.operations)
}

// Survival is what a crash does to what was not synced.
type Survival func(what string) bool

// LoseUnsynced and Kept are the two ends of it; Mixed draws for each piece.
func LoseUnsynced(string) bool { return false }
func KeepUnsynced(string) bool { return true }
func KeepSome(r *rand.Rand) Survival {
	p := r.Float64()
	return func(string) bool { return r.Float64() < p }
}

// Crash is the folder as it may be found when the machine stopped after so many operations.
func (d *FS) Crash(after int, keep Survival) *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	content := map[int][]byte{}    // on disk for sure
	loose := map[int][]operation{} // of each file, since its last sync
	names := map[string]int{}
	var moves []operation // of the folder, since its last sync
	for _, o := range d.operations[:after] {
		switch o.kind {
		case opWrite, opTruncate:
			loose[o.inode] = append(loose[o.inode], o)
		case opSync:
			for _, w := range loose[o.inode] {
				content[o.inode] = applyToFile(content[o.inode], w, KeepUnsynced)
			}
			delete(loose, o.inode)
		case opSyncFolder:
			for _, m := range moves {
				applyToNames(names, m)
			}
			moves = nil
		default:
			moves = append(moves, o)
		}
	}
	for _, m := range moves {
		if keep(m.kind.String()) {
			applyToNames(names, m)
		}
	}
	out := New()
	for _, name := range sortedNames(names) {
		n := names[name]
		p := append([]byte(nil), content[n]...)
		for _, w := range loose[n] {
			p = applyToFile(p, w, keep)
		}
		out.inodes = append(out.inodes, p)
		i := len(out.inodes) - 1
		out.names[name] = i // what is found is on disk
		out.operations = append(out.operations, operation{kind: opCreate, name: name, inode: i}, operation{kind: opWrite, inode: i, data: p},
			operation{kind: opSync, inode: i})
	}
	out.operations = append(out.operations, operation{kind: opSyncFolder})
	out.IgnoreSync = d.IgnoreSync
	return out
}

// applyToFile does one write or truncation, as far as it reached the disk.
func applyToFile(p []byte, o operation, keep Survival) []byte {
	if o.kind == opTruncate {
		if keep("length") {
			return resize(p, o.at)
		}
		return p
	}
	if keep("length") {
		p = resize(p, max(len(p), o.at+len(o.data)))
	}
	for from := 0; from < len(o.data); {
		to := min(len(o.data), from+sectorSize-(o.at+from)%sectorSize)
		if keep("sector") {
			p = resize(p, max(len(p), o.at+to))
			copy(p[o.at+from:], o.data[from:to])
		}
		from = to
	}
	return p
}

func applyToNames(names map[string]int, o operation) {
	switch o.kind {
	case opCreate:
		names[o.name] = o.inode
	case opRename:
		if names[o.name] == o.inode {
			delete(names, o.name)
		}
		names[o.to] = o.inode
	case opRemove:
		if n, ok := names[o.name]; ok && n == o.inode {
			delete(names, o.name)
		}
	}
}

// FlipBit turns one bit over.
func (d *FS) FlipBit(name string, bit int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(name)
	if err != nil {
		return err
	}
	if bit < 0 || bit/8 >= len(d.inodes[n]) {
		return fmt.Errorf("%s has no bit %d", name, bit)
	}
	d.inodes[n][bit/8] ^= 1 << (bit % 8)
	return nil
}
