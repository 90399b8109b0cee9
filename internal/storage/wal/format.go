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
	Version    = 1
	logSort    = "GLENLOG"
	snapSort   = "GLENSNP"
	logName    = "log-"
	snapName   = "snapshot-"
	headerSize = 20
	frameSize  = 28
	mostFrame  = 64 << 20
)

var (
	mark  = []byte("\xf1glf")
	table = crc32.MakeTable(crc32.Castagnoli)
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

// Corrupt says where a file is not what was written.
type Corrupt struct {
	File string
	At   int // bytes from its start
	Text string
}

func (c *Corrupt) Error() string {
	return fmt.Sprintf("%s, at byte %d: %s; nothing was changed: put a good copy of the folder back; `glenport state export` gives what stands before the damage",
		c.File, c.At, c.Text)
}

// Newer says that a file was written by a later glenport.
type Newer struct {
	File    string
	Version int
}

func (n *Newer) Error() string {
	return fmt.Sprintf("%s is of version %d, this glenport knows %d: use the later one", n.File, n.Version, Version)
}

func header(sort string, first uint64) []byte {
	p := append([]byte(sort), Version)
	p = binary.BigEndian.AppendUint64(p, first)
	return binary.BigEndian.AppendUint32(p, crc32.Checksum(p, table))
}

func readHeader(file, sort string, p []byte, trust bool) (first uint64, err error) {
	switch {
	case len(p) < headerSize:
		return 0, &Corrupt{file, 0, fmt.Sprintf("%d bytes are too few for its beginning", len(p))}
	case !bytes.HasPrefix(p, []byte(sort)):
		return 0, &Corrupt{file, 0, "it does not begin as such a file does"}
	case !trust && crc32.Checksum(p[:16], table) != binary.BigEndian.Uint32(p[16:]):
		return 0, &Corrupt{file, 0, "the checksum of its beginning is wrong"}
	case p[7] > Version:
		return 0, &Newer{file, int(p[7])}
	case p[7] == 0:
		return 0, &Corrupt{file, 7, "there is no version 0"}
	}
	return binary.BigEndian.Uint64(p[8:]), nil
}

// frame appends one that holds a group of changes.
func frame(p []byte, number, safe uint64, body []byte) []byte {
	at := len(p)
	p = append(p, mark...)
	p = binary.BigEndian.AppendUint32(p, uint32(len(body)))
	p = binary.BigEndian.AppendUint64(p, number)
	p = binary.BigEndian.AppendUint64(p, safe)
	p = binary.BigEndian.AppendUint32(p, 0)
	p = append(p, body...)
	binary.BigEndian.PutUint32(p[at+24:], sum(p[at:]))
	return p
}

func sum(p []byte) uint32 {
	return crc32.Update(crc32.Checksum(p[4:24], table), table, p[frameSize:])
}

type framed struct {
	number, safe uint64
	body         []byte
	size         int
}

// readFrame reads the frame that p begins with; ok is false where there is none that is whole.
func readFrame(p []byte, trust bool) (f framed, ok bool) {
	if len(p) < frameSize || !bytes.HasPrefix(p, mark) {
		return f, false
	}
	n := int(binary.BigEndian.Uint32(p[4:]))
	if n > mostFrame || len(p) < frameSize+n {
		return f, false
	}
	f = framed{binary.BigEndian.Uint64(p[8:]), binary.BigEndian.Uint64(p[16:]), p[frameSize : frameSize+n], frameSize + n}
	return f, trust || sum(p[:f.size]) == binary.BigEndian.Uint32(p[24:])
}

// State is what a folder holds.
type State struct {
	Figures
	trust bool
	kinds map[string]*btree.Map[string, []byte]
	logs  []logFile // from the newest snapshot on
	stale []string  // files that hold nothing any more
	cut   int       // bytes of the last log that are good; -1: the file is to go
}

type logFile struct {
	name  string
	first uint64
	size  int
}

// Figures tell of a folder.
type Figures struct {
	Snapshot uint64 // the group from which on the log is read
	Last     uint64 // the last group
	Groups   int    // read from the log
	Records  int    // values there are
	Bytes    int    // of snapshot and log
	CutOff   int    // bytes of an unfinished group at the end of the log
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

// Each gives the values of a kind in the order of their keys.
func (s *State) Each(kind string, f func(key string, value []byte) error) error {
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

// copied shares what does not change.
func (s *State) copied() *State {
	out := &State{Figures: s.Figures, kinds: map[string]*btree.Map[string, []byte]{}}
	for k, t := range s.kinds {
		out.kinds[k] = t.Copy()
	}
	return out
}

func numbered(name, prefix string) (uint64, bool) {
	var n uint64
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || len(rest) != 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%016x", &n)
	return n, err == nil
}

// Read reads a folder and changes nothing in it. What a crash may leave is read over: a group that was never
// said to be kept at the end of the last log, and files that were being written. Everything else that is not as
// it was written is an error that names the place. With trust set the checksums are not looked at (sabotage).
func Read(d vfs.Folder, trust bool) (*State, error) {
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	s := newState()
	s.trust = trust
	var snaps, logs []logFile
	for _, name := range names {
		if n, ok := numbered(name, snapName); ok {
			snaps = append(snaps, logFile{name: name, first: n})
		} else if n, ok := numbered(name, logName); ok {
			logs = append(logs, logFile{name: name, first: n})
		} else if strings.HasSuffix(name, vfs.Unfinished) && (strings.HasPrefix(name, snapName) || strings.HasPrefix(name, logName)) {
			s.stale = append(s.stale, name)
		}
	}
	byFirst := func(l []logFile) { sort.Slice(l, func(a, b int) bool { return l[a].first < l[b].first }) }
	byFirst(snaps)
	byFirst(logs)
	next := uint64(1)
	if n := len(snaps); n > 0 {
		if err := s.readSnapshot(d, snaps[n-1]); err != nil {
			return s, err
		}
		next = snaps[n-1].first
		for _, old := range snaps[:n-1] {
			s.stale = append(s.stale, old.name)
		}
	}
	s.Snapshot, s.Last = next, next-1
	for len(logs) > 0 && logs[0].first < next {
		s.stale = append(s.stale, logs[0].name)
		logs = logs[1:]
	}
	for i := range logs {
		l := &logs[i]
		if l.first != s.Last+1 {
			return s, &Corrupt{l.name, 0, fmt.Sprintf("it begins with group %d, and the one wanted next is %d: a file is missing", l.first, s.Last+1)}
		}
		if err := s.readLog(d, l, i == len(logs)-1); err != nil {
			return s, err
		}
	}
	if len(logs) == 0 && len(snaps) > 0 && !slices.Contains(s.stale, logOf(next)+vfs.Unfinished) { // see mend
		return s, &Corrupt{snaps[len(snaps)-1].name, 0, fmt.Sprintf("the log from group %d on is missing", next)}
	}
	s.logs = logs
	return s, nil
}

func (s *State) decode(file string, at int, body []byte) error {
	var all []Change
	if err := cbor.Unmarshal(body, &all); err != nil {
		return &Corrupt{file, at, "its checksum is right and its changes cannot be read: " + err.Error()}
	}
	s.apply(all)
	return nil
}

// readSnapshot reads one whole: it was synced before it got its name, so no crash can have cut it short.
func (s *State) readSnapshot(d vfs.Folder, l logFile) error {
	p, err := d.Read(l.name)
	if err != nil {
		return err
	}
	first, err := readHeader(l.name, snapSort, p, s.trust)
	if err != nil {
		return err
	}
	if first != l.first {
		return &Corrupt{l.name, 8, fmt.Sprintf("its name does not fit its first group, %d", first)}
	}
	s.Bytes += len(p)
	for at, n := headerSize, uint64(0); ; n++ {
		f, ok := readFrame(p[at:], s.trust)
		if !ok || f.number != n && !s.trust {
			return &Corrupt{l.name, at, fmt.Sprintf("part %d of it is damaged", n)}
		}
		at += f.size
		if len(f.body) == 0 {
			if at != len(p) {
				return &Corrupt{l.name, at, "more follows its end"}
			}
			return nil
		}
		if err := s.decode(l.name, at, f.body); err != nil {
			return err
		}
	}
}

// readLog reads groups until one is not whole. That is the end of the log where a crash may have left it so: in
// the last file, with no whole group behind it that was written when this one was on disk already.
func (s *State) readLog(d vfs.Folder, l *logFile, last bool) error {
	p, err := d.Read(l.name)
	if err != nil {
		return err
	}
	l.size = len(p)
	s.Bytes += len(p)
	first, err := readHeader(l.name, logSort, p, s.trust)
	var newer *Newer
	if err != nil && (errors.As(err, &newer) || !last || s.follows(p, 0, l.first) > 0) {
		return err
	}
	if err != nil { // it was made, and nothing was kept in it yet
		s.cut, s.CutOff = -1, len(p)
		return nil
	}
	if first != l.first {
		return &Corrupt{l.name, 8, fmt.Sprintf("its name does not fit its first group, %d", first)}
	}
	at := headerSize
	for at < len(p) {
		f, ok := readFrame(p[at:], s.trust)
		if !ok || f.number != s.Last+1 {
			if !last {
				return &Corrupt{l.name, at, fmt.Sprintf("group %d is damaged; it was kept, as another file follows", s.Last+1)}
			}
			if n := s.follows(p, at, s.Last+1); n > 0 {
				return &Corrupt{l.name, at, fmt.Sprintf("group %d is damaged; it was kept, as group %d that follows tells", s.Last+1, n)}
			}
			s.CutOff = len(p) - at
			break
		}
		if err := s.decode(l.name, at, f.body); err != nil {
			return err
		}
		at += f.size
		s.Last++
		s.Groups++
	}
	s.cut = at
	return nil
}

// follows looks behind a damaged group for a whole one that was written when the damaged one was on disk, and
// returns its number.
func (s *State) follows(p []byte, from int, damaged uint64) uint64 {
	for at := from; ; at++ {
		i := bytes.Index(p[at:], mark)
		if i < 0 {
			return 0
		}
		at += i
		if f, ok := readFrame(p[at:], false); ok && f.number > damaged && f.safe >= damaged {
			return f.number
		}
	}
}
