// Package admission decides which clients, and which of their placement requests, the scheduler takes at its listener.
// It owns the count of open requests, in all and by client, and the load shedding. The package is pure: no I/O, clock
// or goroutine.
package admission

import (
	"fmt"

	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

// retryAfterWhenFull is when a client should try again that has met a limit.
const retryAfterWhenFull = scheduler.Second

// ClientID names the connection of a client.
type ClientID uint64

// Limits are what the scheduler takes at most.
type Limits struct {
	Clients               int // connected at once
	OpenRequests          int // requests without a final answer
	OpenRequestsPerClient int
}

// Controller admits clients and requests within limits. A client leaves it with its connection, a request when it is
// closed.
type Controller struct {
	limits       Limits
	limiter      *overload.Limiter // nil where load is not shed
	openRequests int
	openByClient map[ClientID]int // of the connected clients
}

// New returns a controller. With workload classes it also sheds load when containers become slow to start; the seed is
// for what that decides by chance.
func New(limits Limits, seed uint64, classes []overload.WorkloadClass) *Controller {
	c := &Controller{limits: limits, openByClient: map[ClientID]int{}}
	if len(classes) > 0 {
		c.limiter = overload.New(overload.Config{Seed: seed, WorkloadClasses: classes, MaxOpen: limits.OpenRequests})
	}
	return c
}

// Connect takes a client, or returns a *LimitError where there are too many.
func (c *Controller) Connect(client ClientID) error {
	if n := len(c.openByClient); n >= c.limits.Clients {
		return &LimitError{Limit: LimitClients, Current: n}
	}
	c.openByClient[client] = 0
	return nil
}

// Disconnect drops a client. Its requests stay open.
func (c *Controller) Disconnect(client ClientID) { delete(c.openByClient, client) }

// Connected reports whether a client is connected.
func (c *Controller) Connected(client ClientID) bool {
	_, connected := c.openByClient[client]
	return connected
}

// CheckLimits returns a *RejectionError where one of the limits is reached for a further request of a client.
func (c *Controller) CheckLimits(client ClientID) error {
	if c.openRequests >= c.limits.OpenRequests {
		return whenFull(LimitOpenRequests, c.openRequests)
	}
	if n := c.openByClient[client]; n >= c.limits.OpenRequestsPerClient {
		return whenFull(LimitOpenRequestsPerClient, n)
	}
	return nil
}

func whenFull(limit Limit, current int) error {
	return &RejectionError{Cause: &LimitError{Limit: limit, Current: current}, RetryAfter: retryAfterWhenFull}
}

// Open admits a request within the limits and counts it as open, or returns a *RejectionError where load is shed.
// Changes are overload.SheddingStarted and overload.SheddingEnded, in order.
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

// Close ends an open request of a client whose container runs (overload.RequestStarted) or whose placement has failed
// (overload.RequestFailed). The client may have disconnected.
func (c *Controller) Close(now scheduler.Time, client ClientID, outcome overload.Event) {
	c.openRequests--
	if c.limiter != nil {
		c.limiter.Handle(now, outcome)
	}
	if c.Connected(client) {
		c.openByClient[client]--
	}
}

// OpenRequests is the number of requests without a final answer.
func (c *Controller) OpenRequests() int { return c.openRequests }

// OpenRequestsOf is the number of those of a connected client.
func (c *Controller) OpenRequestsOf(client ClientID) int { return c.openByClient[client] }

// Limiter sheds the load; nil where it is not shed.
func (c *Controller) Limiter() *overload.Limiter { return c.limiter }
