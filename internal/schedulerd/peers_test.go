package schedulerd

import (
	"net"
	"testing"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
)

// dial connects until the end of the test, and bounds all that is read and written.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c := testutil.Dial(t, address)
	testutil.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// acceptOffer accepts an offer as running.
func acceptOffer(c net.Conn, o *protocol.Offer) bool {
	frames.Send(c, &protocol.Accept{AttemptID: o.AttemptID, Running: true})
	return true
}

// listHello is the hello of the first incarnation of a list service.
func listHello() *protocol.Hello { return protocol.NewHello(protocol.RoleMachineList, "list", 1) }

func fullList(version int64, entries ...protocol.MachineEntry) *protocol.MachineListUpdate {
	return &protocol.MachineListUpdate{FullSnapshot: true, Version: version, Entries: entries}
}

// serveMachineList names machines by their addresses in a full list.
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

// sendHello sends what a machine sends first.
func sendHello(c net.Conn, name string, incarnation uint64, inventory *protocol.Inventory) {
	frames.Send(c, protocol.NewHello(protocol.RoleMachine, name, incarnation), inventory)
}

// serveMachine sends hello and an empty inventory, and hands on each frame.
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

// serveSlowMachine sends hello and inventory when it gets an incarnation, and accepts every offer.
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
	if hello, ok := client.receive().(*protocol.Hello); !ok || hello.Role != protocol.RoleScheduler {
		t.Fatal("the scheduler sends no hello")
	}
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
	testutil.Require(c.t, ok, "got a %T, want a reply", f)
	return reply
}

// wantReply receives a reply and checks its verdict.
func (c *testClient) wantReply(want protocol.Verdict) *protocol.PlacementReply {
	c.t.Helper()
	reply := c.receiveReply()
	testutil.Require(c.t, reply.Verdict == want, "got %+v, want %v", reply, want)
	return reply
}

// wantTermination receives the end of a container that ran.
func (c *testClient) wantTermination(want protocol.Outcome) {
	c.t.Helper()
	if got, ok := c.receive().(*protocol.Termination); !ok || got.Outcome != want {
		c.t.Errorf("termination %v, want %v", got, want)
	}
}

// specFor is a container under a key of its own.
func specFor(id string, class int) protocol.ContainerSpec {
	return protocol.ContainerSpec{
		ContainerID: id, IdempotencyKey: "k-" + id, Service: "s", WorkloadClass: class, Cores: 1, Memory: 1,
	}
}

// submit asks for a container under a key of its own.
func (c *testClient) submit(id string, class int) { c.submitSpec(specFor(id, class)) }

func (c *testClient) submitSpec(spec protocol.ContainerSpec) {
	frames.Send(c, &protocol.Submit{TimeToDeadline: 60_000, Spec: spec})
}
