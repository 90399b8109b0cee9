package admission

import (
	"fmt"

	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

// RejectionError reports that a request was rejected. Nothing was sent to a machine for it, so a retry is safe. Its
// text is sent to the client.
type RejectionError struct {
	Cause      error
	RetryAfter scheduler.Time // 0: the client should not retry
}

// Error returns the text of the cause.
func (r *RejectionError) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *RejectionError) Unwrap() error { return r.Cause }

// Limit identifies a field of Limits.
type Limit uint8

// Values of Limit.
const (
	LimitClients Limit = iota + 1
	LimitOpenRequests
	LimitOpenRequestsPerClient
)

// LimitError reports that a limit is reached.
type LimitError struct {
	Limit   Limit
	Current int // number of clients or requests
}

// Error returns the text that is sent to clients.
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

// ShedError reports that a request was shed because more requests arrive than can be served.
type ShedError struct{ Reason overload.Reason }

// Error returns the text that is sent to clients.
func (e *ShedError) Error() string { return "storm: " + e.Reason.String() }
