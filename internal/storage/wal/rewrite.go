package wal

import (
	"errors"
	"fmt"
	"os"
)

// rewrite writes the whole state to new files after a sync has failed: a snapshot, and a segment that follows it. If
// the system crashes before both are on disk, recovery reads either the old files or the new snapshot. Both hold the
// same state, as no commit is accepted during a rewrite. The file whose sync failed is never synced again. The rewrite
// is tried once per group of waiting commits.
func (l *Log) rewrite() error {
	if l.syncErr == nil {
		return nil
	}
	l.waitForSnapshot()
	if l.rewriteFirstGroup == 0 { // skip the next number: the failed segment may hold that group
		l.rewriteFirstGroup = l.lastGroup + 2
	}
	first := l.rewriteFirstGroup
	size, err := l.writeRewrite(first)
	if err != nil {
		return fmt.Errorf("%w; %w", l.syncErr, err)
	}
	l.lastGroup, l.durableGroup = first-1, first-1
	l.bytesSinceSnapshot, l.snapshotSize = 0, size
	l.syncErr, l.rewriteFirstGroup = nil, 0
	l.counters.Snapshots++
	l.removeObsoleteFiles(first)
	return nil
}

// writeRewrite performs the steps of a rewrite in an order that keeps the directory readable after each of them. It
// returns the size of the snapshot.
func (l *Log) writeRewrite(first uint64) (size int, err error) {
	if err := l.createRewriteMarker(first); err != nil {
		return 0, err
	}
	if size, err = writeSnapshot(l.fs, first, l.state); err != nil {
		return 0, err
	}
	err = l.fs.Remove(segmentName(first)) // left by an earlier attempt
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	if err := l.startSegment(first); err != nil {
		return 0, err
	}
	return size, l.fs.Remove(rewriteMarkerName(first))
}

// createRewriteMarker creates the file that marks a rewrite in progress. Without it, Load would report a snapshot that
// no segment follows as corruption.
func (l *Log) createRewriteMarker(first uint64) error {
	marker, err := l.fs.Create(rewriteMarkerName(first))
	if err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	if err == nil {
		if err := marker.Close(); err != nil {
			return err
		}
	}
	return l.fs.Sync()
}
