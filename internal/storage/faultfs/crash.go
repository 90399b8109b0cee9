package faultfs

import (
	"bytes"
	"math/rand/v2"
)

const sectorSize = 512

// Survival decides for each piece that was not synced whether it survives a crash. The piece is "sector", "length", or
// the kind of an operation on the directory.
type Survival func(piece string) bool

// Pieces of a file.
const (
	changedSector = "sector"
	changedLength = "length"
)

// LoseUnsynced lets nothing survive that was not synced.
func LoseUnsynced(string) bool { return false }

// KeepUnsynced lets everything survive.
func KeepUnsynced(string) bool { return true }

// KeepSome draws for each piece, with a probability that is drawn first.
func KeepSome(random *rand.Rand) Survival {
	probability := random.Float64()
	return func(string) bool { return random.Float64() < probability }
}

// unsynced is what reached the disk for sure, and the operations since that may have reached it.
type unsynced struct {
	files     map[int][]byte      // synced data by inode
	writes    map[int][]operation // of each file since its last sync
	names     map[string]int      // synced directory
	dirWrites []operation         // of the directory since its last sync
}

func (u *unsynced) add(o operation) {
	switch o.kind {
	case opWrite, opTruncate:
		u.writes[o.inode] = append(u.writes[o.inode], o)
	case opSync:
		for _, write := range u.writes[o.inode] {
			u.files[o.inode] = write.applyToFile(u.files[o.inode], KeepUnsynced)
		}
		delete(u.writes, o.inode)
	case opSyncDir:
		for _, write := range u.dirWrites {
			write.applyToNames(u.names)
		}
		u.dirWrites = nil
	default:
		u.dirWrites = append(u.dirWrites, o)
	}
}

// Crash returns the directory as it may be found after a crash behind a number of operations. All that is found is on
// disk.
func (f *FS) Crash(after int, survives Survival) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := unsynced{files: map[int][]byte{}, writes: map[int][]operation{}, names: map[string]int{}}
	for _, o := range f.operations[:after] {
		u.add(o)
	}
	for _, write := range u.dirWrites {
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

// addSynced adds a file that is on disk.
func (f *FS) addSynced(name string, data []byte) {
	inode := f.addInode(data)
	f.names[name] = inode
	f.record(operation{kind: opCreate, name: name, inode: inode})
	f.record(operation{kind: opWrite, inode: inode, data: data})
	f.record(operation{kind: opSync, inode: inode})
}
