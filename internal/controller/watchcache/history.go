package watchcache

import "sort"

// historyLength is the number of recent changes that are kept for watches that resume.
const historyLength = 20_000

// history is a ring buffer of the most recent changes.
type history struct {
	changes          []*Object
	nextIndex        int   // index of the next write
	compactedVersion int64 // changes up to this version have been discarded
}

func (h *history) add(o *Object) {
	if len(h.changes) < historyLength {
		h.changes = append(h.changes, o)
	} else {
		h.compactedVersion = h.changes[h.nextIndex].Version
		h.changes[h.nextIndex] = o
	}
	h.nextIndex = (h.nextIndex + 1) % historyLength
}

// at returns the ith change, counted from the oldest.
func (h *history) at(i int) *Object {
	if len(h.changes) < historyLength {
		return h.changes[i]
	}
	return h.changes[(h.nextIndex+i)%historyLength]
}

// since returns the changes after a version, oldest first.
func (h *history) since(version int64) []*Object {
	first := sort.Search(len(h.changes), func(i int) bool { return h.at(i).Version > version })
	changes := make([]*Object, 0, len(h.changes)-first)
	for i := first; i < len(h.changes); i++ {
		changes = append(changes, h.at(i))
	}
	return changes
}
