package schedulerd

import (
	"errors"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// The texts are sent in a Goodbye: they are part of the wire format.
func TestPeerErrorsKeepTheirTypeAndText(t *testing.T) {
	m := &machine{id: "a"}
	ready := &machine{id: "a", conn: machineConn{state: machineReady}}
	client := &clientConn{}
	for _, tc := range []struct {
		name         string
		handle       func(protocol.Frame) error
		frame        protocol.Frame
		want         error
		text, logged string
	}{
		{
			"another role", m.handleFrame, protocol.NewHello(protocol.RoleClient, "a", 1), errUnexpectedPeer,
			`owner "a" answers where machine a was called`, `unexpected peer: owner "a" instead of machine a`,
		},
		{
			"another machine", m.handleFrame, protocol.NewHello(protocol.RoleMachine, "b", 1), errUnexpectedPeer,
			`machine "b" answers where machine a was called`, `unexpected peer: machine "b" instead of machine a`,
		},
		{
			"a second inventory", ready.handleFrame, &protocol.Inventory{}, errDuplicateInventory,
			"says twice what it holds", "machine reported its inventory twice",
		},
		{
			"goodbye of a machine", m.handleFrame, &protocol.Goodbye{Message: "maintenance"}, errPeerGoodbye,
			"machine says: maintenance", "peer said goodbye: maintenance",
		},
		{
			"a frame not for machines", m.handleFrame, &protocol.StatusRequest{}, errUnexpectedFrame,
			"AskStatus is not for a placer", "unexpected frame: AskStatus",
		},
		{
			"a machine instead of a client", client.handleFrame,
			protocol.NewHello(protocol.RoleMachine, "a", 1), errUnexpectedPeer,
			"a machine has no business at this door", "unexpected peer: machine",
		},
		{
			"a frame not for clients", client.handleFrame, &protocol.Probe{}, errUnexpectedFrame,
			"Probe is not for the door", "unexpected frame: Probe",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.handle(tc.frame)
			testutil.Expect(t, errors.Is(err, tc.want) && err.Error() == tc.text,
				"got %v, want %v with the text %q", err, tc.want, tc.text)
			var peer *peerError
			testutil.Expect(t, errors.As(err, &peer) && peer.LogValue().String() == tc.logged,
				"logged %v, want %q", peer, tc.logged)
		})
	}
}

func TestErrorDurationIsInMilliseconds(t *testing.T) {
	err := withDuration(errSilent, eventloop.Tick(3*scheduler.Second))
	testutil.Expect(t, errors.Is(err, errSilent) && err.Error() == "no complete frame received for 3000 ms",
		"got %v", err)
}
