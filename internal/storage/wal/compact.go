package wal

import (
	"errors"
	"os"

	"glenport/internal/storage/vfs"
)

// Compact replaces the log of a directory by a snapshot. No process may have the log open.
func Compact(fs vfs.FS) (before, after Stats, err error) {
	l, before, err := Open(fs, Options{})
	if err != nil {
		return before, after, err
	}
	if err := l.Close(); err != nil {
		return before, after, err
	}
	first := l.lastGroup + 1
	if err := l.startSegment(first); err != nil && !errors.Is(err, os.ErrExist) { // it exists in an empty log
		return before, after, err
	}
	if err := l.closeSegment(); err != nil {
		return before, after, err
	}
	if _, err := writeSnapshot(fs, first, l.state); err != nil {
		return before, after, err
	}
	if err := removeFilesBefore(fs, first); err != nil {
		return before, after, err
	}
	state, err := Load(fs, false)
	if err != nil {
		return before, after, err
	}
	return before, state.Stats, nil
}

// removeObsoleteFiles removes the files that the snapshot before group first replaces. After an error, the next
// recovery removes the rest.
func (l *Log) removeObsoleteFiles(first uint64) {
	if err := removeFilesBefore(l.fs, first); err != nil {
		l.options.OnModeChange("obsolete files of the state log not removed", "error", err)
	}
}

// removeFilesBefore removes the segments and snapshots whose first group is before first.
func removeFilesBefore(fs vfs.FS, first uint64) error {
	names, err := fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		number, ok := parseFileName(name, segmentPrefix)
		if !ok {
			number, ok = parseFileName(name, snapshotPrefix)
		}
		if !ok || number >= first {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}
