package faultfs

// operationKind is one of the operations that may fail, or be followed by a crash.
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

// String is the kind as InjectError and Survival get it.
func (k operationKind) String() string {
	return [...]string{"create", "write", "truncate", "sync", "rename", "remove", "sync folder"}[k]
}

// operation is one that succeeded, or the half of a write that failed.
type operation struct {
	kind   operationKind
	name   string // of a file that was created, renamed or removed
	to     string // the new name of a file that was renamed
	inode  int
	offset int    // of a write; the new size for a truncation
	data   []byte // of a write
}

// applyToNames does an operation on the directory.
func (o operation) applyToNames(names map[string]int) {
	isThere := func() bool {
		inode, ok := names[o.name]
		return ok && inode == o.inode
	}
	switch o.kind {
	case opCreate:
		names[o.name] = o.inode
	case opRename:
		if isThere() {
			delete(names, o.name)
		}
		names[o.to] = o.inode
	case opRemove:
		if isThere() {
			delete(names, o.name)
		}
	case opWrite, opTruncate, opSync, opSyncDir: // they change no name
	}
}

// applyToFile does a write or truncation, as far as it survives, and returns the new data of the file.
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
