package schedulerd

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"
)

// serveThreeUpdates sends a full list on the first connection, another update on the second, by a service of the given
// incarnation, and a full list on every further one. It reports the version since which the third asks for updates:
// connections are served side by side, so the report of an earlier one may come after it.
func serveThreeUpdates(
	t *testing.T,
	incarnation uint64,
	second *protocol.MachineListUpdate,
	third chan<- int64,
) string {
	t.Helper()
	first := fullList(5, protocol.MachineEntry{
		Machine: "a", Address: "127.0.0.1:1", State: protocol.MachineDraining, Age: -1,
	})
	last := fullList(7, protocol.MachineEntry{Machine: "b", Address: "127.0.0.1:1", Age: -1})
	var connections atomic.Int32
	return testutil.ServeUntilEnd(t, func(c net.Conn) {
		n := connections.Add(1)
		hello, update := protocol.NewHello(protocol.RoleMachineList, "list", incarnation), last
		switch n {
		case 1:
			hello, update = listHello(), first
		case 2:
			update = second
		}
		frames.Send(c, hello)
		frames.Skip(c)
		f, err := frames.Receive(c)
		if err != nil {
			return
		}
		if n == 3 {
			third <- f.(*protocol.WatchMachineList).SinceVersion
		}
		frames.Send(c, update)
		frames.Skip(c)
	})
}

// requestAnew resets the connection to the list service, and asks on a new one.
func requestAnew(server *Server) {
	runOnLoop(server, func() {
		d := server.discovery
		if d.conn != nil {
			d.awaitingReply = false
			d.conn.Reset()
		}
		d.watch(true)
	})
}

// A list that is older than the last one, or of another incarnation of its service, is not applied. The service is
// asked again, for the full list if it has restarted.
func TestOlderMachineListIsNotApplied(t *testing.T) {
	modes := []scheduler.UpdateMode{scheduler.FullSnapshot, scheduler.UpdateFailed, scheduler.FullSnapshot}
	for _, tc := range []struct {
		name        string
		incarnation uint64 // of the service from the second connection on
		update      protocol.MachineListUpdate
		since       int64 // the version of the third request
	}{
		{"an older version", 1, protocol.MachineListUpdate{FullSnapshot: true, Version: 4}, 5},
		{"another incarnation of the service", 2, protocol.MachineListUpdate{Version: 6}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			third := make(chan int64, 1)
			settings := testConfig(t)
			settings.MachineListAddr = serveThreeUpdates(t, tc.incarnation, &tc.update, third)
			script := newScript(nil)
			server, _ := runServer(t, settings, script)
			for i, want := range modes {
				requestAnew(server)
				if update := awaitList(t, script); update.Mode != want {
					t.Fatalf("request %d: mode %d, version %d", i+1, update.Mode, update.Version)
				}
			}
			if since := <-third; since != tc.since {
				t.Errorf("updates since %d were requested, want since %d", since, tc.since)
			}
		})
	}
}

// flakyList is a list service that may be away. It reports the version since which updates are requested.
type flakyList struct {
	away      atomic.Bool
	requested chan int64
	list      *protocol.MachineListUpdate
}

func (l *flakyList) serve(c net.Conn) {
	if l.away.Load() {
		return
	}
	frames.Send(c, listHello())
	frames.Handle(c, func(c net.Conn, f protocol.Frame) bool {
		if l.away.Load() {
			return false
		}
		if w, ok := f.(*protocol.WatchMachineList); ok {
			l.requested <- w.SinceVersion
			frames.Send(c, l.list)
		}
		return true
	})
}

func (l *flakyList) awaitRequest(t *testing.T, since int64) {
	t.Helper()
	select {
	case got := <-l.requested:
		testutil.Require(t, got == since, "updates since %d were requested, want since %d", got, since)
	case <-time.After(testTimeout):
		t.Fatalf("the list is not requested in %v", testTimeout)
	}
}

// A machine hello with a new incarnation while the list service is unreachable does not end the requests for the list:
// they go on until the service answers.
func TestListIsRequestedAgainAfterMachineHello(t *testing.T) {
	machineAddress, hello, _ := serveSlowMachine(t, "a")
	entry := protocol.MachineEntry{Machine: "a", Address: machineAddress, Incarnation: 1, Age: -1}
	service := &flakyList{requested: make(chan int64, 100), list: fullList(5, entry)}
	settings := testConfig(t)
	settings.ConnectTimeout = 10 * eventloop.Second
	settings.Policy.ResyncInterval, settings.Policy.SchedulerCount = scheduler.Second, 1
	settings.MachineListAddr = testutil.ServeUntilEnd(t, service.serve)
	server, _ := runServer(t, settings, scheduler.New(settings.Policy))
	service.awaitRequest(t, 0)
	eventually(t, server, func() bool { return server.discovery.version == 5 })
	service.away.Store(true)
	runOnLoop(server, func() { server.discovery.conn.Reset() })
	eventually(t, server, func() bool { return server.discovery.conn == nil && !server.discovery.awaitingReply })
	hello <- 2
	eventually(t, server, func() bool { return server.machines.find("a").selfReported })
	service.away.Store(false)
	service.awaitRequest(t, 5)
}

func TestFaultsOfTheListServiceAreTyped(t *testing.T) {
	d := &discoveryClient{serviceIncarnation: 1, version: 5}
	hello := func(incarnation uint64) protocol.Frame {
		return protocol.NewHello(protocol.RoleMachineList, "list", incarnation)
	}
	for _, tc := range []struct {
		name  string
		frame protocol.Frame
		want  error
	}{
		{"an older version", &protocol.MachineListUpdate{Version: 4}, errOldList},
		{"another role", protocol.NewHello(protocol.RoleMachine, "a", 1), errUnexpectedPeer},
		{"a goodbye", &protocol.Goodbye{Message: "maintenance"}, errPeerGoodbye},
		{"a frame for machines", &protocol.Probe{Seq: 1}, errUnexpectedFrame},
		{"a restart", hello(2), errListRestarted}, // forgets the version
		{"the first hello of an incarnation without a version", hello(3), nil},
	} {
		if err := d.handleFrame(tc.frame); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
	}
}

// A new incarnation in the list sets the start of a machine once; the same incarnation with another age does not change
// it.
func TestStartOfAnIncarnationIsComputedOnce(t *testing.T) {
	h := startWithMachineA(t, testConfig(t), nil, "127.0.0.1:1")
	startedAt := func(incarnation uint64, age protocol.Duration) scheduler.Time {
		h.applyList(protocol.MachineEntry{Machine: "a", Address: "127.0.0.1:1", Incarnation: incarnation, Age: age})
		return onLoop(h.server, func() scheduler.Time { return h.machineA().startedAt })
	}
	first, same, second := startedAt(2, 100), startedAt(2, 90), startedAt(3, 0)
	testutil.Expect(t, first != 0 && same == first && second > first,
		"started %d, then %d, then %d", first, same, second)
}
