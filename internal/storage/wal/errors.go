package wal

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrSyncFailed reports that a sync failed. The contents of the file on disk are unknown afterwards, and the
	// success of a second sync would not prove them. Every commit is rejected until the whole state has been written to
	// new files.
	ErrSyncFailed = errors.New(
		"the state folder cannot be trusted since a sync failed, and could not be written anew yet",
	)

	// ErrFull reports that the disk has no room for a commit. The error chain also contains the error of the file
	// system.
	ErrFull = errors.New("the disk is full")

	// ErrClosed reports a commit after Close.
	ErrClosed = errors.New("the state is closed")
)

// errTornGroup stops the reading of a segment at a group that is incomplete, damaged or out of sequence.
var errTornGroup = errors.New("the group is torn")

// CorruptionError reports that a file does not hold the data that was written to it. The directory was not changed.
type CorruptionError struct {
	File   string
	Offset int // bytes from the start of the file
	Detail string
}

func (e *CorruptionError) Error() string {
	const remedy = "nothing was changed: put a good copy of the folder back; " +
		"`glenport state export` gives what stands before the damage"
	return fmt.Sprintf("%s, at byte %d: %s; %s", e.File, e.Offset, e.Detail, remedy)
}

// UnsupportedVersionError reports that a file was written by a later version of the program.
type UnsupportedVersionError struct {
	File    string
	Version int
}

func (e *UnsupportedVersionError) Error() string {
	const text = "%s is of version %d, this glenport knows %d: use the later one"
	return fmt.Sprintf(text, e.File, e.Version, FormatVersion)
}

// diskFullError adds ErrFull to the chain of an error of the file system, without changing its text.
type diskFullError struct{ cause error }

func (e *diskFullError) Error() string        { return e.cause.Error() }
func (e *diskFullError) Unwrap() error        { return e.cause }
func (e *diskFullError) Is(target error) bool { return target == ErrFull }

// classifyWriteError adds ErrFull to errors of the file system that report a lack of space.
func classifyWriteError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &diskFullError{err}
	}
	return err
}
