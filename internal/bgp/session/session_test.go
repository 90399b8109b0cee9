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
	name, want string
	events     []Event
	peer       PeerConfig
}

func played(name, want string, events ...Event) exchange { return exchange{name, want, events, peer()} }

// with changes the configuration of an exchange's peer.
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
			if got := show(actions) + "; " + s.State().String(); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

const inbound ConnID = 1_000_000

func received(m wire.Message) Event { return MessageReceived{1, m} }

// established are the events that establish a session on connection 1, followed by more.
func established(more ...Event) []Event {
	return append([]Event{ConnOpened{1, false}, received(open(nil)), received(&wire.Keepalive{})}, more...)
}

// openReceivedOn1 are the events up to the peer's Open, which is changed, on connection 1, followed by more.
func openReceivedOn1(change func(o *wire.Open), more ...Event) []Event {
	return append([]Event{ConnOpened{1, false}, received(open(change))}, more...)
}

func passive(p *PeerConfig) { p.Passive = true }

func TestSessionIsEstablishedStepByStep(t *testing.T) {
	withoutCapabilities := func(o *wire.Open) { o.Families, o.FourOctetAS = nil, false }
	checkExchanges(t,
		played("dials", "dial 1; Connect"),
		played("passive waits", "; Active").with(passive),
		played("sends its Open", "open on 1; OpenSent", ConnOpened{1, false}),
		played("confirms", "keepalive on 1; OpenConfirm", openReceivedOn1(nil)...),
		played("is established", "up 2; Established", established()...),
		played("the peer connects", "open on 1000000; OpenSent", ConnOpened{inbound, true}).with(passive),
		played("a peer without capabilities", "up 1; Established",
			openReceivedOn1(withoutCapabilities, received(&wire.Keepalive{}))...),
	)
}

func TestFailedAttemptIsRetriedAndAbandonedOneClosed(t *testing.T) {
	tooLong := TimerExpired{ConnectRetryTimer}
	checkExchanges(t,
		played("no connection", "; Idle", ConnClosed{1}),
		played("retries after the idle hold time", "dial 2; Connect", ConnClosed{1}, TimerExpired{IdleHoldTimer}),
		played("an attempt that takes too long", "close 1, dial 2; Connect", tooLong),
		played("and opens all the same", "close 1; Connect", tooLong, ConnOpened{1, false}),
	)
}

func TestUnacceptableOpenIsRejected(t *testing.T) {
	rejected := func(name, want string, change func(o *wire.Open)) exchange {
		return played(name, want, openReceivedOn1(change)...)
	}
	checkExchanges(t,
		rejected("the wrong AS", "2/2 on 1, close 1; Idle", func(o *wire.Open) { o.AS = 65003 }),
		rejected("our identifier", "2/3 on 1, close 1; Idle", func(o *wire.Open) { o.ID = peer().ID }),
		rejected("no family shared", "2/7 on 1, close 1; Idle", func(o *wire.Open) { o.Families = nil }).
			with(func(p *PeerConfig) { p.Families = both[1:] }),
		rejected("four octets needed", "2/7 on 1, close 1; Idle", func(o *wire.Open) { o.FourOctetAS = false }).
			with(func(p *PeerConfig) { p.OwnAS = 4200000001 }),
	)
}

func TestUnexpectedMessageResetsTheConnection(t *testing.T) {
	garbage := &wire.MessageError{Notification: wire.Notification{Code: 1, Subcode: 1}}
	checkExchanges(t,
		played("keepalive before open", "5/1 on 1, close 1; Idle", ConnOpened{1, false}, received(&wire.Keepalive{})),
		played("update before keepalive", "5/2 on 1, close 1; Idle", openReceivedOn1(nil, received(&wire.Update{}))...),
		played("open in an established session", "5/3 on 1, close 1, down; Idle", established(received(open(nil)))...),
		played("garbage", "1/1 on 1, close 1, down; Idle", established(MessageInvalid{1, garbage})...),
	)
}

func TestEstablishedSessionAnswersItsPeer(t *testing.T) {
	refresh := received(&wire.RouteRefresh{Family: wire.IPv6})
	checkExchanges(t,
		played("routes of the peer are not imported", "ignored; Established", established(received(&wire.Update{}))...),
		played("a refresh", "resend 2; Established", established(refresh)...),
		played("sends keepalives", "keepalive on 1; Established", established(TimerExpired{KeepaliveTimer})...),
	)
}

func TestSessionEndsInIdle(t *testing.T) {
	shutdown, stop := received(wire.NewShutdown("maintenance")), Stop{"maintenance"}
	checkExchanges(t,
		played("silent", "4/0 on 1, close 1, down; Idle", established(TimerExpired{HoldTimer})...),
		played("no open in time", "4/0 on 1, close 1; Idle", ConnOpened{1, false}, TimerExpired{HoldTimer}),
		played("the connection ends", "down; Idle", established(ConnClosed{1})...),
		played("the peer ends it", "close 1, down; Idle", established(shutdown)...),
		played("stopped", "6/2 on 1, close 1, down; Idle", established(stop)...),
		played("stopped, and stays so", "; Idle", established(stop, TimerExpired{IdleHoldTimer})...),
	)
}

func TestConnectionThatNoStateExpectsIsClosed(t *testing.T) {
	opened := ConnOpened{inbound, true}
	checkExchanges(t,
		played("while established", "6/5 on 1000000, close 1000000; Established", established(opened)...),
		played("while stopped", "6/5 on 1000000, close 1000000; Idle", established(Stop{""}, opened)...),
	)
}

func TestCollisionLeavesTheConnectionOfTheHigherIdentifier(t *testing.T) {
	opened := []Event{ConnOpened{1, false}, ConnOpened{inbound, true}, received(open(nil))}
	both := append(slices.Clone(opened), MessageReceived{inbound, open(nil)})
	established := append(slices.Clone(opened), received(&wire.Keepalive{}))
	higher := func(p *PeerConfig) { p.ID = [4]byte{10, 0, 0, 99} }
	checkExchanges(t,
		played("the peer's is higher: the inbound one stays",
			"6/7 on 1, close 1, keepalive on 1000000; OpenConfirm", both...),
		played("ours is higher: the dialed one stays",
			"6/7 on 1000000, close 1000000; OpenConfirm", both...).with(higher),
		played("the other had sent no Open", "6/7 on 1000000, close 1000000, up 2; Established", established...),
	)
}
