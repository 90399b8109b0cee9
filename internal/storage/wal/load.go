package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"sort"
	"strings"

	"glenport/internal/storage/vfs"

	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/btree"
)

// A log file and a snapshot begin alike: eight bytes that name sort and version, the number of the first group
// that follows, and a checksum of both. Then come frames: a mark, the length of what it holds, the group's number,
// the number up to which all groups were on disk when it was written, a checksum, and the changes in CBOR. A
// snapshot ends with an empty frame.
const (
	FormatVersion   = 1
	segmentMagic    = "GLENLOG"
	snapshotMagic   = "GLENSNP"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	headerSize      = 20
	groupHeaderSize = 28
	maxGroupBody    = 64 << 20
)

var (
	groupMagic = []byte("\xf1glf")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Change puts a value, or takes it out where it is nil.
type Change struct {
	_     struct{} `cbor:",toarray"`
	Kind  string   `cbor:"Kind"`
	Key   string   `cbor:"Key"`
	Value []byte   `cbor:"Value"`
}

// Put is a change that puts a value in CBOR.
func Put(kind, key string, value any) Change {
	v, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // what is kept always encodes
	}
	return Change{Kind: kind, Key: key, Value: v}
}

// CorruptionError says where a file is not what was written.
type CorruptionError struct {
	File   string
	Offset int // bytes from its start
	Detail string
}

func (c *CorruptionError) Error() string {
	return fmt.Sprintf("%s, at byte %d: %s; nothing was changed: put a good copy of the folder back; `glenport state export` gives what stands before the damage",
		c.File, c.Offset, c.Detail)
}

// UnsupportedVersionError says that a file was written by a later glenport.
type UnsupportedVersionError struct {
	File    string
	Version int
}

func (n *UnsupportedVersionError) Error() string {
	return fmt.Sprintf("%s is of version %d, this glenport knows %d: use the later one", n.File, n.Version, FormatVersion)
}

func appendFileHeader(sort string, first uint64) []byte {
	p := append([]byte(sort), FormatVersion)
	p = binary.BigEndian.AppendUint64(p, first)
	return binary.BigEndian.AppendUint32(p, crc32.Checksum(p, castagnoli))
}

func parseFileHeader(file, sort string, p []byte, trust bool) (first uint64, err error) {
	switch {
	case len(p) < headerSize:
		return 0, &CorruptionError{file, 0, fmt.Sprintf("%d bytes are too few for its beginning", len(p))}
	case !bytes.HasPrefix(p, []byte(sort)):
		return 0, &CorruptionError{file, 0, "it does not begin as such a file does"}
	case !trust && crc32.Checksum(p[:16], castagnoli) != binary.BigEndian.Uint32(p[16:]):
		return 0, &CorruptionError{file, 0, "the checksum of its beginning is wrong"}
	case p[7] > FormatVersion:
		return 0, &UnsupportedVersionError{file, int(p[7])}
	case p[7] == 0:
		return 0, &CorruptionError{file, 7, "there is no version 0"}
	}
	return binary.BigEndian.Uint64(p[8:]), nil
}

// appendGroup appends one that holds a group of changes.
func appendGroup(p []byte, number, safe uint64, body []byte) []byte {
	at := len(p)
	p = append(p, groupMagic...)
	p = binary.BigEndian.AppendUint32(p, uint32(len(body)))
	p = binary.BigEndian.AppendUint64(p, number)
	p = binary.BigEndian.AppendUint64(p, safe)
	p = binary.BigEndian.AppendUint32(p, 0)
	p = append(p, body...)
	binary.BigEndian.PutUint32(p[at+24:], groupChecksum(p[at:]))
	return p
}

func groupChecksum(p []byte) uint32 {
	return crc32.Update(crc32.Checksum(p[4:24], castagnoli), castagnoli, p[groupHeaderSize:])
}

type groupFrame struct {
	sequence, durableThrough uint64
	body                     []byte
	size                     int
}

// parseGroup reads the frame that p begins with; ok is false where there is none that is whole.
func parseGroup(p []byte, trust bool) (f groupFrame, ok bool) {
	if len(p) < groupHeaderSize || !bytes.HasPrefix(p, groupMagic) {
		return f, false
	}
	n := int(binary.BigEndian.Uint32(p[4:]))
	if n > maxGroupBody || len(p) < groupHeaderSize+n {
		return f, false
	}
	f = groupFrame{binary.BigEndian.Uint64(p[8:]), binary.BigEndian.Uint64(p[16:]), p[groupHeaderSize : groupHeaderSize+n], groupHeaderSize + n}
	return f, trust || groupChecksum(p[:f.size]) == binary.BigEndian.Uint32(p[24:])
}

// State is what a folder holds.
type State struct {
	Stats
	skipChecksums bool
	kinds         map[string]*btree.Map[string, []byte]
	segments      []segmentFile // from the newest snapshot on
	obsolete      []string      // files that hold nothing any more
	validSize     int           // bytes of the last log that are good; -1: the file is to go
}

type segmentFile struct {
	name  string
	first uint64
	size  int
}

// Stats tell of a folder.
type Stats struct {
	FirstGroup     uint64 // the group from which on the log is read
	LastGroup      uint64 // the last group
	Groups         int    // read from the log
	Records        int    // values there are
	Bytes          int    // of snapshot and log
	TruncatedBytes int    // bytes of an unfinished group at the end of the log
}

func newState() *State { return &State{kinds: map[string]*btree.Map[string, []byte]{}} }

func (s *State) apply(all []Change) {
	for _, c := range all {
		t := s.kinds[c.Kind]
		if t == nil {
			t = &btree.Map[string, []byte]{}
			s.kinds[c.Kind] = t
		}
		if c.Value == nil {
			if _, was := t.Delete(c.Key); was {
				s.Records--
			}
		} else if _, was := t.Set(c.Key, c.Value); !was {
			s.Records++
		}
	}
}

// ForEach gives the values of a kind in the order of their keys.
func (s *State) ForEach(kind string, f func(key string, value []byte) error) error {
	var err error
	if t := s.kinds[kind]; t != nil {
		t.Scan(func(key string, value []byte) bool {
			err = f(key, value)
			return err == nil
		})
	}
	return err
}

// Kinds are those that have values, in order; Count is how many one has.
func (s *State) Kinds() []string {
	var all []string
	for k, t := range s.kinds {
		if t.Len() > 0 {
			all = append(all, k)
		}
	}
	sort.Strings(all)
	return all
}

func (s *State) Count(kind string) int {
	if t := s.kinds[kind]; t != nil {
		return t.Len()
	}
	return 0
}

// clone shares what does not change.
func (s *State) clone() *State {
	out := &State{Stats: s.Stats, kinds: map[string]*btree.Map[string, []byte]{}}
	for k, t := range s.kinds {
		out.kinds[k] = t.Copy()
	}
	return out
}

func parseFileName(name, prefix string) (uint64, bool) {
	var n uint64
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || len(rest) != 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%016x", &n)
	return n, err == nil
}

// Load reads a folder and changes nothing in it. What a crash may leave is read over: a group that was never
// said to be kept at the end of the last log, and files that were being written. Everything else that is not as
// it was written is an error that names the place. With trust set the checksums are not looked at (sabotage).
func Load(d vfs.FS, trust bool) (*State, error) {
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	s := newState()
	s.skipChecksums = trust
	var snaps, logs []segmentFile
	for _, name := range names {
		if n, ok := parseFileName(name, snapshotPrefix); ok {
			snaps = append(snaps, segmentFile{name: name, first: n})
		} else if n, ok := parseFileName(name, segmentPrefix); ok {
			logs = append(logs, segmentFile{name: name, first: n})
		} else if strings.HasSuffix(name, vfs.TempSuffix) && (strings.HasPrefix(name, snapshotPrefix) || strings.HasPrefix(name, segmentPrefix)) {
			s.obsolete = append(s.obsolete, name)
		}
	}
	byFirst := func(l []segmentFile) { sort.Slice(l, func(a, b int) bool { return l[a].first < l[b].first }) }
	byFirst(snaps)
	byFirst(logs)
	next := uint64(1)
	if n := len(snaps); n > 0 {
		if err := s.readSnapshot(d, snaps[n-1]); err != nil {
			return s, err
		}
		next = snaps[n-1].first
		for _, old := range snaps[:n-1] {
			s.obsolete = append(s.obsolete, old.name)
		}
	}
	s.FirstGroup, s.LastGroup = next, next-1
	for len(logs) > 0 && logs[0].first < next {
		s.obsolete = append(s.obsolete, logs[0].name)
		logs = logs[1:]
	}
	for i := range logs {
		l := &logs[i]
		if l.first != s.LastGroup+1 {
			return s, &CorruptionError{l.name, 0, fmt.Sprintf("it begins with group %d, and the one wanted next is %d: a file is missing", l.first, s.LastGroup+1)}
		}
		if err := s.readSegment(d, l, i == len(logs)-1); err != nil {
			return s, err
		}
	}
	if len(logs) == 0 && len(snaps) > 0 && !slices.Contains(s.obsolete, segmentName(next)+vfs.TempSuffix) { // see mend
		return s, &CorruptionError{snaps[len(snaps)-1].name, 0, fmt.Sprintf("the log from group %d on is missing", next)}
	}
	s.segments = logs
	return s, nil
}

func (s *State) applyGroup(file string, at int, body []byte) error {
	var all []Change
	if err := cbor.Unmarshal(body, &all); err != nil {
		return &CorruptionError{file, at, "its checksum is right and its changes cannot be read: " + err.Error()}
	}
	s.apply(all)
	return nil
}

// readSnapshot reads one whole: it was synced before it got its name, so no crash can have cut it short.
func (s *State) readSnapshot(d vfs.FS, l segmentFile) error {
	p, err := d.Read(l.name)
	if err != nil {
		return err
	}
	first, err := parseFileHeader(l.name, snapshotMagic, p, s.skipChecksums)
	if err != nil {
		return err
	}
	if first != l.first {
		return &CorruptionError{l.name, 8, fmt.Sprintf("its name does not fit its first group, %d", first)}
	}
	s.Bytes += len(p)
	for at, n := headerSize, uint64(0); ; n++ {
		f, ok := parseGroup(p[at:], s.skipChecksums)
		if !ok || f.sequence != n && !s.skipChecksums {
			return &CorruptionError{l.name, at, fmt.Sprintf("part %d of it is damaged", n)}
		}
		at += f.size
		if len(f.body) == 0 {
			if at != len(p) {
				return &CorruptionError{l.name, at, "more follows its end"}
			}
			return nil
		}
		if err := s.applyGroup(l.name, at, f.body); err != nil {
			return err
		}
	}
}

// readSegment reads groups until one is not whole. That is the end of the log where a crash may have left it so: in
// the last file, with no whole group behind it that was written when this one was on disk already.
func (s *State) readSegment(d vfs.FS, l *segmentFile, last bool) error {
	p, err := d.Read(l.name)
	if err != nil {
		return err
	}
	l.size = len(p)
	s.Bytes += len(p)
	first, err := parseFileHeader(l.name, segmentMagic, p, s.skipChecksums)
	var newer *UnsupportedVersionError
	if err != nil && (errors.As(err, &newer) || !last || s.laterDurableGroup(p, 0, l.first) > 0) {
		return err
	}
	if err != nil { // it was made, and nothing was kept in it yet
		s.validSize, s.TruncatedBytes = -1, len(p)
		return nil
	}
	if first != l.first {
		return &CorruptionError{l.name, 8, fmt.Sprintf("its name does not fit its first group, %d", first)}
	}
	at := headerSize
	for at < len(p) {
		f, ok := parseGroup(p[at:], s.skipChecksums)
		if !ok || f.sequence != s.LastGroup+1 {
			if !last {
				return &CorruptionError{l.name, at, fmt.Sprintf("group %d is damaged; it was kept, as another file follows", s.LastGroup+1)}
			}
			if n := s.laterDurableGroup(p, at, s.LastGroup+1); n > 0 {
				return &CorruptionError{l.name, at, fmt.Sprintf("group %d is damaged; it was kept, as group %d that follows tells", s.LastGroup+1, n)}
			}
			s.TruncatedBytes = len(p) - at
			break
		}
		if err := s.applyGroup(l.name, at, f.body); err != nil {
			return err
		}
		at += f.size
		s.LastGroup++
		s.Groups++
	}
	s.validSize = at
	return nil
}

// laterDurableGroup looks behind a damaged group for a whole one that was written when the damaged one was on disk, and
// returns its number.
func (s *State) laterDurableGroup(p []byte, from int, damaged uint64) uint64 {
	for at := from; ; at++ {
		i := bytes.Index(p[at:], groupMagic)
		if i < 0 {
			return 0
		}
		at += i
		if f, ok := parseGroup(p[at:], false); ok && f.sequence > damaged && f.durableThrough >= damaged {
			return f.sequence
		}
	}
}
