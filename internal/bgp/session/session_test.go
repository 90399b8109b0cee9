package session

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

var both = []wire.Family{wire.IPv4, wire.IPv6}

func peer() PeerConfig {
	return PeerConfig{
		OwnAS:       65001,
		PeerAS:      65002,
		ID:          [4]byte{10, 0, 0, 5},
		HoldTime:    90 * scheduler.Second,
		Families:    both,
		RestartTime: 120 * scheduler.Second,
	}
}

func open(change func(o *wire.Open)) *wire.Open {
	o := &wire.Open{AS: 65002, HoldTime: 30, ID: [4]byte{10, 0, 0, 9}, Families: both, FourOctetAS: true}
	if change != nil {
		change(o)
	}
	return o
}

func show(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case Dial:
			all = append(all, fmt.Sprint("dial ", a.Conn))
		case SendMessage:
			s := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a.Message), "*wire."))
			if n, ok := a.Message.(*wire.Notification); ok {
				s = fmt.Sprintf("%d/%d", n.Code, n.Subcode)
			}
			all = append(all, fmt.Sprintf("%s on %d", s, a.Conn))
		case CloseConn:
			all = append(all, fmt.Sprint("close ", a.Conn))
		case Up:
			all = append(all, fmt.Sprint("up ", len(a.Families)))
		case Down:
			all = append(all, "down")
		case ResendRoutes:
			all = append(all, fmt.Sprint("resend ", a.Family))
		case UpdateIgnored:
			all = append(all, "ignored")
		}
	}
	return strings.Join(all, ", ")
}

// exchange starts a session and plays events; the actions of the last event and the state after it are compared.
type exchange struct {
	name   string
	change func(p *PeerConfig)
	events []Event
	want   string
}

func checkExchanges(t *testing.T, exchanges []exchange) {
	t.Helper()
	for _, tc := range exchanges {
		t.Run(tc.name, func(t *testing.T) {
			p := peer()
			if tc.change != nil {
				tc.change(&p)
			}
			s := New(p)
			actions := s.Handle(Start{})
			for _, e := range tc.events {
				actions = s.Handle(e)
			}
			if got := show(actions) + "; " + s.State().String(); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

const inbound ConnID = 1_000_000

// established are the events that establish a session on connection 1, followed by more.
func established(more ...Event) []Event {
	return append(
		[]Event{ConnOpened{1, false}, MessageReceived{1, open(nil)}, MessageReceived{1, &wire.Keepalive{}}},
		more...)
}

// openReceivedOn1 are the events up to the peer's Open, which is changed, on connection 1, followed by more.
func openReceivedOn1(change func(o *wire.Open), more ...Event) []Event {
	return append([]Event{ConnOpened{1, false}, MessageReceived{1, open(change)}}, more...)
}

func passive(p *PeerConfig) { p.Passive = true }

func TestSessionIsEstablishedStepByStep(t *testing.T) {
	checkExchanges(t, []exchange{
		{"dials", nil, nil, "dial 1; Connect"},
		{"passive waits", passive, nil, "; Active"},
		{"sends its Open", nil, []Event{ConnOpened{1, false}}, "open on 1; OpenSent"},
		{"confirms", nil, openReceivedOn1(nil), "keepalive on 1; OpenConfirm"},
		{"is established", nil, established(), "up 2; Established"},
		{"the peer connects", passive, []Event{ConnOpened{inbound, true}}, "open on 1000000; OpenSent"},
		{
			"a peer without capabilities",
			nil,
			openReceivedOn1(func(o *wire.Open) { o.Families, o.FourOctetAS = nil, false },
				MessageReceived{1, &wire.Keepalive{}}),
			"up 1; Established",
		},
	})
}

func TestFailedAttemptIsRetriedAndAbandonedOneClosed(t *testing.T) {
	checkExchanges(t, []exchange{
		{"no connection", nil, []Event{ConnClosed{1}}, "; Idle"},
		{
			"retries after the idle hold time",
			nil,
			[]Event{ConnClosed{1}, TimerExpired{IdleHoldTimer}},
			"dial 2; Connect",
		},
		{"an attempt that takes too long", nil, []Event{TimerExpired{ConnectRetryTimer}}, "close 1, dial 2; Connect"},
		{
			"and opens all the same",
			nil,
			[]Event{TimerExpired{ConnectRetryTimer}, ConnOpened{1, false}},
			"close 1; Connect",
		},
	})
}

func TestUnacceptableOpenIsRejected(t *testing.T) {
	checkExchanges(t, []exchange{
		{"the wrong AS", nil, openReceivedOn1(func(o *wire.Open) { o.AS = 65003 }), "2/2 on 1, close 1; Idle"},
		{"our identifier", nil, openReceivedOn1(func(o *wire.Open) { o.ID = peer().ID }), "2/3 on 1, close 1; Idle"},
		{
			"no family shared", func(p *PeerConfig) { p.Families = both[1:] },
			openReceivedOn1(func(o *wire.Open) { o.Families = nil }), "2/7 on 1, close 1; Idle",
		},
		{
			"four octets needed", func(p *PeerConfig) { p.OwnAS = 4200000001 },
			openReceivedOn1(func(o *wire.Open) { o.FourOctetAS = false }), "2/7 on 1, close 1; Idle",
		},
	})
}

func TestUnexpectedMessageResetsTheConnection(t *testing.T) {
	checkExchanges(t, []exchange{
		{
			"keepalive before open",
			nil,
			[]Event{ConnOpened{1, false}, MessageReceived{1, &wire.Keepalive{}}},
			"5/1 on 1, close 1; Idle",
		},
		{
			"update before keepalive",
			nil,
			openReceivedOn1(nil, MessageReceived{1, &wire.Update{}}),
			"5/2 on 1, close 1; Idle",
		},
		{
			"open in an established session",
			nil,
			established(MessageReceived{1, open(nil)}),
			"5/3 on 1, close 1, down; Idle",
		},
		{
			"garbage",
			nil,
			established(MessageInvalid{1, &wire.MessageError{Notification: wire.Notification{Code: 1, Subcode: 1}}}),
			"1/1 on 1, close 1, down; Idle",
		},
	})
}

func TestEstablishedSessionAnswersItsPeer(t *testing.T) {
	checkExchanges(t, []exchange{
		{
			"routes of the peer are not imported",
			nil,
			established(MessageReceived{1, &wire.Update{}}),
			"ignored; Established",
		},
		{
			"a refresh",
			nil,
			established(MessageReceived{1, &wire.RouteRefresh{Family: wire.IPv6}}),
			"resend 2; Established",
		},
		{"sends keepalives", nil, established(TimerExpired{KeepaliveTimer}), "keepalive on 1; Established"},
	})
}

func TestSessionEndsInIdle(t *testing.T) {
	checkExchanges(t, []exchange{
		{"silent", nil, established(TimerExpired{HoldTimer}), "4/0 on 1, close 1, down; Idle"},
		{"no open in time", nil, []Event{ConnOpened{1, false}, TimerExpired{HoldTimer}}, "4/0 on 1, close 1; Idle"},
		{"the connection ends", nil, established(ConnClosed{1}), "down; Idle"},
		{
			"the peer ends it",
			nil,
			established(MessageReceived{1, wire.NewShutdown("maintenance")}),
			"close 1, down; Idle",
		},
		{"stopped", nil, established(Stop{"maintenance"}), "6/2 on 1, close 1, down; Idle"},
		{"stopped, and stays so", nil, established(Stop{"maintenance"}, TimerExpired{IdleHoldTimer}), "; Idle"},
	})
}

func TestConnectionThatNoStateExpectsIsClosed(t *testing.T) {
	checkExchanges(t, []exchange{
		{
			"while established",
			nil,
			established(ConnOpened{inbound, true}),
			"6/5 on 1000000, close 1000000; Established",
		},
		{"while stopped", nil, established(Stop{""}, ConnOpened{inbound, true}), "6/5 on 1000000, close 1000000; Idle"},
	})
}

func TestCollisionLeavesTheConnectionOfTheHigherIdentifier(t *testing.T) {
	opened := []Event{ConnOpened{1, false}, ConnOpened{inbound, true}, MessageReceived{1, open(nil)}}
	both := append(slices.Clone(opened), MessageReceived{inbound, open(nil)})
	checkExchanges(t, []exchange{
		{
			"the peer's is higher: the inbound one stays",
			nil,
			both,
			"6/7 on 1, close 1, keepalive on 1000000; OpenConfirm",
		},
		{
			"ours is higher: the dialed one stays", func(p *PeerConfig) { p.ID = [4]byte{10, 0, 0, 99} }, both,
			"6/7 on 1000000, close 1000000; OpenConfirm",
		},
		{
			"the other had sent no Open", nil, append(slices.Clone(opened), MessageReceived{1, &wire.Keepalive{}}),
			"6/7 on 1000000, close 1000000, up 2; Established",
		},
	})
}
