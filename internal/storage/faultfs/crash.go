package faultfs

import (
	"bytes"
	"math/rand/v2"
)

const sectorSize = 512

// Survival decides whether an unsynced piece survives a crash. The piece is "sector", "length", or the kind of an
// operation on the directory.
type Survival func(piece string) bool

// Pieces of an operation on a file.
const (
	changedSector = "sector"
	changedLength = "length"
)

// LoseUnsynced lets no unsynced piece survive.
func LoseUnsynced(string) bool { return false }

// KeepUnsynced lets every unsynced piece survive.
func KeepUnsynced(string) bool { return true }

// KeepSome lets each unsynced piece survive at random, with a probability that is drawn once.
func KeepSome(random *rand.Rand) Survival {
	probability := random.Float64()
	return func(string) bool { return random.Float64() < probability }
}

// diskState is the synced state of the disk, with the later operations that may or may not have reached it.
type diskState struct {
	files      map[int][]byte      // synced data by inode
	writes     map[int][]operation // operations on each inode since its last sync
	names      map[string]int      // synced directory: inode by file name
	dirChanges []operation         // operations on the directory since its last sync
}

func (d *diskState) add(o operation) {
	switch o.kind {
	case opWrite, opTruncate:
		d.writes[o.inode] = append(d.writes[o.inode], o)
	case opSync:
		for _, write := range d.writes[o.inode] {
			d.files[o.inode] = write.applyToFile(d.files[o.inode], KeepUnsynced)
		}
		delete(d.writes, o.inode)
	case opSyncDir:
		for _, write := range d.dirChanges {
			write.applyToNames(d.names)
		}
		d.dirChanges = nil
	default:
		d.dirChanges = append(d.dirChanges, o)
	}
}

// Crash simulates a crash after the given number of operations and returns the directory that it leaves. Everything in
// the returned directory is synced.
func (f *FS) Crash(after int, survives Survival) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := diskState{files: map[int][]byte{}, writes: map[int][]operation{}, names: map[string]int{}}
	for _, o := range f.operations[:after] {
		d.add(o)
	}
	for _, write := range d.dirChanges {
		if survives(write.kind.String()) {
			write.applyToNames(d.names)
		}
	}
	directory := New()
	directory.IgnoreSync = f.IgnoreSync
	for _, name := range sortedNames(d.names) {
		inode := d.names[name]
		data := bytes.Clone(d.files[inode])
		for _, write := range d.writes[inode] {
			data = write.applyToFile(data, survives)
		}
		directory.addSynced(name, data)
	}
	directory.record(operation{kind: opSyncDir})
	return directory
}

// addSynced adds a synced file.
func (f *FS) addSynced(name string, data []byte) {
	inode := f.addInode(data)
	f.names[name] = inode
	f.record(operation{kind: opCreate, name: name, inode: inode})
	f.record(operation{kind: opWrite, inode: inode, data: data})
	f.record(operation{kind: opSync, inode: inode})
}
