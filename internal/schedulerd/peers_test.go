package schedulerd

import (
	"net"
	"testing"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
)

// dial opens a connection that is closed at the end of the test, with a deadline for reads and writes.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c := testutil.Dial(t, address)
	testutil.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// acceptOffer accepts an offer, and reports the container as running.
func acceptOffer(c net.Conn, o *protocol.Offer) bool {
	frames.Send(c, &protocol.Accept{AttemptID: o.AttemptID, Running: true})
	return true
}

// listHello returns the hello of a list service in its first incarnation.
func listHello() *protocol.Hello { return protocol.NewHello(protocol.RoleMachineList, "list", 1) }

func fullList(version int64, entries ...protocol.MachineEntry) *protocol.MachineListUpdate {
	return &protocol.MachineListUpdate{FullSnapshot: true, Version: version, Entries: entries}
}

// serveMachineList starts a list service that sends a full list with the addresses of the machines by name.
func serveMachineList(t *testing.T, machines map[string]string) string {
	t.Helper()
	var entries []protocol.MachineEntry
	for id, address := range machines {
		entries = append(entries, protocol.MachineEntry{Machine: id, Address: address, Incarnation: 1, Age: -1})
	}
	return testutil.ServeUntilEnd(t, func(c net.Conn) {
		frames.Send(c, listHello())
		frames.Handle(c, func(c net.Conn, f protocol.Frame) bool {
			if _, ok := f.(*protocol.WatchMachineList); ok {
				frames.Send(c, fullList(1, entries...))
			}
			return true
		})
	})
}

// sendHello sends the hello and the inventory of a machine.
func sendHello(c net.Conn, name string, incarnation uint64, inventory *protocol.Inventory) {
	frames.Send(c, protocol.NewHello(protocol.RoleMachine, name, incarnation), inventory)
}

// serveMachine starts a machine that sends hello and an empty inventory, and passes each frame to a handler.
func serveMachine(t *testing.T, name string, handle frames.Handler) string {
	t.Helper()
	return testutil.ServeUntilEnd(t, func(c net.Conn) {
		if f, err := frames.Receive(c); err != nil || f.(*protocol.Hello).Role != protocol.RoleScheduler {
			return
		}
		sendHello(c, name, 1, &protocol.Inventory{})
		frames.Handle(c, handle)
	})
}

// serveSlowMachine starts a machine that accepts every offer. It sends hello and inventory only once it receives its
// incarnation on the channel hello.
func serveSlowMachine(t *testing.T, name string) (address string, hello chan uint64, offered chan string) {
	t.Helper()
	hello, offered = make(chan uint64), make(chan string, 100)
	done := make(chan struct{})
	address = testutil.ServeUntilEnd(t, func(c net.Conn) {
		var incarnation uint64
		select {
		case incarnation = <-hello:
		case <-done:
			return
		}
		frames.Skip(c)
		sendHello(c, name, incarnation, &protocol.Inventory{MachineIncarnation: incarnation})
		frames.Handle(c, frames.OnOffer(func(c net.Conn, o *protocol.Offer) bool {
			offered <- o.Spec.ContainerID
			return acceptOffer(c, o)
		}))
	})
	t.Cleanup(func() { close(done) })
	return address, hello, offered
}

type testClient struct {
	t *testing.T
	net.Conn
}

func dialClient(t *testing.T, address string) *testClient {
	t.Helper()
	client := &testClient{t, dial(t, address)}
	frames.Send(client, protocol.NewHello(protocol.RoleClient, "client", 1))
	hello, ok := client.receive().(*protocol.Hello)
	testutil.Require(t, ok && hello.Role == protocol.RoleScheduler, "the scheduler sends no hello")
	return client
}

func (c *testClient) receive() protocol.Frame {
	c.t.Helper()
	f, err := frames.Receive(c)
	testutil.Require(c.t, err == nil, "connection closed: %v", err)
	return f
}

func (c *testClient) receiveReply() *protocol.PlacementReply {
	c.t.Helper()
	f := c.receive()
	reply, ok := f.(*protocol.PlacementReply)
	testutil.Require(c.t, ok, "got %T, want a reply", f)
	return reply
}

// wantReply receives a reply and checks its verdict.
func (c *testClient) wantReply(want protocol.Verdict) *protocol.PlacementReply {
	c.t.Helper()
	reply := c.receiveReply()
	testutil.Require(c.t, reply.Verdict == want, "got %+v, want %v", reply, want)
	return reply
}

// wantTermination receives a termination and checks its outcome.
func (c *testClient) wantTermination(want protocol.Outcome) {
	c.t.Helper()
	got, ok := c.receive().(*protocol.Termination)
	testutil.Expect(c.t, ok && got.Outcome == want, "termination %v, want %v", got, want)
}

// specFor returns a container spec with its own idempotency key.
func specFor(id string, class int) protocol.ContainerSpec {
	return protocol.ContainerSpec{
		ContainerID: id, IdempotencyKey: "k-" + id, Service: "s", WorkloadClass: class, Cores: 1, Memory: 1,
	}
}

// submit requests a container with its own idempotency key.
func (c *testClient) submit(id string, class int) { c.submitSpec(specFor(id, class)) }

func (c *testClient) submitSpec(spec protocol.ContainerSpec) {
	frames.Send(c, &protocol.Submit{TimeToDeadline: 60_000, Spec: spec})
}
