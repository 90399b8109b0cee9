package wal

import (
	"slices"

	"github.com/tidwall/btree"
)

// State holds the values of a directory by kind and key.
type State struct {
	Stats
	kinds map[string]*btree.Map[string, []byte]

	// The fields below are results of Load that recovery needs.

	skipChecksums     bool
	segments          []segmentFile // segments that follow the newest snapshot
	obsoleteFiles     []string      // names of files that are no longer needed
	lastValidSize     int           // size of the last segment without its torn tail, in bytes
	lastHeaderInvalid bool          // the header of the last segment is invalid, and the segment holds no group
}

// Stats describes the files of a directory.
type Stats struct {
	FirstGroup     uint64 // first group of the log; the snapshot includes the groups before it
	LastGroup      uint64
	Groups         int // number of groups read from the log
	Records        int // number of values
	Bytes          int // size of the snapshot and the log
	TruncatedBytes int // size of an unfinished group at the end of the log
}

func newState() *State { return &State{kinds: map[string]*btree.Map[string, []byte]{}} }

func (s *State) apply(changes []Change) {
	for _, change := range changes {
		values := s.kinds[change.Kind]
		if values == nil {
			values = &btree.Map[string, []byte]{}
			s.kinds[change.Kind] = values
		}
		if change.Value == nil {
			if _, existed := values.Delete(change.Key); existed {
				s.Records--
			}
		} else if _, existed := values.Set(change.Key, change.Value); !existed {
			s.Records++
		}
	}
}

// ForEach calls visit for each value of a kind, in the order of the keys. It stops at the first error and returns it.
func (s *State) ForEach(kind string, visit func(key string, value []byte) error) error {
	values := s.kinds[kind]
	if values == nil {
		return nil
	}
	var err error
	values.Scan(func(key string, value []byte) bool {
		err = visit(key, value)
		return err == nil
	})
	return err
}

// Kinds returns the kinds that have values, sorted.
func (s *State) Kinds() []string {
	var kinds []string
	for kind, values := range s.kinds {
		if values.Len() > 0 {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// Count returns the number of values of a kind.
func (s *State) Count(kind string) int {
	if values := s.kinds[kind]; values != nil {
		return values.Len()
	}
	return 0
}

// clone returns a copy that shares its values with s and may be read while s changes.
func (s *State) clone() *State {
	copied := &State{Stats: s.Stats, kinds: map[string]*btree.Map[string, []byte]{}}
	for kind, values := range s.kinds {
		copied.kinds[kind] = values.Copy()
	}
	return copied
}
