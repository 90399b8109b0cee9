package faultfs

// operationKind is a kind of operation that may fail, and that a crash may follow.
type operationKind uint8

const (
	opCreate operationKind = iota
	opWrite
	opTruncate
	opSync
	opRename
	opRemove
	opSyncDir
)

// String is the name that is passed to InjectError and Survival.
func (k operationKind) String() string {
	return [...]string{"create", "write", "truncate", "sync", "rename", "remove", "sync folder"}[k]
}

// operation is a recorded operation: one that succeeded, or the first half of a write that failed.
type operation struct {
	kind   operationKind
	name   string // name of the file that was created, renamed or removed
	to     string // new name of the file that was renamed
	inode  int
	offset int    // offset of a write, or new size for a truncation
	data   []byte // data of a write
}

// applyToNames applies an operation to the directory.
func (o operation) applyToNames(names map[string]int) {
	nameExists := func() bool {
		inode, ok := names[o.name]
		return ok && inode == o.inode
	}
	switch o.kind {
	case opCreate:
		names[o.name] = o.inode
	case opRename:
		if nameExists() {
			delete(names, o.name)
		}
		names[o.to] = o.inode
	case opRemove:
		if nameExists() {
			delete(names, o.name)
		}
	case opWrite, opTruncate, opSync, opSyncDir: // do not affect the directory
	}
}

// applyToFile applies the surviving pieces of a write or truncation and returns the new data of the file.
func (o operation) applyToFile(data []byte, survives Survival) []byte {
	if o.kind == opTruncate {
		if survives(changedLength) {
			return resize(data, o.offset)
		}
		return data
	}
	if survives(changedLength) {
		data = resize(data, max(len(data), o.offset+len(o.data)))
	}
	for from := 0; from < len(o.data); {
		to := min(len(o.data), from+sectorSize-(o.offset+from)%sectorSize)
		if survives(changedSector) {
			data = resize(data, max(len(data), o.offset+to))
			copy(data[o.offset+from:], o.data[from:to])
		}
		from = to
	}
	return data
}
