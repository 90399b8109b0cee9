package bgp

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
)

// protocolError is one way in which a peer breaks the protocol.
type protocolError struct {
	name       string
	start, end func()
}

func protocolErrors(p *emulator.BGPPeer) []protocolError {
	endSilence := func() { p.SetSilent(false) }
	return []protocolError{
		{"garbage", p.SendGarbage, func() {}},
		{"half a message, then silence", func() { p.SendPartial(); p.SetSilent(true) }, endSilence},
		{"silence", func() { p.SetSilent(true) }, endSilence},
		{
			"another AS",
			func() { p.SetWrongAS(true); p.Reset(); time.Sleep(2 * time.Second) },
			func() { p.SetWrongAS(false) },
		},
	}
}

// playProtocolErrors has a peer break the protocol: its session ends and is established again, the other peer's is not
// touched.
func (t *Trial) playProtocolErrors() (string, error) {
	const service = protocolErrorService
	id, _, err := t.client.place(service, time.Hour)
	if err != nil {
		return "", err
	}
	bad, good := t.peers[0], t.peers[1]
	if err := t.waitAnnouncedToAll(service); err != nil {
		return "", err
	}
	goodSessions := sessionCount(good)
	for _, e := range protocolErrors(bad) {
		before := sessionCount(bad)
		e.start()
		if err := t.waitUntil(
			e.name+" ends the session",
			func() bool { return !bad.Established() || sessionCount(bad) > before },
		); err != nil {
			return "", err
		}
		e.end()
		if err := t.waitUntil("the session is established again with its route", func() bool {
			has, stale := bad.Route(prefix(service))
			return bad.Established() && has && !stale
		}); err != nil {
			return "", fmt.Errorf("%s: %w", e.name, err)
		}
	}
	if sessionCount(good) != goodSessions {
		t.Missf("the other peer's session was touched")
	}
	if err := t.client.send(&protocol.CancelContainer{ContainerID: id}); err != nil {
		return "", err
	}
	const figures = "each ends its session, which is established again; the other is not touched"
	return figures, t.waitUntil("the route is withdrawn", func() bool {
		return !announced(bad, service) && !announced(good, service)
	})
}
