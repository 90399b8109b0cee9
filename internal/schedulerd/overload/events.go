package overload

import "glenport/scheduler"

// Event is an input of a Limiter: a request was received, started or failed.
type Event interface{ event() }

// RequestReceived is a new placement request. Handle answers it with Admit or Shed.
type RequestReceived struct {
	Client        string // name under which the requests of the client are counted
	WorkloadClass int    // index into Config.WorkloadClasses
	ClientRetry   bool   // the client has sent the request before
}

// RequestStarted is an admitted request whose container runs.
type RequestStarted struct {
	WorkloadClass int
	Elapsed       scheduler.Time // time from the admission to the start
}

// RequestFailed is an admitted request that ended without a running container.
type RequestFailed struct{ WorkloadClass int }

func (RequestReceived) event() {}
func (RequestStarted) event()  {}
func (RequestFailed) event()   {}

// Action is the answer to a request, or reports the start or end of load shedding.
type Action interface{ action() }

// Admit admits a request.
type Admit struct{}

// Shed rejects a request.
type Shed struct {
	Reason     Reason
	RetryAfter scheduler.Time // how long the client should wait before it tries again
}

// SheddingStarted precedes the first Shed of an overload.
type SheddingStarted struct {
	Reason     Reason
	Open       int     // admitted requests without an answer
	Limit      float64 // maximum number of open requests
	Throughput float64 // containers started per second
}

// SheddingEnded reports that no request has been shed for some seconds.
type SheddingEnded struct {
	Shed  int     // requests shed since the overload started
	Limit float64 // maximum number of open requests
}

func (Admit) action()           {}
func (Shed) action()            {}
func (SheddingStarted) action() {}
func (SheddingEnded) action()   {}

// Reason is the reason for which a request was shed.
type Reason uint8

// Reasons for shedding a request.
const (
	ReasonLimitReached     Reason = iota + 1 // more requests are open than the limit allows for this priority weight
	ReasonRetryBudgetSpent                   // client retries exceed their fraction of first-time requests
	ReasonHeavyHitter                        // the client sends many times more than the mean of the other clients
)

// String returns the text that is sent to clients with a rejection.
func (r Reason) String() string {
	switch r {
	case ReasonLimitReached:
		return "more is open than starts in time"
	case ReasonRetryBudgetSpent:
		return "too many came again"
	case ReasonHeavyHitter:
		return "its client asks far more than others"
	}
	return ""
}
