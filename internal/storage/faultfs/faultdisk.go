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

const sector = 512

type opKind uint8

const (
	opCreate opKind = iota
	opWrite
	opTruncate
	opSync
	opRename
	opRemove
	opSyncFolder
)

func (k opKind) String() string {
	return [...]string{"create", "write", "truncate", "sync", "rename", "remove", "sync folder"}[k]
}

type op struct {
	kind     opKind
	name, to string
	inode    int
	at       int
	data     []byte
}

// Disk is one.
type Disk struct {
	// Fail, where set, may fail an operation by its kind and file; a failed write leaves the first half of it.
	Fail func(kind, name string) error
	// NoSync lets syncs do nothing, as sabotage.
	NoSync bool

	mu     sync.Mutex
	ops    []op
	names  map[string]int
	inodes [][]byte
}

// New makes an empty one.
func New() *Disk { return &Disk{names: map[string]int{}} }

func (d *Disk) failing(k opKind, name string) error {
	if d.Fail == nil {
		return nil
	}
	return d.Fail(k.String(), name)
}

type file struct {
	d     *Disk
	inode int
	name  string
}

func (d *Disk) Create(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.names[name]; ok {
		return nil, &os.PathError{Op: "create", Path: name, Err: os.ErrExist}
	}
	if err := d.failing(opCreate, name); err != nil {
		return nil, err
	}
	d.inodes = append(d.inodes, nil)
	n := len(d.inodes) - 1
	d.names[name] = n
	d.ops = append(d.ops, op{kind: opCreate, name: name, inode: n})
	return &file{d, n, name}, nil
}

func (d *Disk) find(name string) (int, error) {
	n, ok := d.names[name]
	if !ok {
		return 0, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return n, nil
}

func (d *Disk) Append(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.find(name)
	return &file{d, n, name}, err
}

func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), d.inodes[n]...), nil
}

func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sorted(d.names), nil
}

func sorted(names map[string]int) []string {
	var all []string
	for n := range names {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}

func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.find(from)
	if err == nil {
		err = d.failing(opRename, to)
	}
	if err != nil {
		return err
	}
	delete(d.names, from)
	d.names[to] = n
	d.ops = append(d.ops, op{kind: opRename, name: from, to: to, inode: n})
	return nil
}

func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.find(name)
	if err == nil {
		err = d.failing(opRemove, name)
	}
	if err != nil {
		return err
	}
	delete(d.names, name)
	d.ops = append(d.ops, op{kind: opRemove, name: name, inode: n})
	return nil
}

func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.failing(opSyncFolder, ""); err != nil {
		return err
	}
	if !d.NoSync {
		d.ops = append(d.ops, op{kind: opSyncFolder})
	}
	return nil
}

func (f *file) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	err := f.d.failing(opWrite, f.name)
	if err != nil {
		p = p[:len(p)/2]
	}
	at := len(f.d.inodes[f.inode])
	f.d.inodes[f.inode] = append(f.d.inodes[f.inode], p...)
	f.d.ops = append(f.d.ops, op{kind: opWrite, inode: f.inode, at: at, data: append([]byte(nil), p...)})
	return len(p), err
}

func (f *file) Truncate(size int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.failing(opTruncate, f.name); err != nil {
		return err
	}
	f.d.inodes[f.inode] = resized(f.d.inodes[f.inode], int(size))
	f.d.ops = append(f.d.ops, op{kind: opTruncate, inode: f.inode, at: int(size)})
	return nil
}

func resized(p []byte, size int) []byte {
	if size <= len(p) {
		return p[:size:size]
	}
	return append(p[:len(p):len(p)], make([]byte, size-len(p))...)
}

func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.failing(opSync, f.name); err != nil {
		return err
	}
	if !f.d.NoSync {
		f.d.ops = append(f.d.ops, op{kind: opSync, inode: f.inode})
	}
	return nil
}

func (f *file) Close() error { return nil }

// Ops is the number of operations so far: a crash may come after each.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ops)
}

// Fate is what a crash does to what was not synced.
type Fate func(what string) bool

// Lost and Kept are the two ends of it; Mixed draws for each piece.
func Lost(string) bool { return false }
func Kept(string) bool { return true }
func Mixed(r *rand.Rand) Fate {
	p := r.Float64()
	return func(string) bool { return r.Float64() < p }
}

// Crash is the folder as it may be found when the machine stopped after so many operations.
func (d *Disk) Crash(after int, keep Fate) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	content := map[int][]byte{} // on disk for sure
	loose := map[int][]op{}     // of each file, since its last sync
	names := map[string]int{}
	var moves []op // of the folder, since its last sync
	for _, o := range d.ops[:after] {
		switch o.kind {
		case opWrite, opTruncate:
			loose[o.inode] = append(loose[o.inode], o)
		case opSync:
			for _, w := range loose[o.inode] {
				content[o.inode] = applied(content[o.inode], w, Kept)
			}
			delete(loose, o.inode)
		case opSyncFolder:
			for _, m := range moves {
				move(names, m)
			}
			moves = nil
		default:
			moves = append(moves, o)
		}
	}
	for _, m := range moves {
		if keep(m.kind.String()) {
			move(names, m)
		}
	}
	out := New()
	for _, name := range sorted(names) {
		n := names[name]
		p := append([]byte(nil), content[n]...)
		for _, w := range loose[n] {
			p = applied(p, w, keep)
		}
		out.inodes = append(out.inodes, p)
		i := len(out.inodes) - 1
		out.names[name] = i // what is found is on disk
		out.ops = append(out.ops, op{kind: opCreate, name: name, inode: i}, op{kind: opWrite, inode: i, data: p},
			op{kind: opSync, inode: i})
	}
	out.ops = append(out.ops, op{kind: opSyncFolder})
	out.NoSync = d.NoSync
	return out
}

// applied does one write or truncation, as far as it reached the disk.
func applied(p []byte, o op, keep Fate) []byte {
	if o.kind == opTruncate {
		if keep("length") {
			return resized(p, o.at)
		}
		return p
	}
	if keep("length") {
		p = resized(p, max(len(p), o.at+len(o.data)))
	}
	for from := 0; from < len(o.data); {
		to := min(len(o.data), from+sector-(o.at+from)%sector)
		if keep("sector") {
			p = resized(p, max(len(p), o.at+to))
			copy(p[o.at+from:], o.data[from:to])
		}
		from = to
	}
	return p
}

func move(names map[string]int, o op) {
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

// Flip turns one bit over.
func (d *Disk) Flip(name string, bit int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.find(name)
	if err != nil {
		return err
	}
	if bit < 0 || bit/8 >= len(d.inodes[n]) {
		return fmt.Errorf("%s has no bit %d", name, bit)
	}
	d.inodes[n][bit/8] ^= 1 << (bit % 8)
	return nil
}
