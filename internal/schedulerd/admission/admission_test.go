package admission

import (
	"errors"
	"testing"

	"glenport/internal/schedulerd/overload"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

func TestClientsBeyondTheLimitAreRejected(t *testing.T) {
	c := New(Limits{Clients: 2, OpenRequests: 9, OpenRequestsPerClient: 9}, 1, nil)
	connect(t, c, 0, 1)
	var limit *LimitError
	err := c.Connect(2)
	testutil.Expect(t, errors.As(err, &limit) && limit.Limit == LimitClients && limit.Current == 2 && !c.Connected(2),
		"a third client: %v", err)
	c.Disconnect(0)
	if err := c.Connect(2); err != nil || !c.Connected(2) || c.Connected(0) {
		t.Errorf("a third client after another has disconnected: %v", err)
	}
}

func connect(t *testing.T, c *Controller, clients ...ClientID) {
	t.Helper()
	for _, client := range clients {
		testutil.NoError(t, c.Connect(client))
	}
}

// openAll opens one request for each of the clients, in order.
func openAll(t *testing.T, c *Controller, clients ...ClientID) {
	t.Helper()
	for _, client := range clients {
		if _, err := c.Open(0, client, scheduler.PlacementRequest{}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRequestsBeyondALimitAreRejected(t *testing.T) {
	type clients = []ClientID
	closeFirst := func(c *Controller) { c.Close(0, 1, overload.RequestFailed{}) }
	disconnectSecond := func(c *Controller) { c.Disconnect(2) }
	closeAfterwards := func(c *Controller) {
		c.Disconnect(2)
		c.Close(0, 2, overload.RequestFailed{})
	}
	for _, tc := range []struct {
		name  string
		open  clients // clients that send the requests, in order
		then  func(*Controller)
		limit Limit // limit that another request of client 1 would exceed; 0: none
	}{
		{"below all", clients{1}, nil, 0},
		{"too many of the client", clients{1, 1}, nil, LimitOpenRequestsPerClient},
		{"too many of another client", clients{2, 2}, nil, 0},
		{"too many in total", clients{1, 2, 2}, nil, LimitOpenRequests},
		{"one was closed", clients{1, 1}, closeFirst, 0},
		{"requests of a disconnected client stay open", clients{2, 2, 1}, disconnectSecond, LimitOpenRequests},
		{"requests of a disconnected client are closed", clients{2, 2, 1}, closeAfterwards, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Limits{Clients: 2, OpenRequests: 3, OpenRequestsPerClient: 2}, 1, nil)
			connect(t, c, 1, 2)
			openAll(t, c, tc.open...)
			if tc.then != nil {
				tc.then(c)
			}
			checkLimit(t, c.CheckLimits(1), tc.limit)
		})
	}
}

// checkLimit checks that a request was rejected because of a limit, or was not rejected if the limit is 0.
func checkLimit(t *testing.T, err error, want Limit) {
	t.Helper()
	if want == 0 {
		testutil.Expect(t, err == nil, "rejected: %v", err)
		return
	}
	var rejection *RejectionError
	var limit *LimitError
	testutil.Require(t, errors.As(err, &rejection) && errors.As(err, &limit), "%v is not a LimitError", err)
	testutil.Expect(t, limit.Limit == want && rejection.RetryAfter == retryAfterAtLimit,
		"%v, want limit %d", err, want)
}

// A request that is shed does not count as open, and its rejection has a retry-after. The start of shedding is reported
// once.
func TestShedRequestIsNotOpen(t *testing.T) {
	classes := []overload.WorkloadClass{{LatencyObjective: scheduler.Second, PriorityWeight: 1}}
	c := New(Limits{Clients: 1, OpenRequests: 2, OpenRequestsPerClient: 9}, 1, classes)
	connect(t, c, 1)
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
		testutil.Require(t, errors.As(err, &rejection) && errors.As(err, &cause), "%v is not a ShedError", err)
		testutil.Expect(t, cause.Reason == overload.ReasonLimitReached && rejection.RetryAfter > 0,
			"%v, retry after %d", cause, rejection.RetryAfter)
	}
	if announced != 1 || shed != 3 || c.OpenRequests() != 2 || c.OpenRequestsOf(1) != 2 || c.Limiter().Open() != 2 {
		t.Errorf("%d changes reported, %d shed, %d open", announced, shed, c.OpenRequests())
	}
}
