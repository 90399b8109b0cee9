package session

import (
	"maps"
	"slices"
	"testing"

	"glenport/internal/bgp/wire"
	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"

	"pgregory.net/rapid"
)

// No event causes a panic in any state. An established session has one connection. A started session always has a
// running timer or a dial in progress, so that it cannot get stuck. It sends only on open connections.
func TestInvariantsHoldForEveryEventInEveryState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := peerConfig()
		p.Passive = rapid.Bool().Draw(t, "passive")
		m := &invariantModel{
			T: t, session: New(p), timers: map[Timer]bool{}, open: map[ConnID]bool{}, dialed: map[ConnID]bool{},
			lastInbound: inbound,
		}
		m.handle(Start{})
		for range 50 {
			m.step()
			m.check()
		}
	})
}

// invariantModel tracks the timers, connections and dials of a session by its actions.
type invariantModel struct {
	*rapid.T
	session     *Session
	timers      map[Timer]bool
	open        map[ConnID]bool
	dialed      map[ConnID]bool
	lastInbound ConnID
	up          int // number of Up actions minus Down actions
}

func (m *invariantModel) handle(e Event) {
	for _, a := range m.session.Handle(e) {
		m.record(a)
	}
}

func (m *invariantModel) record(a Action) {
	switch a := a.(type) {
	case Dial:
		m.dialed[a.Conn] = true
	case CloseConn:
		delete(m.open, a.Conn)
		delete(m.dialed, a.Conn)
	case SetTimer:
		m.timers[a.Timer] = true
	case ClearTimer:
		delete(m.timers, a.Timer)
	case Up:
		m.up++
	case Down:
		m.up--
	case SendMessage:
		testutil.Require(m, m.open[a.Conn], "sends on connection %d, which is not open", a.Conn)
	}
}

func (m *invariantModel) step() {
	switch rapid.IntRange(0, 8).Draw(m.T, "event") {
	case 0:
		m.dialSucceeds()
	case 1:
		m.dialFails()
	case 2:
		m.lastInbound++
		m.open[m.lastInbound] = true
		m.handle(ConnOpened{m.lastInbound, true})
	case 3:
		if c := m.newestOpen(); c > 0 {
			delete(m.open, c)
			m.handle(ConnClosed{c})
		}
	case 4, 5:
		m.receive()
	case 6:
		if c := m.newestOpen(); c > 0 {
			m.handle(MessageInvalid{c, &wire.MessageError{Notification: wire.Notification{Code: 1}}})
		}
	case 7:
		m.expireTimer()
	case 8:
		if rapid.IntRange(0, 9).Draw(m.T, "stop") == 0 {
			m.handle(Stop{"x"})
			m.handle(Start{})
		}
	}
}

// newestOpen returns the highest open connection, or 0.
func (m *invariantModel) newestOpen() (newest ConnID) {
	for c := range m.open {
		newest = max(newest, c)
	}
	return newest
}

// drawDialed draws one of the connections that are being dialed, or 0 if there is none. They may include a dial that
// outlived a failed inbound connection.
func (m *invariantModel) drawDialed() ConnID {
	if len(m.dialed) == 0 {
		return 0
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.dialed))).Draw(m.T, "dialed")
}

func (m *invariantModel) dialSucceeds() {
	if c := m.drawDialed(); c > 0 {
		m.open[c] = true
		delete(m.dialed, c)
		m.handle(ConnOpened{c, false})
	}
}

func (m *invariantModel) dialFails() {
	if c := m.drawDialed(); c > 0 {
		delete(m.dialed, c)
		m.handle(ConnClosed{c})
	}
}

func (m *invariantModel) receive() {
	c := m.newestOpen()
	if c == 0 {
		return
	}
	messages := []wire.Message{
		openMessage(nil), &wire.Keepalive{}, &wire.Update{}, &wire.Notification{Code: 6},
		&wire.RouteRefresh{Family: wire.IPv4},
	}
	m.handle(MessageReceived{c, messages[rapid.IntRange(0, len(messages)-1).Draw(m.T, "message")]})
}

func (m *invariantModel) expireTimer() {
	timer := Timer(rapid.IntRange(0, int(timerCount)-1).Draw(m.T, "timer"))
	if m.timers[timer] {
		delete(m.timers, timer)
		m.handle(TimerExpired{timer})
	}
}

func (m *invariantModel) check() {
	state := m.session.State()
	testutil.Require(m, (state == Established) == (m.up == 1) && m.up >= 0 && m.up <= 1,
		"%s, but Up minus Down is %d", state, m.up)
	testutil.Require(m, state != Established || len(m.open) == 1, "established with %d connections", len(m.open))
	testutil.Require(m, len(m.timers) != 0 || len(m.dialed) != 0,
		"%s without a timer or a dial: the session is stuck", state)
}
