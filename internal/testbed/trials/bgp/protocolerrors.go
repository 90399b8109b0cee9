package bgp

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
)

// protocolError is a way in which a peer violates the protocol.
type protocolError struct {
	name       string
	start, end func()
}

func protocolErrors(p *emulator.BGPPeer) []protocolError {
	endSilence := func() { p.SetSilent(false) }
	return []protocolError{
		{"garbage", p.SendGarbage, func() {}},
		{"a partial message, then silence", func() { p.SendPartial(); p.SetSilent(true) }, endSilence},
		{"silence", func() { p.SetSilent(true) }, endSilence},
		{
			"another AS",
			func() { p.SetWrongAS(true); p.Reset(); time.Sleep(2 * time.Second) },
			func() { p.SetWrongAS(false) },
		},
	}
}

// runProtocolErrors has one peer violate the protocol. Its session must end and be established again; the session of
// the other peer must not be affected.
func (t *Trial) runProtocolErrors() (string, error) {
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
		t.Failf("the session of the other peer ended")
	}
	if err := t.client.send(&protocol.CancelContainer{ContainerID: id}); err != nil {
		return "", err
	}
	const figures = "each ended the session, which was established again; the other session was not affected"
	return figures, t.waitUntil("the route is withdrawn", func() bool {
		return !announced(bad, service) && !announced(good, service)
	})
}
