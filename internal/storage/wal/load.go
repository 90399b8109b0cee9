package wal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"glenport/internal/storage/vfs"
)

// segmentFile is a segment or a snapshot in a directory.
type segmentFile struct {
	name       string
	firstGroup uint64 // number of the first group
	size       int    // in bytes; set when the segment is read
}

// segmentPosition tells whether a segment is the last one. A crash can truncate only the last one.
type segmentPosition uint8

const (
	segmentNotLast segmentPosition = iota
	segmentLast
)

// Load reads a directory without changing it. It tolerates the traces of a crash: an unacknowledged group at the end of
// the last segment, and files that were being written. Any other difference from the data that was written is reported
// as a *CorruptionError or *UnsupportedVersionError, together with the state up to that place. With skipChecksums set,
// the checksums are not verified.
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
		next = newest.firstGroup
		s.markObsolete(snapshots[:n-1])
	}
	s.FirstGroup, s.LastGroup = next, next-1
	covered := 0
	for covered < len(segments) && segments[covered].firstGroup < next {
		covered++
	}
	s.markObsolete(segments[:covered])
	segments = segments[covered:]
	if err := s.readSegments(fs, segments); err != nil {
		return s, err
	}
	// A snapshot without a segment that follows it is legitimate only during a rewrite.
	if len(segments) == 0 && len(snapshots) > 0 && !slices.Contains(s.obsoleteFiles, rewriteMarkerName(next)) {
		detail := fmt.Sprintf("the log from group %d on is missing", next)
		return s, &CorruptionError{snapshots[len(snapshots)-1].name, 0, detail}
	}
	s.segments = segments
	return s, nil
}

// classify returns the snapshots and segments among names, sorted by their first group, and marks unfinished files as
// obsolete.
func (s *State) classify(names []string) (snapshots, segments []segmentFile) {
	for _, name := range names {
		if first, ok := parseFileName(name, snapshotPrefix); ok {
			snapshots = append(snapshots, segmentFile{name: name, firstGroup: first})
		} else if first, ok := parseFileName(name, segmentPrefix); ok {
			segments = append(segments, segmentFile{name: name, firstGroup: first})
		} else if isUnfinished(name) {
			s.obsoleteFiles = append(s.obsoleteFiles, name)
		}
	}
	byFirstGroup := func(a, b segmentFile) int { return cmp.Compare(a.firstGroup, b.firstGroup) }
	slices.SortFunc(snapshots, byFirstGroup)
	slices.SortFunc(segments, byFirstGroup)
	return snapshots, segments
}

func (s *State) markObsolete(files []segmentFile) {
	for _, file := range files {
		s.obsoleteFiles = append(s.obsoleteFiles, file.name)
	}
}

// readSnapshot reads a snapshot. It does not accept a torn end: the file was synced before it was renamed to its final
// name, so a crash cannot have truncated it.
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

// applyChunks applies the chunks of a snapshot up to the empty chunk that ends it. It returns the offset behind that
// chunk.
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

// readSegments reads segments, which must follow one another without a gap.
func (s *State) readSegments(fs vfs.FS, segments []segmentFile) error {
	for i := range segments {
		segment := &segments[i]
		if next := s.LastGroup + 1; segment.firstGroup != next {
			const detail = "it begins with group %d, and the one wanted next is %d: a file is missing"
			return &CorruptionError{segment.name, 0, fmt.Sprintf(detail, segment.firstGroup, next)}
		}
		position := segmentNotLast
		if i == len(segments)-1 {
			position = segmentLast
		}
		if err := s.readSegment(fs, segment, position); err != nil {
			return err
		}
	}
	return nil
}

// readSegment reads the groups of a segment up to a torn one. Only the last segment may have a torn tail, see
// checkTornTail.
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

// applyGroups applies the groups of a segment and returns the size of the segment. At a torn group it returns the
// offset of the group and errTornGroup.
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

// checkTornHeader tolerates an invalid header, which a crash may leave behind, in the last segment if no group of the
// segment was acknowledged. Otherwise it returns headerErr.
func (s *State) checkTornHeader(segment segmentFile, data []byte, position segmentPosition, headerErr error) error {
	_, unsupported := errors.AsType[*UnsupportedVersionError](headerErr)
	if unsupported || position != segmentLast || laterDurableGroup(data, 0, segment.firstGroup) > 0 {
		return headerErr
	}
	s.lastHeaderInvalid, s.TruncatedBytes = true, len(data)
	return nil
}

// checkTornTail tolerates the torn group at an offset if a crash may have left it behind: the group is in the last
// segment, and no valid group that follows was written after the torn one had reached the disk. Otherwise it returns a
// *CorruptionError.
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
