package wal

import (
	"errors"
	"fmt"
	"time"

	"glenport/internal/storage/vfs"
)

// recover leaves a directory in which everything is on disk and one segment is open. A crash may interrupt it at each
// step: the next recovery repairs what it leaves.
func (l *Log) recover() error {
	if len(l.state.segments) == 0 {
		// Before the rewrite marker, which explains why there is no segment, is removed with the obsolete files.
		if err := l.startSegment(l.lastGroup + 1); err != nil {
			return err
		}
		return removeAll(l.fs, l.state.obsolete)
	}
	if err := removeAll(l.fs, l.state.obsolete); err != nil {
		return err
	}
	return l.continueSegments(l.state.segments)
}

// continueSegments opens the last segment to be continued, or replaces it if its header cannot be read.
func (l *Log) continueSegments(segments []segmentFile) error {
	last := segments[len(segments)-1]
	if l.state.lastHeaderIsBad {
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

// reopenSegment cuts off the torn tail of the last segment and continues it.
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
		err = file.Sync() // what was read may not have been on disk yet
	}
	if err != nil {
		return errors.Join(err, file.Close())
	}
	l.segment, l.segmentSize = file, validSize
	return nil
}

// startSegment creates the segment of the groups from first on and closes the one before. The file and its name are on
// disk before any group is written to it.
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
		// The error that matters is err; a file that stays behind is empty, and the next recovery removes it.
		_ = file.Close()
		_ = l.fs.Remove(name)
		return err
	}
	_ = l.closeSegment() // it is synced, or replaced because its sync failed
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

// writeGroup appends one group to the segment. A write that fails, as on a full disk, is undone, and the next may
// succeed.
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
			return l.failSync(fmt.Errorf("%w, and it could not be taken back: %w", err, undoErr))
		}
		return err
	}
	l.segmentSize += len(l.groupBuffer)
	l.bytesSinceSnapshot += len(l.groupBuffer)
	l.lastGroup++
	l.counters.Groups++
	return nil
}

// syncSegment has all groups on disk. After a sync that fails the whole state is rewritten.
func (l *Log) syncSegment() error {
	began := time.Now()
	if err := l.segment.Sync(); err != nil {
		return l.failSync(classifyWriteError(err))
	}
	l.counters.Syncs++
	l.counters.SyncTime += time.Since(began)
	l.durableGroup = l.lastGroup
	return nil
}

// failSync records that the segment can no longer be trusted, and returns the error for the commits that it affects.
func (l *Log) failSync(cause error) error {
	l.syncErr = fmt.Errorf("%w (%w)", ErrSyncFailed, cause)
	return l.syncErr
}

// writeCleanEnd ends the segment with an empty group, whose number tells that all groups before it were on disk: damage
// to them is then distinguished from what a crash leaves.
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
