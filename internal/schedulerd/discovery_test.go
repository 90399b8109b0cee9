package schedulerd

import (
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

// flakyListService is a list service that can be made unavailable. It reports the version since which updates are
// requested.
type flakyListService struct {
	unavailable       atomic.Bool
	requestedVersions chan int64
	list              *protocol.MachineListUpdate
}

func (l *flakyListService) serve(c net.Conn) {
	if l.unavailable.Load() {
		return
	}
	frames.Send(c, listHello())
	frames.Handle(c, func(c net.Conn, f protocol.Frame) bool {
		if l.unavailable.Load() {
			return false
		}
		if w, ok := f.(*protocol.WatchMachineList); ok {
			l.requestedVersions <- w.SinceVersion
			frames.Send(c, l.list)
		}
		return true
	})
}

func (l *flakyListService) awaitRequest(t *testing.T, since int64) {
	t.Helper()
	select {
	case got := <-l.requestedVersions:
		testutil.Require(t, got == since, "updates since %d were requested, want since %d", got, since)
	case <-time.After(testTimeout):
		t.Fatalf("the list is not requested within %v", testTimeout)
	}
}

// Guards against a scheduler that stops requesting the list when a machine reports a new incarnation in its hello while
// the list service is unreachable. The requests must continue until the service answers.
func TestListIsRequestedAgainAfterMachineHello(t *testing.T) {
	machineAddress, hello, _ := serveSlowMachine(t, "a")
	entry := protocol.MachineEntry{Machine: "a", Address: machineAddress, Incarnation: 1, Age: -1}
	service := &flakyListService{requestedVersions: make(chan int64, 100), list: fullList(5, entry)}
	settings := testConfig(t)
	settings.ConnectTimeout = 10 * eventloop.Second
	settings.Policy.ResyncInterval, settings.Policy.SchedulerCount = scheduler.Second, 1
	settings.MachineListAddr = testutil.ServeUntilEnd(t, service.serve)
	server, _ := runServer(t, settings, scheduler.New(settings.Policy))
	service.awaitRequest(t, 0)
	eventually(t, server, func() bool { return server.discovery.LastVersion() == 5 })
	service.unavailable.Store(true)
	runOnLoop(server, func() { server.discovery.Conn().Reset() })
	eventually(t, server, func() bool { return server.discovery.Conn() == nil })
	hello <- 2
	eventually(t, server, func() bool { return server.machines.find("a").selfReported })
	service.unavailable.Store(false)
	service.awaitRequest(t, 5)
}

// The first list entry with a new incarnation sets the start time of a machine. Later entries with the same incarnation
// and another age do not change it.
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
