package wal

import (
	"glenport/internal/storage/vfs"
)

// snapshotIfDue starts a snapshot in the background if the log has outgrown the last one. The directory then holds at
// most the old snapshot with its segments, the new snapshot, and the segment written meanwhile.
func (l *Log) snapshotIfDue() {
	if l.snapshotRunning() || l.syncErr != nil {
		return
	}
	if l.bytesSinceSnapshot < max(l.options.MinSnapshotLog, snapshotGrowthFactor*l.snapshotSize) {
		return
	}
	if err := l.segment.Sync(); err != nil { // a segment may be started only if the previous one is on disk
		_ = l.recordSyncFailure(classifyWriteError(err)) // the next commit reports the error
		return
	}
	l.durableGroup = l.lastGroup
	first := l.lastGroup + 1
	l.bytesSinceSnapshot = 0 // after an error, the next attempt is due once as much has been written again
	if err := l.startSegment(first); err != nil {
		l.options.OnModeChange("snapshot of the state log not written", "error", err)
		return
	}
	l.counters.Snapshots++
	l.snapshotInBackground(first)
}

// snapshotRunning reports whether a snapshot is being written.
func (l *Log) snapshotRunning() bool {
	if l.snapshotDone == nil {
		return false
	}
	select {
	case <-l.snapshotDone:
		l.snapshotDone = nil
		return false
	default:
		return true
	}
}

// waitForSnapshot waits until no snapshot is being written.
func (l *Log) waitForSnapshot() {
	if l.snapshotDone != nil {
		<-l.snapshotDone
		l.snapshotDone = nil
	}
}

// snapshotInBackground starts to write the current state as the snapshot that precedes group first.
func (l *Log) snapshotInBackground(first uint64) {
	state, done := l.state.clone(), make(chan struct{})
	l.snapshotDone = done
	go func() {
		defer close(done)
		size, err := writeSnapshot(l.fs, first, state)
		if err != nil {
			l.options.OnModeChange("snapshot of the state log not written", "error", err)
			return
		}
		l.snapshotSize = size
		l.removeObsoleteFiles(first)
	}()
}

// writeSnapshot writes the snapshot that precedes group first and returns its size in bytes.
func writeSnapshot(fs vfs.FS, first uint64, state *State) (size int, err error) {
	encoder := snapshotEncoder{data: newFileHeader(snapshotMagic, first)}
	for _, kind := range state.Kinds() {
		err := state.ForEach(kind, func(key string, value []byte) error {
			return encoder.add(Change{Kind: kind, Key: key, Value: value})
		})
		if err != nil {
			return 0, err
		}
	}
	data, err := encoder.finish()
	if err != nil {
		return 0, err
	}
	return len(data), vfs.WriteFileAtomic(fs, snapshotName(first), data)
}

// snapshotEncoder builds the contents of a snapshot file chunk by chunk.
type snapshotEncoder struct {
	data       []byte
	chunk      []Change
	chunkBytes int
	chunks     uint64 // number of chunks encoded so far
}

func (e *snapshotEncoder) add(change Change) error {
	e.chunk = append(e.chunk, change)
	e.chunkBytes += len(change.Key) + len(change.Value)
	if e.chunkBytes < snapshotChunkBytes {
		return nil
	}
	return e.flush()
}

func (e *snapshotEncoder) flush() error {
	body, err := encodeChanges(e.chunk)
	if err != nil {
		return err
	}
	e.data = appendGroup(e.data, e.chunks, 0, body)
	e.chunks++
	e.chunk, e.chunkBytes = e.chunk[:0], 0
	return nil
}

// finish ends the snapshot with an empty group and returns the contents of the file.
func (e *snapshotEncoder) finish() ([]byte, error) {
	if len(e.chunk) > 0 {
		if err := e.flush(); err != nil {
			return nil, err
		}
	}
	return appendGroup(e.data, e.chunks, 0, nil), nil
}
