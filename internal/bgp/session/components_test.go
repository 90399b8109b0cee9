package session

import (
	"testing"

	"glenport/internal/bgp/wire"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

func TestIdleHoldTimeDoublesUntilItIsReset(t *testing.T) {
	actions := &actionQueue{}
	timers := newTimers(actions)
	for _, seconds := range []scheduler.Time{1, 2, 4, 8, 16, 32, 60, 60, 0, 1} {
		if seconds == 0 {
			timers.resetIdleHoldTime()
			continue
		}
		timers.startIdleHoldTimer()
		testutil.DeepEqual(t, actions.take()[1], Action(SetTimer{IdleHoldTimer, seconds * scheduler.Second}))
	}
}

func TestNoKeepaliveIsSentWithoutHoldTime(t *testing.T) {
	actions := &actionQueue{}
	timers := newTimers(actions)
	timers.startNegotiatedTimers(9 * scheduler.Second)
	if got := actions.take(); got[1] != (SetTimer{KeepaliveTimer, 3 * scheduler.Second}) {
		t.Errorf("%+v", got)
	}
	timers.startNegotiatedTimers(0)
	timers.restartHoldTimer()
	if got := actions.take(); len(got) != 2 || got[1] != (ClearTimer{KeepaliveTimer}) {
		t.Errorf("without a hold time: %+v", got)
	}
}

func TestNegotiationTakesTheLowerHoldTimeAndSharedFamilies(t *testing.T) {
	n := negotiation{peerConfig()}
	o := openMessage(func(o *wire.Open) { o.Families = bothFamilies[1:] })
	testutil.Equal(t, n.holdTime(o), 30*scheduler.Second, "hold time")
	up := n.result(o)
	testutil.Expect(t, len(up.Families) == 1 && up.Families[0] == wire.IPv6 && !up.SendEndOfRIB, "%+v", up)
	testutil.Expect(t, n.keepsInbound(o), "the connection of the side with the lower identifier is kept")
}

func TestAbandonedDialIsNotUsed(t *testing.T) {
	actions := &actionQueue{}
	connections := newConnections(actions)
	connections.dial()
	connections.abandonDial()
	connections.abandonDial()
	got := actions.take()
	testutil.Expect(t, len(got) == 2 && got[1] == (CloseConn{1}), "%+v", got)
	if !connections.isAbandoned(ConnOpened{Conn: 1}) || connections.isAbandoned(ConnOpened{Conn: 1, Inbound: true}) {
		t.Error("only the opened connection of the abandoned dial counts as abandoned")
	}
}
