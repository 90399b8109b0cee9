package connmanager

import (
	"slices"
	"testing"

	"glenport/internal/testutil"
)

// notifiedClients returns the clients that the actions notify of the end of container "x". It ignores container "w".
func notifiedClients(t *testing.T, actions []Action) (out []ClientID) {
	t.Helper()
	for _, a := range actions {
		a, ok := a.(NotifyTermination)
		if !ok || a.RequestID == "w" {
			continue
		}
		testutil.Expect(t, a.RequestID == "x" && a.Cause == 16, "notified %+v", a)
		out = append(out, a.Client)
	}
	return out
}

// servedClient returns the events of a client that connects and is served.
func servedClient(id ClientID) []Event {
	return append([]Event{ClientConnected{id}}, answeredRequest(id)...)
}

// owner returns the events of a client that connects and is served, and whose request is accepted.
func owner(id ClientID) []Event { return append(servedClient(id), OwnershipProven{id}) }

// notificationTest checks which clients are notified of the end of container "x", and in which order.
type notificationTest struct {
	name          string
	earlierEvents []Event
	requester     ClientID
	laterEvents   map[Time]Event // by the time in tenths of a second
	want          []ClientID
}

// The client that requested the container is notified first, then the other owners, until one acknowledges.
func TestTerminationIsNotifiedUntilAcknowledged(t *testing.T) {
	acknowledged := TerminationAcknowledged{RequestID: "x"}
	for _, tc := range []notificationTest{
		{"the requester acknowledges", owner(1), 1, map[Time]Event{1: acknowledged}, []ClientID{1}},
		{
			"the requester has disconnected",
			slices.Concat(owner(1), servedClient(2), owner(3), servedClient(4), []Event{ClientDisconnected{1}}), 1,
			map[Time]Event{1: acknowledged},
			[]ClientID{3},
		},
		{
			"the requester disconnects before it acknowledges", slices.Concat(owner(1), owner(2)), 1,
			map[Time]Event{1: ClientDisconnected{1}, 2: acknowledged},
			[]ClientID{1, 2},
		},
		{
			"nobody acknowledges", slices.Concat(owner(1), owner(2), owner(3), servedClient(4)), 2, nil,
			[]ClientID{2, 3, 1, 4},
		},
		{
			"another termination is acknowledged", slices.Concat(owner(1), owner(2)), 1,
			map[Time]Event{1: TerminationAcknowledged{RequestID: "y"}},
			[]ClientID{1, 2},
		},
		{"no client is an owner", servedClient(4), 0, map[Time]Event{15: acknowledged}, []ClientID{4}},
		{
			"an owner connects later", servedClient(4), 0,
			map[Time]Event{4: ClientConnected{5}, 5: OwnershipProven{5}, 9: acknowledged},
			[]ClientID{5},
		},
		{
			"only a client that awaits its first answer",
			[]Event{ClientConnected{4}, PlacementRequested{4}},
			0,
			map[Time]Event{8: acknowledged},
			[]ClientID{4},
		},
		{
			"a genuine acknowledgement outranks an unsolicited one",
			slices.Concat([]Event{
				ClientConnected{1},
				ContainerReclaimed{1},
				ContainerTerminated{"w", 16, 1},
				TerminationAcknowledged{"w", 1},
				ClientConnected{2},
			}, owner(3), []Event{
				ContainerReclaimed{2}, TerminationAcknowledged{"w", 2}, TerminationAcknowledged{"v", 2},
			}),
			0, nil,
			[]ClientID{1, 3, 2},
		},
		{"no client", nil, 0, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) { tc.check(t) })
	}
}

func (tc notificationTest) check(t *testing.T) {
	t.Helper()
	const tenth = Second / 10
	m := New(100)
	var got []ClientID
	handle := func(now Time, e Event) { got = append(got, notifiedClients(t, m.Handle(now, []Event{e}))...) }
	for _, e := range tc.earlierEvents {
		handle(1, e)
	}
	handle(2, ContainerTerminated{"x", 16, tc.requester})
	for i := Time(1); i <= 110; i++ {
		if e := tc.laterEvents[i]; e != nil {
			handle(i*tenth, e)
		}
		handle(i*tenth, Tick{})
	}
	testutil.Expect(t, slices.Equal(got, tc.want), "notified %v, want %v", got, tc.want)
	testutil.Expect(t, len(m.terminations) == 0, "%d terminations remain", len(m.terminations))
}
