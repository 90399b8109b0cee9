package wal

import (
	"errors"
	"fmt"
	"os"
)

// rewrite writes the whole state to other files after a sync has failed: a snapshot, and a segment that follows it.
// Until both are on disk the directory is read as it was, or from that snapshot on; no commit is accepted meanwhile, so
// both are right. The file whose sync failed is never synced again. Each group of waiting commits tries once.
func (l *Log) rewrite() error {
	if l.syncErr == nil {
		return nil
	}
	l.awaitSnapshot()
	if l.rewriteFirst == 0 { // the failed segment may hold the next group, whole or in part: skip its number
		l.rewriteFirst = l.lastGroup + 2
	}
	first := l.rewriteFirst
	size, err := l.writeRewrite(first)
	if err != nil {
		return fmt.Errorf("%w; %w", l.syncErr, err)
	}
	l.lastGroup, l.durableGroup = first-1, first-1
	l.bytesSinceSnapshot, l.snapshotSize = 0, size
	l.syncErr, l.rewriteFirst = nil, 0
	l.counters.Snapshots++
	l.removeOlder(first)
	return nil
}

// writeRewrite does the steps of a rewrite in the order that keeps the directory readable between any two of them. It
// returns the size of the snapshot.
func (l *Log) writeRewrite(first uint64) (size int, err error) {
	if err := l.announceRewrite(first); err != nil {
		return 0, err
	}
	if size, err = writeSnapshot(l.fs, first, l.state); err != nil {
		return 0, err
	}
	err = l.fs.Remove(segmentName(first)) // left by an earlier try
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	if err := l.startSegment(first); err != nil {
		return 0, err
	}
	return size, l.fs.Remove(rewriteMarkerName(first))
}

// announceRewrite creates the marker by which a snapshot without a segment behind it is known not to be corruption.
func (l *Log) announceRewrite(first uint64) error {
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
