package session

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"glenport/internal/bgp/wire"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

var bothFamilies = []wire.Family{wire.IPv4, wire.IPv6}

func peerConfig() PeerConfig {
	return PeerConfig{
		LocalAS:     65001,
		PeerAS:      65002,
		LocalID:     [4]byte{10, 0, 0, 5},
		HoldTime:    90 * scheduler.Second,
		Families:    bothFamilies,
		RestartTime: 120 * scheduler.Second,
	}
}

func openMessage(change func(o *wire.Open)) *wire.Open {
	o := &wire.Open{AS: 65002, HoldTime: 30, ID: [4]byte{10, 0, 0, 9}, Families: bothFamilies, FourOctetAS: true}
	if change != nil {
		change(o)
	}
	return o
}

func describeActions(actions []Action) string {
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

// exchange is a test case: the events that a started session handles, and the expected actions of the last event with
// the state after it.
type exchange struct {
	name, want string
	events     []Event
	peer       PeerConfig
}

func newExchange(name, want string, events ...Event) exchange {
	return exchange{name, want, events, peerConfig()}
}

// with returns the exchange with a changed configuration of the peer.
func (e exchange) with(change func(p *PeerConfig)) exchange {
	change(&e.peer)
	return e
}

func checkExchanges(t *testing.T, exchanges ...exchange) {
	t.Helper()
	for _, tc := range exchanges {
		t.Run(tc.name, func(t *testing.T) {
			s := New(tc.peer)
			actions := s.Handle(Start{})
			for _, e := range tc.events {
				actions = s.Handle(e)
			}
			got := describeActions(actions) + "; " + s.State().String()
			testutil.Expect(t, got == tc.want, "got  %s\nwant %s", got, tc.want)
		})
	}
}

const inbound ConnID = 1_000_000

func received(m wire.Message) Event { return MessageReceived{1, m} }

// established returns the events that establish a session on connection 1, followed by more.
func established(more ...Event) []Event {
	return append([]Event{ConnOpened{1, false}, received(openMessage(nil)), received(&wire.Keepalive{})}, more...)
}

// openReceived returns the events up to a changed Open of the peer on connection 1, followed by more.
func openReceived(change func(o *wire.Open), more ...Event) []Event {
	return append([]Event{ConnOpened{1, false}, received(openMessage(change))}, more...)
}

func passive(p *PeerConfig) { p.Passive = true }

func TestSessionIsEstablishedStepByStep(t *testing.T) {
	withoutCapabilities := func(o *wire.Open) { o.Families, o.FourOctetAS = nil, false }
	checkExchanges(t,
		newExchange("dials", "dial 1; Connect"),
		newExchange("waits if passive", "; Active").with(passive),
		newExchange("sends its Open", "open on 1; OpenSent", ConnOpened{1, false}),
		newExchange("confirms", "keepalive on 1; OpenConfirm", openReceived(nil)...),
		newExchange("is established", "up 2; Established", established()...),
		newExchange("the peer connects", "open on 1000000; OpenSent", ConnOpened{inbound, true}).with(passive),
		newExchange("a peer without capabilities", "up 1; Established",
			openReceived(withoutCapabilities, received(&wire.Keepalive{}))...),
	)
}

func TestFailedDialIsRetriedAndAbandonedDialIsClosed(t *testing.T) {
	retryTimer := TimerExpired{ConnectRetryTimer}
	checkExchanges(t,
		newExchange("dial fails", "; Idle", ConnClosed{1}),
		newExchange("retries after the idle hold time", "dial 2; Connect", ConnClosed{1}, TimerExpired{IdleHoldTimer}),
		newExchange("dial takes too long", "close 1, dial 2; Connect", retryTimer),
		newExchange("abandoned dial opens a connection", "close 1; Connect", retryTimer, ConnOpened{1, false}),
	)
}

func TestUnacceptableOpenIsRejected(t *testing.T) {
	rejected := func(name, want string, change func(o *wire.Open)) exchange {
		return newExchange(name, want, openReceived(change)...)
	}
	checkExchanges(t,
		rejected("the wrong AS", "2/2 on 1, close 1; Idle", func(o *wire.Open) { o.AS = 65003 }),
		rejected("the local identifier", "2/3 on 1, close 1; Idle", func(o *wire.Open) { o.ID = peerConfig().LocalID }),
		rejected("no shared family", "2/7 on 1, close 1; Idle", func(o *wire.Open) { o.Families = nil }).
			with(func(p *PeerConfig) { p.Families = bothFamilies[1:] }),
		rejected("no four-octet AS number", "2/7 on 1, close 1; Idle", func(o *wire.Open) { o.FourOctetAS = false }).
			with(func(p *PeerConfig) { p.LocalAS = 4200000001 }),
	)
}

func TestUnexpectedMessageResetsTheConnection(t *testing.T) {
	undecodable := &wire.MessageError{Notification: wire.Notification{Code: 1, Subcode: 1}}
	checkExchanges(t,
		newExchange("keepalive before open", "5/1 on 1, close 1; Idle",
			ConnOpened{1, false}, received(&wire.Keepalive{})),
		newExchange("update before keepalive", "5/2 on 1, close 1; Idle",
			openReceived(nil, received(&wire.Update{}))...),
		newExchange("open in an established session", "5/3 on 1, close 1, down; Idle",
			established(received(openMessage(nil)))...),
		newExchange("garbage", "1/1 on 1, close 1, down; Idle", established(MessageInvalid{1, undecodable})...),
	)
}

func TestEstablishedSessionAnswersItsPeer(t *testing.T) {
	refresh := received(&wire.RouteRefresh{Family: wire.IPv6})
	checkExchanges(t,
		newExchange("routes of the peer are not imported", "ignored; Established",
			established(received(&wire.Update{}))...),
		newExchange("route refresh", "resend 2; Established", established(refresh)...),
		newExchange("sends keepalives", "keepalive on 1; Established", established(TimerExpired{KeepaliveTimer})...),
	)
}

func TestSessionEndsInIdle(t *testing.T) {
	shutdown, stop := received(wire.NewShutdown("maintenance")), Stop{"maintenance"}
	checkExchanges(t,
		newExchange("silent", "4/0 on 1, close 1, down; Idle", established(TimerExpired{HoldTimer})...),
		newExchange("no open in time", "4/0 on 1, close 1; Idle", ConnOpened{1, false}, TimerExpired{HoldTimer}),
		newExchange("the connection ends", "down; Idle", established(ConnClosed{1})...),
		newExchange("the peer shuts down", "close 1, down; Idle", established(shutdown)...),
		newExchange("stopped", "6/2 on 1, close 1, down; Idle", established(stop)...),
		newExchange("remains stopped", "; Idle", established(stop, TimerExpired{IdleHoldTimer})...),
	)
}

func TestUnexpectedConnectionIsRejected(t *testing.T) {
	opened := ConnOpened{inbound, true}
	checkExchanges(t,
		newExchange("while established", "6/5 on 1000000, close 1000000; Established", established(opened)...),
		newExchange("while stopped", "6/5 on 1000000, close 1000000; Idle", established(Stop{""}, opened)...),
	)
}

func TestCollisionKeepsConnectionOfHigherIdentifier(t *testing.T) {
	opened := []Event{ConnOpened{1, false}, ConnOpened{inbound, true}, received(openMessage(nil))}
	opensOnBoth := append(slices.Clone(opened), MessageReceived{inbound, openMessage(nil)})
	established := append(slices.Clone(opened), received(&wire.Keepalive{}))
	higherID := func(p *PeerConfig) { p.LocalID = [4]byte{10, 0, 0, 99} }
	checkExchanges(t,
		newExchange("the peer's identifier is higher: the inbound connection is kept",
			"6/7 on 1, close 1, keepalive on 1000000; OpenConfirm", opensOnBoth...),
		newExchange("the local identifier is higher: the dialed connection is kept",
			"6/7 on 1000000, close 1000000; OpenConfirm", opensOnBoth...).with(higherID),
		newExchange("no Open received on the inbound connection",
			"6/7 on 1000000, close 1000000, up 2; Established", established...),
	)
}
