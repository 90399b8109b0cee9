// Package admission decides which clients and placement requests the scheduler accepts on its listener. It owns the
// counts of open requests, in total and by client, and the limiter that sheds load. The package is pure: no I/O, clock
// or goroutine.
package admission

import (
	"fmt"

	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

// retryAfterAtLimit is the retry-after given to a client that has reached a limit.
const retryAfterAtLimit = scheduler.Second

// ClientID identifies a client connection.
type ClientID uint64

// Limits are the maximum numbers of clients and requests that the scheduler accepts.
type Limits struct {
	Clients               int // connected at once
	OpenRequests          int // requests without a final answer
	OpenRequestsPerClient int
}

// Controller admits clients and requests within limits. It drops a client when the client disconnects, and a request
// when the request is closed.
type Controller struct {
	limits       Limits
	limiter      *overload.Limiter // nil if load is not shed
	openRequests int
	openByClient map[ClientID]int // open requests of each connected client
}

// New returns a controller. If workload classes are given, it also sheds load when containers become slow to start; the
// seed determines the random choices of the limiter.
func New(limits Limits, seed uint64, classes []overload.WorkloadClass) *Controller {
	c := &Controller{limits: limits, openByClient: map[ClientID]int{}}
	if len(classes) > 0 {
		c.limiter = overload.New(overload.Config{Seed: seed, WorkloadClasses: classes, MaxOpen: limits.OpenRequests})
	}
	return c
}

// Connect adds a client, or returns a *LimitError if too many are connected.
func (c *Controller) Connect(client ClientID) error {
	if n := len(c.openByClient); n >= c.limits.Clients {
		return &LimitError{Limit: LimitClients, Current: n}
	}
	c.openByClient[client] = 0
	return nil
}

// Disconnect removes a client. Its requests stay open.
func (c *Controller) Disconnect(client ClientID) { delete(c.openByClient, client) }

// Connected reports whether a client is connected.
func (c *Controller) Connected(client ClientID) bool {
	_, connected := c.openByClient[client]
	return connected
}

// CheckLimits returns a *RejectionError if another request of the client would exceed a limit.
func (c *Controller) CheckLimits(client ClientID) error {
	if c.openRequests >= c.limits.OpenRequests {
		return limitReached(LimitOpenRequests, c.openRequests)
	}
	if n := c.openByClient[client]; n >= c.limits.OpenRequestsPerClient {
		return limitReached(LimitOpenRequestsPerClient, n)
	}
	return nil
}

func limitReached(limit Limit, current int) error {
	return &RejectionError{Cause: &LimitError{Limit: limit, Current: current}, RetryAfter: retryAfterAtLimit}
}

// Open admits a request that is within the limits and counts it as open, or returns a *RejectionError if it is shed.
// Changes are the overload.SheddingStarted and overload.SheddingEnded actions, in order.
func (c *Controller) Open(
	now scheduler.Time,
	client ClientID,
	r scheduler.PlacementRequest,
) (changes []overload.Action, err error) {
	if changes, err = c.shedLoad(now, client, r); err != nil {
		return changes, err
	}
	c.openRequests++
	c.openByClient[client]++
	return changes, nil
}

func (c *Controller) shedLoad(
	now scheduler.Time,
	client ClientID,
	r scheduler.PlacementRequest,
) (changes []overload.Action, err error) {
	if c.limiter == nil {
		return nil, nil
	}
	received := overload.RequestReceived{
		Client:        fmt.Sprint(client, "/", r.Tenant),
		WorkloadClass: r.WorkloadClass,
		ClientRetry:   r.ClientRetry,
	}
	for _, a := range c.limiter.Handle(now, received) {
		switch a := a.(type) {
		case overload.Shed:
			err = &RejectionError{Cause: &ShedError{Reason: a.Reason}, RetryAfter: a.RetryAfter}
		case overload.SheddingStarted, overload.SheddingEnded:
			changes = append(changes, a)
		}
	}
	return changes, err
}

// Close closes an open request of a client. The outcome is overload.RequestStarted if the container runs, and
// overload.RequestFailed if the placement has failed. The client may have disconnected.
func (c *Controller) Close(now scheduler.Time, client ClientID, outcome overload.Event) {
	c.openRequests--
	if c.limiter != nil {
		c.limiter.Handle(now, outcome)
	}
	if c.Connected(client) {
		c.openByClient[client]--
	}
}

// OpenRequests returns the number of requests without a final answer.
func (c *Controller) OpenRequests() int { return c.openRequests }

// OpenRequestsOf returns the number of requests of a connected client without a final answer.
func (c *Controller) OpenRequestsOf(client ClientID) int { return c.openByClient[client] }

// Limiter returns the limiter that sheds load, or nil if load is not shed.
func (c *Controller) Limiter() *overload.Limiter { return c.limiter }
