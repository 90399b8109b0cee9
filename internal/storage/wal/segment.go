package wal

import (
	"errors"
	"fmt"
	"time"

	"glenport/internal/storage/vfs"
)

// recover repairs the directory, so that all data is on disk and one segment is open. A crash may interrupt it at any
// step; the next recovery then completes the repair.
func (l *Log) recover() error {
	if len(l.state.segments) == 0 {
		// The segment must exist before the obsolete files are removed: the rewrite marker among them is the reason why
		// the missing segment is not corruption.
		if err := l.startSegment(l.lastGroup + 1); err != nil {
			return err
		}
		return removeAll(l.fs, l.state.obsoleteFiles)
	}
	if err := removeAll(l.fs, l.state.obsoleteFiles); err != nil {
		return err
	}
	return l.continueSegments(l.state.segments)
}

// continueSegments opens the last segment for appending, or replaces it if its header is invalid.
func (l *Log) continueSegments(segments []segmentFile) error {
	last := segments[len(segments)-1]
	if l.state.lastHeaderInvalid {
		if err := l.fs.Remove(last.name); err != nil {
			return err
		}
		return l.startSegment(l.lastGroup + 1)
	}
	if err := l.reopenSegment(last); err != nil {
		return err
	}
	for _, segment := range segments {
		l.bytesSinceSnapshot += segment.size
	}
	return l.fs.Sync()
}

func removeAll(fs vfs.FS, names []string) error {
	for _, name := range names {
		if err := fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// reopenSegment truncates the torn tail of the last segment and opens it for appending.
func (l *Log) reopenSegment(last segmentFile) error {
	file, err := l.fs.Append(last.name)
	if err != nil {
		return err
	}
	validSize := l.state.lastValidSize
	if last.size > validSize {
		err = file.Truncate(int64(validSize))
	}
	if err == nil {
		err = file.Sync() // the data that was read may not be on disk yet
	}
	if err != nil {
		return errors.Join(err, file.Close())
	}
	l.segment, l.segmentSize = file, validSize
	return nil
}

// startSegment creates the segment that begins with group first, and closes the previous one. The file and its name are
// on disk before any group is written to it.
func (l *Log) startSegment(first uint64) error {
	name := segmentName(first)
	file, err := l.fs.Create(name)
	if err != nil {
		return err
	}
	header := newFileHeader(segmentMagic, first)
	if _, err = file.Write(header); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.fs.Sync()
	}
	if err != nil {
		// Only err is reported. A file that is left behind holds no group, and the next recovery removes it.
		_ = file.Close()
		_ = l.fs.Remove(name)
		return err
	}
	_ = l.closeSegment() // the old segment is synced, or was replaced because its sync failed
	l.segment, l.segmentSize = file, len(header)
	return nil
}

func (l *Log) closeSegment() error {
	if l.segment == nil {
		return nil
	}
	err := l.segment.Close()
	l.segment = nil
	return err
}

// writeGroup appends one group to the segment. A failed write, for example on a full disk, is undone, so that later
// writes may succeed.
func (l *Log) writeGroup(changes []Change) error {
	body, err := encodeChanges(changes)
	if err != nil {
		return err
	}
	if len(body) > maxGroupBody {
		return fmt.Errorf("a commit of %d bytes is more than %d", len(body), maxGroupBody)
	}
	if len(changes) == 0 {
		return nil
	}
	return l.appendToSegment(body)
}

func (l *Log) appendToSegment(body []byte) error {
	l.groupBuffer = appendGroup(l.groupBuffer[:0], l.lastGroup+1, l.durableGroup, body)
	if _, err := l.segment.Write(l.groupBuffer); err != nil {
		err = classifyWriteError(err)
		if undoErr := l.segment.Truncate(int64(l.segmentSize)); undoErr != nil {
			return l.recordSyncFailure(fmt.Errorf("%w, and it could not be taken back: %w", err, undoErr))
		}
		return err
	}
	l.segmentSize += len(l.groupBuffer)
	l.bytesSinceSnapshot += len(l.groupBuffer)
	l.lastGroup++
	l.counters.Groups++
	return nil
}

// syncSegment syncs all groups to disk. If it fails, the next group of commits rewrites the whole state.
func (l *Log) syncSegment() error {
	began := time.Now()
	if err := l.segment.Sync(); err != nil {
		return l.recordSyncFailure(classifyWriteError(err))
	}
	l.counters.Syncs++
	l.counters.SyncTime += time.Since(began)
	l.durableGroup = l.lastGroup
	return nil
}

// recordSyncFailure records that the contents of the segment on disk are unknown, and returns the error for the
// affected commits.
func (l *Log) recordSyncFailure(cause error) error {
	l.syncErr = fmt.Errorf("%w (%w)", ErrSyncFailed, cause)
	return l.syncErr
}

// writeCleanEnd ends the segment with an empty group, which records that all groups before it were on disk. Load can
// then distinguish damage to them from the traces of a crash.
func (l *Log) writeCleanEnd() error {
	if l.segmentSize == headerSize {
		return nil
	}
	end := appendGroup(nil, l.lastGroup+1, l.durableGroup, emptyGroupBody)
	if _, err := l.segment.Write(end); err != nil {
		return err
	}
	l.lastGroup++
	return l.segment.Sync()
}
