package protocol

import (
	"errors"
	"fmt"
)

// ErrEmptyFrame reports a frame of length 0, which lacks a kind.
var ErrEmptyFrame = errors.New("empty frame")

// FrameError reports a frame that cannot be decoded, or that holds a value out of range.
type FrameError struct {
	Frame string // name in docs/protocol.md
	Err   error
}

func (e *FrameError) Error() string { return e.Frame + ": " + e.Err.Error() }
func (e *FrameError) Unwrap() error { return e.Err }

// FieldError reports a field that holds a value out of range.
type FieldError struct {
	Field   string // as docs/protocol.md calls it
	Problem string
}

func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

// SizeError reports a frame that is larger than the receiver accepts.
type SizeError struct {
	Frame string // name in docs/protocol.md, or "frame" if its kind is not known yet
	Size  int    // bytes after the length
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of %d bytes is over the limit of %d", e.Frame, e.Size, e.Limit)
}

// UnknownKindError reports a kind of frame that this version does not know.
type UnknownKindError struct{ Kind byte }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown sort of frame %d", e.Kind) }

// OutOfTurnError reports a first frame that is not a Hello, or a second Hello on the same connection.
type OutOfTurnError struct{ Frame string }

func (e *OutOfTurnError) Error() string { return e.Frame + " out of turn" }
