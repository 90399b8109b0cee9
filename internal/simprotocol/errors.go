package simprotocol

import (
	"errors"
	"fmt"
)

// Errors in a line. The decoder wraps them in a LineError.
var (
	ErrFrameExpected  = errors.New("a FRAME line was expected")
	ErrUnknownMessage = errors.New("unknown message")
	ErrMissingField   = errors.New("a field is missing")
	ErrEmptyField     = errors.New("a field is empty")
	ErrInvalidSeed    = errors.New("the seed is no whole number")
	ErrListOutOfRange = errors.New("list number or count out of range")
)

// LineError is an error in a line of the input.
type LineError struct {
	Number int // line number, from 1
	Line   string
	Err    error
}

func (e *LineError) Error() string {
	const maxBytes = 120
	line := e.Line
	if len(line) > maxBytes {
		line = line[:maxBytes] + "..."
	}
	return fmt.Sprintf("line %d: %v: %q", e.Number, e.Err, line)
}

func (e *LineError) Unwrap() error { return e.Err }

// TruncatedError reports that the input ended inside a line, a list or a frame.
type TruncatedError struct{ Inside string }

func (e *TruncatedError) Error() string { return "input ends inside a " + e.Inside }

// ValueError is an invalid value of a field.
type ValueError struct {
	Value   string
	Problem string
}

func (e *ValueError) Error() string { return fmt.Sprintf("%q %s", e.Value, e.Problem) }

// ExtraFieldsError reports that a line has more fields than its message allows.
type ExtraFieldsError struct{ Count int }

func (e *ExtraFieldsError) Error() string { return fmt.Sprintf("%d fields too many", e.Count) }

// ReportError reports a pair without a value in a load report.
type ReportError struct{ Pair string }

func (e *ReportError) Error() string { return fmt.Sprintf("report %q has no value", e.Pair) }

// UnknownListError reports a reference to a machine list that was not sent.
type UnknownListError struct{ Reference string }

func (e *UnknownListError) Error() string {
	return fmt.Sprintf("no list has the number %q", e.Reference)
}

// ShortListError reports that a machine list has fewer entries than its header announces.
type ShortListError struct{ Want, Got int }

func (e *ShortListError) Error() string {
	return fmt.Sprintf("list of %d entries breaks off after %d", e.Want, e.Got)
}

// SettingError reports a setting that is missing or has an invalid value.
type SettingError struct {
	Setting string // path of the setting
	Problem string // appended to the path in the error text if Err is nil
	Err     error  // error in the value, or nil
}

func (e *SettingError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("setting %s: %v", e.Setting, e.Err)
	}
	return fmt.Sprintf("setting %s%s", e.Setting, e.Problem)
}

func (e *SettingError) Unwrap() error { return e.Err }

// PairError reports a setting that is not of the form path=value.
type PairError struct{ Pair string }

func (e *PairError) Error() string { return fmt.Sprintf("setting %q has no value", e.Pair) }
