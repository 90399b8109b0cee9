package wal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"glenport/internal/storage/vfs"
)

// segmentFile is a segment or a snapshot of a directory.
type segmentFile struct {
	name  string
	first uint64
	size  int // in bytes; set when a segment is read
}

// segmentPosition tells whether another segment follows a segment. A crash can have cut only the last one short.
type segmentPosition uint8

const (
	segmentFollowed segmentPosition = iota
	segmentLast
)

// Load reads a directory and changes nothing in it. What a crash may leave is tolerated: an unacknowledged group at the
// end of the last segment, and files that were being written. Everything else that is not as it was written is a
// *CorruptionError or *UnsupportedVersionError; the state up to there is returned with it. With skipChecksums set the
// checksums are not compared.
func Load(fs vfs.FS, skipChecksums bool) (*State, error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	s := newState()
	s.skipChecksums = skipChecksums
	snapshots, segments := s.classify(names)
	next := uint64(1)
	if n := len(snapshots); n > 0 {
		newest := snapshots[n-1]
		if err := s.readSnapshot(fs, newest); err != nil {
			return s, err
		}
		next = newest.first
		s.markObsolete(snapshots[:n-1])
	}
	s.FirstGroup, s.LastGroup = next, next-1
	covered := 0
	for covered < len(segments) && segments[covered].first < next {
		covered++
	}
	s.markObsolete(segments[:covered])
	segments = segments[covered:]
	if err := s.readSegments(fs, segments); err != nil {
		return s, err
	}
	// A snapshot without the log that follows it is only legitimate while a rewrite is under way.
	if len(segments) == 0 && len(snapshots) > 0 && !slices.Contains(s.obsolete, rewriteMarkerName(next)) {
		detail := fmt.Sprintf("the log from group %d on is missing", next)
		return s, &CorruptionError{snapshots[len(snapshots)-1].name, 0, detail}
	}
	s.segments = segments
	return s, nil
}

// classify sorts the snapshots and segments among names by their first group, and marks unfinished ones as obsolete.
func (s *State) classify(names []string) (snapshots, segments []segmentFile) {
	for _, name := range names {
		if first, ok := parseFileName(name, snapshotPrefix); ok {
			snapshots = append(snapshots, segmentFile{name: name, first: first})
		} else if first, ok := parseFileName(name, segmentPrefix); ok {
			segments = append(segments, segmentFile{name: name, first: first})
		} else if isUnfinished(name) {
			s.obsolete = append(s.obsolete, name)
		}
	}
	byFirstGroup := func(a, b segmentFile) int { return cmp.Compare(a.first, b.first) }
	slices.SortFunc(snapshots, byFirstGroup)
	slices.SortFunc(segments, byFirstGroup)
	return snapshots, segments
}

func (s *State) markObsolete(files []segmentFile) {
	for _, file := range files {
		s.obsolete = append(s.obsolete, file.name)
	}
}

// readSnapshot reads a snapshot and accepts no torn end: it was synced before it was given its name, so that a crash
// cannot have truncated it.
func (s *State) readSnapshot(fs vfs.FS, snapshot segmentFile) error {
	data, err := fs.Read(snapshot.name)
	if err != nil {
		return err
	}
	first, err := parseFileHeader(snapshot.name, snapshotMagic, data, s.skipChecksums)
	if err != nil {
		return err
	}
	if err := checkFirstGroup(snapshot, first); err != nil {
		return err
	}
	s.Bytes += len(data)
	end, err := s.applyChunks(snapshot.name, data)
	if err != nil {
		return err
	}
	if end != len(data) {
		return &CorruptionError{snapshot.name, end, "more follows its end"}
	}
	return nil
}

// applyChunks applies the chunks of a snapshot up to the empty one that ends it, and returns the offset of that end.
func (s *State) applyChunks(file string, data []byte) (end int, err error) {
	offset := headerSize
	for number := uint64(0); ; number++ {
		chunk, ok := parseGroup(data[offset:], s.skipChecksums)
		if !ok || chunk.sequence != number && !s.skipChecksums {
			return offset, &CorruptionError{file, offset, fmt.Sprintf("part %d of it is damaged", number)}
		}
		offset += chunk.size
		if len(chunk.body) == 0 {
			return offset, nil
		}
		if err := s.applyBody(file, offset, chunk.body); err != nil {
			return offset, err
		}
	}
}

// readSegments reads segments that must follow one another without a gap.
func (s *State) readSegments(fs vfs.FS, segments []segmentFile) error {
	for i := range segments {
		segment := &segments[i]
		if next := s.LastGroup + 1; segment.first != next {
			const detail = "it begins with group %d, and the one wanted next is %d: a file is missing"
			return &CorruptionError{segment.name, 0, fmt.Sprintf(detail, segment.first, next)}
		}
		position := segmentFollowed
		if i == len(segments)-1 {
			position = segmentLast
		}
		if err := s.readSegment(fs, segment, position); err != nil {
			return err
		}
	}
	return nil
}

// readSegment reads groups until one is torn. Only the last segment may have a torn tail, see checkTornTail.
func (s *State) readSegment(fs vfs.FS, segment *segmentFile, position segmentPosition) error {
	data, err := fs.Read(segment.name)
	if err != nil {
		return err
	}
	segment.size = len(data)
	s.Bytes += len(data)
	first, err := parseFileHeader(segment.name, segmentMagic, data, s.skipChecksums)
	if err != nil {
		return s.checkTornHeader(*segment, data, position, err)
	}
	if err := checkFirstGroup(*segment, first); err != nil {
		return err
	}
	offset, err := s.applyGroups(segment.name, data)
	if errors.Is(err, errTornGroup) {
		err = s.checkTornTail(segment.name, data, offset, position)
	}
	if err != nil {
		return err
	}
	s.lastValidSize = offset
	return nil
}

// applyGroups applies the groups of a segment. It returns the offset of the first that is torn with errTornGroup, or
// the size of the segment.
func (s *State) applyGroups(file string, data []byte) (offset int, err error) {
	for offset = headerSize; offset < len(data); {
		g, ok := parseGroup(data[offset:], s.skipChecksums)
		if !ok || g.sequence != s.LastGroup+1 {
			return offset, errTornGroup
		}
		if err := s.applyBody(file, offset, g.body); err != nil {
			return offset, err
		}
		offset += g.size
		s.LastGroup++
		s.Groups++
	}
	return offset, nil
}

func (s *State) applyBody(file string, offset int, body []byte) error {
	changes, err := decodeChanges(body)
	if err != nil {
		return &CorruptionError{file, offset, "its checksum is right and its changes cannot be read: " + err.Error()}
	}
	s.apply(changes)
	return nil
}

// checkTornHeader decides on a segment whose header cannot be read: a crash may leave the last segment so, before
// anything was acknowledged in it.
func (s *State) checkTornHeader(segment segmentFile, data []byte, position segmentPosition, headerErr error) error {
	_, unsupported := errors.AsType[*UnsupportedVersionError](headerErr)
	if unsupported || position != segmentLast || laterDurableGroup(data, 0, segment.first) > 0 {
		return headerErr
	}
	s.lastHeaderIsBad, s.TruncatedBytes = true, len(data)
	return nil
}

// checkTornTail decides on the torn group at an offset: a crash may leave it in the last segment, with no whole group
// behind it that was written when the torn one was already on disk. Anything else is corruption.
func (s *State) checkTornTail(file string, data []byte, offset int, position segmentPosition) error {
	torn := s.LastGroup + 1
	if position != segmentLast {
		detail := fmt.Sprintf("group %d is damaged; it was kept, as another file follows", torn)
		return &CorruptionError{file, offset, detail}
	}
	if later := laterDurableGroup(data, offset, torn); later > 0 {
		detail := fmt.Sprintf("group %d is damaged; it was kept, as group %d that follows tells", torn, later)
		return &CorruptionError{file, offset, detail}
	}
	s.TruncatedBytes = len(data) - offset
	return nil
}
