package server

import (
	"errors"
	"fmt"
)

var (
	// ErrStopped is returned if the server has stopped or its event loop does not answer in time.
	ErrStopped = errors.New("the keeper has stopped")
	// ErrNotFound is returned for a job or container that does not exist.
	ErrNotFound = errors.New("there is none of that id")
)

// ConflictError rejects a change because the job does not have the version that the precondition requires.
type ConflictError struct {
	ID      string
	Version int64 // the job's current version
	Message string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: %s; its version is %d", e.ID, e.Message, e.Version)
}

// InvalidFieldError rejects a request because one of its fields is invalid.
type InvalidFieldError struct {
	Field   string // its name on the wire
	Message string
}

func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Message }

// NotPersistedError rejects a change that could not be written to disk. The change was not applied.
type NotPersistedError struct{ Err error }

func (e *NotPersistedError) Error() string {
	return "it cannot be kept on disk, and was not done: " + e.Err.Error()
}

// Unwrap returns the storage's error.
func (e *NotPersistedError) Unwrap() error { return e.Err }

// alreadyCreatedError marks a retry of the request that created a job. The client gets the answer to that request.
type alreadyCreatedError struct{ version int64 }

func (e *alreadyCreatedError) Error() string { return "the same request has created it" }
