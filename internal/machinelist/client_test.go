package machinelist

import (
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
)

// result is a call of a receiver: the version of an update, or that an update failed.
type result struct {
	version int64
	failed  bool
}

// resultReceiver is a Receiver that sends each call to a channel.
type resultReceiver chan result

// ListUpdated implements Receiver.
func (r resultReceiver) ListUpdated(update *protocol.MachineListUpdate) {
	r <- result{version: update.Version}
}

// ListUpdateFailed implements Receiver.
func (r resultReceiver) ListUpdateFailed() { r <- result{failed: true} }

// runClient runs a client on its own event loop until the end of the test.
func runClient(t *testing.T, address string, silenceTimeout eventloop.Tick) (*Client, resultReceiver) {
	t.Helper()
	loop, err := eventloop.New(func() {})
	testutil.NoError(t, err)
	results := make(resultReceiver, 100)
	client := NewClient(loop, Options{
		Address: address, Hello: protocol.NewHello(protocol.RoleScheduler, "s", 1), MaxOutput: 1 << 20,
		ConnectTimeout: 10 * eventloop.Second, SilenceTimeout: silenceTimeout,
	}, results, slog.New(slog.DiscardHandler))
	testutil.RunUntilEnd(t, loop.Run, loop.Stop)
	return client, results
}

// onLoop calls a function on the event loop of a client, and waits until it returns.
func onLoop(client *Client, call func()) {
	done := make(chan struct{})
	client.loop.Post(func() {
		defer close(done)
		call()
	})
	<-done
}

// reconnectAndWatch resets the connection to the service as if no reply were expected, and requests updates on a new
// connection.
func reconnectAndWatch(client *Client) {
	onLoop(client, func() {
		if client.conn != nil {
			client.awaitingReply = false
			client.conn.Reset()
		}
		client.Watch(true)
	})
}

func serviceHello(incarnation uint64) *protocol.Hello {
	return protocol.NewHello(protocol.RoleMachineList, "list", incarnation)
}

// serveThreeUpdates sends secondUpdate on the second connection, and a full list on every other connection. From the
// second connection on, the service has the given incarnation. The version since which the third connection requests
// updates is sent to thirdVersion. The versions of earlier connections are not sent: connections are served
// concurrently, so these versions might arrive later.
func serveThreeUpdates(
	t *testing.T,
	incarnation uint64,
	secondUpdate *protocol.MachineListUpdate,
	thirdVersion chan<- int64,
) string {
	t.Helper()
	var connections atomic.Int32
	return testutil.ServeUntilEnd(t, func(c net.Conn) {
		n := connections.Add(1)
		hello, update := serviceHello(incarnation), &protocol.MachineListUpdate{FullSnapshot: true, Version: 7}
		switch n {
		case 1:
			hello, update = serviceHello(1), &protocol.MachineListUpdate{FullSnapshot: true, Version: 5}
		case 2:
			update = secondUpdate
		}
		frames.Send(c, hello)
		frames.Skip(c)
		f, err := frames.Receive(c)
		if err != nil {
			return
		}
		if n == 3 {
			thirdVersion <- f.(*protocol.WatchMachineList).SinceVersion
		}
		frames.Send(c, update)
		frames.Skip(c)
	})
}

// A list is not applied if it is older than the last list or from another incarnation of the service. The next request
// asks for the full list if the service has restarted.
func TestOlderMachineListIsNotApplied(t *testing.T) {
	for _, tc := range []struct {
		name        string
		incarnation uint64 // incarnation of the service from the second connection on
		update      protocol.MachineListUpdate
		since       int64 // version since which the third request asks for updates
	}{
		{"an older version", 1, protocol.MachineListUpdate{FullSnapshot: true, Version: 4}, 5},
		{"another incarnation of the service", 2, protocol.MachineListUpdate{Version: 6}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			thirdVersion := make(chan int64, 1)
			address := serveThreeUpdates(t, tc.incarnation, &tc.update, thirdVersion)
			client, results := runClient(t, address, 10*eventloop.Second)
			for i, want := range []result{{version: 5}, {failed: true}, {version: 7}} {
				reconnectAndWatch(client)
				got := testutil.Receive(t, results)
				testutil.Require(t, got == want, "request %d: %+v, want %+v", i+1, got, want)
			}
			testutil.Equal(t, <-thirdVersion, tc.since, "the version since which updates were requested")
		})
	}
}

// If a service accepts the connection and stays silent, the connection is reset and the next request opens a new one.
func TestSilentConnectionIsReset(t *testing.T) {
	accepted := make(chan struct{}, 10)
	address := testutil.ServeUntilEnd(t, func(c net.Conn) {
		accepted <- struct{}{}
		frames.Send(c, serviceHello(1))
		frames.Handle(c, frames.Ignore)
	})
	client, results := runClient(t, address, eventloop.Millisecond)
	for range 2 {
		onLoop(client, func() { client.Watch(true) })
		testutil.Receive(t, accepted)
		testutil.WaitUntil(t, "the connection is reset", func() bool {
			lost := false
			onLoop(client, func() {
				client.CheckTimeouts(client.loop.Now())
				lost = client.Conn() == nil
			})
			return lost
		})
		testutil.Equal(t, testutil.Receive(t, results), result{failed: true})
	}
}

func TestFaultsOfTheServiceAreTyped(t *testing.T) {
	client := &Client{serviceIncarnation: 1, version: 5}
	for _, tc := range []struct {
		name  string
		frame protocol.Frame
		want  error
	}{
		{"an older version", &protocol.MachineListUpdate{Version: 4}, errOldList},
		{"another role", protocol.NewHello(protocol.RoleMachine, "a", 1), errUnexpectedPeer},
		{"a goodbye", &protocol.Goodbye{Message: "maintenance"}, errPeerGoodbye},
		{"a frame for machines", &protocol.Probe{Seq: 1}, errUnexpectedFrame},
		{"a restart", serviceHello(2), errRestarted}, // resets the version
		{"the first hello of an incarnation without a version", serviceHello(3), nil},
	} {
		if err := client.handleFrame(tc.frame); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
	}
}
