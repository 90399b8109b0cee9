package jsonlines

import (
	"errors"
	"fmt"
)

// Errors returned by Decode. ErrMalformed is wrapped together with the error of the JSON library.
var (
	ErrInvalidUTF8        = errors.New("the line is not UTF-8")
	ErrMalformed          = errors.New("no message")
	ErrInvalidDescription = errors.New("desc is no text")
)

// UnknownOpError is returned by Decode for a message of an unknown type.
type UnknownOpError struct{ Op Op }

func (e *UnknownOpError) Error() string {
	return fmt.Sprintf("op %q is not known", truncate(string(e.Op)))
}

// RequestIDError is returned by Decode for an ID that is not 16 hexadecimal digits.
type RequestIDError struct{ RequestID string }

func (e *RequestIDError) Error() string {
	return fmt.Sprintf("call %q is not 16 hex digits", truncate(e.RequestID))
}

// FieldTypeError is returned by Decode for a field whose value is neither a string nor a number.
type FieldTypeError struct{ Field string }

func (e *FieldTypeError) Error() string {
	return fmt.Sprintf("with.%s is neither text nor a number", e.Field)
}

// MessageSizeError is returned by Append for a message that exceeds MaxLineBytes.
type MessageSizeError struct{ Bytes int }

func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("a message of %d bytes is over the limit of %d", e.Bytes, MaxLineBytes)
}

// LineLengthError is returned by LineSplitter.Feed for a line that exceeds the limit.
type LineLengthError struct{ MaxBytes int }

func (e *LineLengthError) Error() string {
	return fmt.Sprintf("a line of over %d bytes", e.MaxBytes)
}

// truncate limits how much of a peer's input is included in an error.
func truncate(s string) string {
	const maxBytes = 32
	return s[:min(len(s), maxBytes)]
}
