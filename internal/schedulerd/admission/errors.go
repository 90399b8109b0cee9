package admission

import (
	"fmt"

	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

// RejectionError turns a request away. Nothing was sent to a machine for it, so a retry does no harm. Its text is given
// to the client.
type RejectionError struct {
	Cause      error
	RetryAfter scheduler.Time // 0: a retry is of no use
}

// Error is the text of the cause.
func (r *RejectionError) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *RejectionError) Unwrap() error { return r.Cause }

// Limit names one of Limits.
type Limit uint8

// The limits.
const (
	LimitClients Limit = iota + 1
	LimitOpenRequests
	LimitOpenRequestsPerClient
)

// LimitError says that a limit is reached.
type LimitError struct {
	Limit   Limit
	Current int // clients or requests
}

// Error is the text that clients are given.
func (e *LimitError) Error() string {
	switch e.Limit {
	case LimitClients:
		return fmt.Sprintf("%d owners are connected, no more are taken", e.Current)
	case LimitOpenRequestsPerClient:
		return fmt.Sprintf("%d containers of this owner are open, no more are taken", e.Current)
	default:
		return fmt.Sprintf("%d containers are open, no more are taken", e.Current)
	}
}

// ShedError says that a request was shed, as more arrive than can be served.
type ShedError struct{ Reason overload.Reason }

// Error is the text that clients are given.
func (e *ShedError) Error() string { return "storm: " + e.Reason.String() }
