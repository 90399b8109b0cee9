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

func (u *diskState) add(o operation) {
	switch o.kind {
	case opWrite, opTruncate:
		u.writes[o.inode] = append(u.writes[o.inode], o)
	case opSync:
		for _, write := range u.writes[o.inode] {
			u.files[o.inode] = write.applyToFile(u.files[o.inode], KeepUnsynced)
		}
		delete(u.writes, o.inode)
	case opSyncDir:
		for _, write := range u.dirChanges {
			write.applyToNames(u.names)
		}
		u.dirChanges = nil
	default:
		u.dirChanges = append(u.dirChanges, o)
	}
}

// Crash returns the directory in the state after a crash that follows the first after operations. Everything in the
// returned directory is synced.
func (f *FS) Crash(after int, survives Survival) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := diskState{files: map[int][]byte{}, writes: map[int][]operation{}, names: map[string]int{}}
	for _, o := range f.operations[:after] {
		u.add(o)
	}
	for _, write := range u.dirChanges {
		if survives(write.kind.String()) {
			write.applyToNames(u.names)
		}
	}
	found := New()
	found.IgnoreSync = f.IgnoreSync
	for _, name := range sortedNames(u.names) {
		inode := u.names[name]
		data := bytes.Clone(u.files[inode])
		for _, write := range u.writes[inode] {
			data = write.applyToFile(data, survives)
		}
		found.addSynced(name, data)
	}
	found.record(operation{kind: opSyncDir})
	return found
}

// addSynced adds a synced file.
func (f *FS) addSynced(name string, data []byte) {
	inode := f.addInode(data)
	f.names[name] = inode
	f.record(operation{kind: opCreate, name: name, inode: inode})
	f.record(operation{kind: opWrite, inode: inode, data: data})
	f.record(operation{kind: opSync, inode: inode})
}
