package admission

import (
	"errors"
	"testing"

	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

func TestClientsBeyondTheLimitAreRejected(t *testing.T) {
	c := New(Limits{Clients: 2, OpenRequests: 9, OpenRequestsPerClient: 9}, 1, nil)
	for client := range ClientID(2) {
		if err := c.Connect(client); err != nil {
			t.Fatal(err)
		}
	}
	var limit *LimitError
	if err := c.Connect(
		2,
	); !errors.As(err, &limit) || limit.Limit != LimitClients || limit.Current != 2 ||
		c.Connected(2) {
		t.Errorf("a third client: %v", err)
	}
	c.Disconnect(0)
	if err := c.Connect(2); err != nil || !c.Connected(2) || c.Connected(0) {
		t.Errorf("a third client in place of one that left: %v", err)
	}
}

func TestRequestsBeyondALimitAreRejected(t *testing.T) {
	failed := overload.RequestFailed{}
	for _, tc := range []struct {
		name  string
		act   func(open func(ClientID), c *Controller)
		limit Limit // that a request of client 1 meets; 0: none
	}{
		{"below all", func(open func(ClientID), _ *Controller) { open(1) }, 0},
		{"too many of the client", func(open func(ClientID), _ *Controller) { open(1); open(1) }, LimitOpenRequestsPerClient},
		{"too many of another client", func(open func(ClientID), _ *Controller) { open(2); open(2) }, 0},
		{"too many in all", func(open func(ClientID), _ *Controller) { open(1); open(2); open(2) }, LimitOpenRequests},
		{"one was closed", func(open func(ClientID), c *Controller) { open(1); open(1); c.Close(0, 1, failed) }, 0},
		{"requests of a client that left stay open", func(open func(ClientID), c *Controller) {
			open(2)
			open(2)
			open(1)
			c.Disconnect(2)
		}, LimitOpenRequests},
		{"until they are closed", func(open func(ClientID), c *Controller) {
			open(2)
			open(2)
			open(1)
			c.Disconnect(2)
			c.Close(0, 2, failed)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Limits{Clients: 2, OpenRequests: 3, OpenRequestsPerClient: 2}, 1, nil)
			for _, client := range []ClientID{1, 2} {
				if err := c.Connect(client); err != nil {
					t.Fatal(err)
				}
			}
			tc.act(func(client ClientID) {
				if _, err := c.Open(0, client, scheduler.PlacementRequest{}); err != nil {
					t.Fatal(err)
				}
			}, c)
			err := c.CheckLimits(1)
			if tc.limit == 0 {
				if err != nil {
					t.Errorf("rejected: %v", err)
				}
				return
			}
			var rejection *RejectionError
			var limit *LimitError
			if !errors.As(err, &rejection) || !errors.As(err, &limit) {
				t.Fatalf("%v is no rejection by a limit", err)
			}
			if limit.Limit != tc.limit || rejection.RetryAfter != retryAfterWhenFull {
				t.Errorf("%v, want limit %d", err, tc.limit)
			}
		})
	}
}

// A request that is shed is not open, and says when to retry. Shedding is announced once.
func TestShedRequestIsNotOpen(t *testing.T) {
	classes := []overload.WorkloadClass{{LatencyObjective: scheduler.Second, PriorityWeight: 1}}
	c := New(Limits{Clients: 1, OpenRequests: 2, OpenRequestsPerClient: 9}, 1, classes)
	if err := c.Connect(1); err != nil {
		t.Fatal(err)
	}
	announced, shed := 0, 0
	for range 5 {
		changes, err := c.Open(0, 1, scheduler.PlacementRequest{})
		announced += len(changes)
		if err == nil {
			continue
		}
		shed++
		var rejection *RejectionError
		var cause *ShedError
		if !errors.As(err, &rejection) || !errors.As(err, &cause) {
			t.Fatalf("%v is no rejection by shedding", err)
		}
		if cause.Reason != overload.ReasonLimitReached || rejection.RetryAfter <= 0 {
			t.Errorf("%v, retry after %d", cause, rejection.RetryAfter)
		}
	}
	if announced != 1 || shed != 3 || c.OpenRequests() != 2 || c.OpenRequestsOf(1) != 2 || c.Limiter().Open() != 2 {
		t.Errorf("%d announced, %d shed, %d open", announced, shed, c.OpenRequests())
	}
}
