package session

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"glenport/internal/bgp/wire"
	"glenport/internal/golden"
	"glenport/scheduler"
)

// TestDecisionsMatchGoldenDigests runs seeded sequences of events and compares a digest of all actions, in order, and
// of the state after each event with the one in testdata. A changed decision changes the digest; a renamed identifier
// does not.
func TestDecisionsMatchGoldenDigests(t *testing.T) {
	const sequences, steps = 1000, 100
	first := PeerConfig{LocalAS: 65001, PeerAS: 65002, LocalID: [4]byte{10, 0, 0, 5}, Families: bothFamilies}
	first.HoldTime, first.RestartTime = 90*scheduler.Second, 120*scheduler.Second
	passive := first
	passive.LocalID, passive.HoldTime, passive.RestartTime = [4]byte{10, 0, 0, 200}, 9*scheduler.Second, 0
	passive.Families, passive.Passive = bothFamilies[:1], true
	fourOctets := first
	fourOctets.LocalAS, fourOctets.HoldTime, fourOctets.RestartTime = 4_200_000_001, 0, 9000*scheduler.Second
	internal := first
	internal.LocalAS, internal.HoldTime, internal.RestartTime = 65002, 3*scheduler.Second, 0
	internal.Families = bothFamilies[1:]
	var got strings.Builder
	for group, p := range []PeerConfig{first, passive, fourOctets, internal} {
		digest := actionDigest{golden.NewDigest()}
		for seed := range sequences {
			h := &history{
				digest: digest, random: rand.New(rand.NewPCG(uint64(10_000*group+seed), 31)), session: New(p), peer: p,
				connections: map[ConnID]int{},
			}
			h.handle(Start{})
			for range steps {
				h.step()
			}
		}
		fmt.Fprintf(&got, "peer %d: %s\n", group, digest.Summary("actions"))
	}
	golden.CheckText(t, "testdata/decisions.txt", got.String())
}

// actionDigest is a digest of actions: of the ordinal of each type and the values of the fields, except log messages.
// BGP messages are added in their encoding.
type actionDigest struct{ *golden.Digest }

func (d actionDigest) add(a Action) {
	d.Count(1)
	switch a := a.(type) {
	case Dial:
		d.Numbers(1, uint64(a.Conn))
	case SendMessage:
		d.Numbers(2, uint64(a.Conn))
		d.message(a.Message)
	case CloseConn:
		d.Numbers(3, uint64(a.Conn))
	case SetTimer:
		d.Numbers(4, uint64(a.Timer), uint64(a.After))
	case ClearTimer:
		d.Numbers(5, uint64(a.Timer))
	case Up:
		d.Numbers(6, uint64(len(a.Families)))
		for _, f := range a.Families {
			d.Numbers(uint64(f))
		}
		d.Value(a.SendEndOfRIB)
		d.Value(a.FourOctetAS)
	case Down:
		d.Numbers(7)
	case ResendRoutes:
		d.Numbers(8, uint64(a.Family))
	case UpdateIgnored:
		d.Numbers(9)
		d.message(a.Update)
	case Log:
		d.Numbers(10)
	default:
		panic(fmt.Sprintf("no ordinal for %T", a))
	}
}

func (d actionDigest) message(m wire.Message) {
	p, err := wire.Append(nil, m)
	if err != nil {
		panic(err)
	}
	d.Text(string(p))
}

// Progress of a connection as the peer sees it.
const (
	dialed = iota
	connected
	peerOpenReceived
)

// history runs one seeded sequence of events: mostly those of a peer that follows RFC 4271, and some unexpected ones.
type history struct {
	digest      actionDigest
	random      *rand.Rand
	session     *Session
	peer        PeerConfig
	connections map[ConnID]int
	numbers     []ConnID // IDs of the connections, in the order in which they were created
	accepted    ConnID   // number of connections that the peer has opened
}

func (h *history) chance(p float64) bool { return h.random.Float64() < p }

func (h *history) handle(e Event) {
	for _, a := range h.session.Handle(e) {
		h.digest.add(a)
		switch a := a.(type) {
		case Dial:
			h.connections[a.Conn] = dialed
			h.numbers = append(h.numbers, a.Conn)
		case CloseConn:
			delete(h.connections, a.Conn)
		}
	}
	h.digest.Numbers(uint64(h.session.State()))
	open := h.numbers[:0]
	for _, n := range h.numbers {
		if _, exists := h.connections[n]; exists {
			open = append(open, n)
		}
	}
	h.numbers = open
}

func (h *history) step() {
	switch n := h.random.IntN(100); {
	case n < 55 && len(h.numbers) > 0:
		h.advance(h.numbers[h.random.IntN(len(h.numbers))])
	case n < 60 && len(h.numbers) > 0:
		c := h.numbers[h.random.IntN(len(h.numbers))]
		delete(h.connections, c)
		h.handle(ConnClosed{Conn: c})
	case n < 68:
		h.accepted++
		c := 1_000_000 + h.accepted
		h.connections[c] = connected
		h.numbers = append(h.numbers, c)
		h.handle(ConnOpened{Conn: c, Inbound: true})
	case n < 92:
		h.handle(TimerExpired{Timer: Timer(h.random.IntN(int(timerCount)))})
	case n < 94 && len(h.numbers) > 0:
		c := h.numbers[h.random.IntN(len(h.numbers))]
		h.handle(MessageInvalid{Conn: c, Err: &wire.MessageError{Notification: wire.Notification{
			Code: wire.CodeHeader, Subcode: wire.SubcodeNotSynchronized,
			Data: []byte{1, 2},
		}, Reason: "no marker"}})
	case n < 96:
		h.handleUnknownConnection()
	case n < 97:
		h.handle(Stop{Reason: "an operator's word"})
		h.handle(Start{})
	default:
		h.handle(Start{})
	}
}

// advance makes the peer take its next step on a connection, which in most cases is the one that RFC 4271 expects.
func (h *history) advance(c ConnID) {
	switch h.connections[c] {
	case dialed:
		if h.chance(0.3) {
			delete(h.connections, c)
			h.handle(ConnClosed{Conn: c})
			return
		}
		h.connections[c] = connected
		h.handle(ConnOpened{Conn: c})
	case connected:
		h.connections[c] = peerOpenReceived
		if h.chance(0.05) {
			h.handle(MessageReceived{Conn: c, Message: h.message()})
			return
		}
		h.handle(MessageReceived{Conn: c, Message: h.openMessage()})
	default:
		if h.session.State() == OpenConfirm && h.chance(0.9) {
			h.handle(MessageReceived{Conn: c, Message: &wire.Keepalive{}})
			return
		}
		h.handle(MessageReceived{Conn: c, Message: h.message()})
	}
}

func (h *history) openMessage() *wire.Open {
	o := &wire.Open{
		AS:          h.peer.PeerAS,
		HoldTime:    []uint16{0, 3, 30, 180}[h.random.IntN(4)],
		ID:          [4]byte{10, 0, 0, byte(6 + h.random.IntN(9))},
		Families:    []wire.Family{wire.IPv4, wire.IPv6},
		FourOctetAS: true,
		Refresh:     h.chance(0.5),
	}
	if h.chance(0.5) {
		o.Restart = &wire.GracefulRestart{
			Restarted:           h.chance(0.5),
			Time:                60,
			ForwardingPreserved: map[wire.Family]bool{wire.IPv4: true},
		}
	}
	switch h.random.IntN(20) {
	case 0:
		o.AS++
	case 1:
		o.ID = h.peer.LocalID
	case 2:
		o.FourOctetAS = false
	case 3:
		o.Families = nil
	case 4:
		o.Families = o.Families[1:]
	}
	return o
}

func (h *history) message() wire.Message {
	switch h.random.IntN(12) {
	case 0, 1, 2, 3:
		return &wire.Keepalive{}
	case 4, 5:
		return &wire.RouteRefresh{Family: wire.Family(1 + h.random.IntN(3))}
	case 6, 7, 8:
		return &wire.Update{Withdrawn: []netip.Prefix{netip.MustParsePrefix("192.0.2.0/24")}}
	case 9:
		return wire.NewShutdown("maintenance")
	case 10:
		return &wire.Notification{Code: wire.CodeHoldTimerExpired}
	}
	return h.openMessage()
}

// handleUnknownConnection handles an event of a connection that the session does not know.
func (h *history) handleUnknownConnection() {
	switch h.random.IntN(4) {
	case 0:
		h.handle(MessageReceived{Conn: 77, Message: &wire.Keepalive{}})
	case 1:
		h.handle(ConnClosed{Conn: 78})
	case 2:
		h.handle(ConnOpened{Conn: 79})
	case 3:
		h.handle(MessageInvalid{Conn: 80, Err: &wire.MessageError{}})
	}
}
