package server

import (
	"net"
	"sync/atomic"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
)

// serveRestartingList serves a machine list that restarts. On the first connection it sends a full list with machine a
// and then nothing more. On the second, with a new incarnation, it sends an incremental update of a list with machine
// b, and on the third that list in full.
func serveRestartingList(t *testing.T) string {
	t.Helper()
	list := func(version int64, full bool, machine string) *protocol.MachineListUpdate {
		entry := protocol.MachineEntry{Machine: machine, Address: "127.0.0.1:1", Age: -1}
		return &protocol.MachineListUpdate{
			Version: version, FullSnapshot: full, Entries: []protocol.MachineEntry{entry},
		}
	}
	var connections atomic.Int32
	return testutil.ServeUntilEnd(t, func(c net.Conn) {
		incarnation, update := uint64(2), list(9, true, "b")
		switch connections.Add(1) {
		case 1:
			incarnation, update = 1, list(5, true, "a")
		case 2:
			update = list(8, false, "b")
		}
		frames.Send(c, protocol.NewHello(protocol.RoleMachineList, "list", incarnation))
		frames.Handle(c, func(c net.Conn, f protocol.Frame) bool {
			if _, ok := f.(*protocol.WatchMachineList); ok {
				frames.Send(c, update)
			}
			return true
		})
	})
}

// After a machine list service stopped answering and restarted, only the machines of its new list are published.
func TestMachinesFollowAListServiceThatRestarts(t *testing.T) {
	s := openServer(t)
	s.config.MachineList = serveRestartingList(t)
	s.config.SchedulerConfig.SilenceTimeout = 100 * eventloop.Millisecond
	s.machineList = s.newMachineListWatch()
	machines := make(chan map[string]bool)
	s.loop.Post(s.machineList.start)
	ended := make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	testutil.WaitUntil(t, "only machine b is published", func() bool {
		s.loop.Post(func() {
			published := map[string]bool{}
			for id := range s.machines.byID {
				published[id] = true
			}
			machines <- published
		})
		published := <-machines
		return len(published) == 1 && published["b"]
	})
	s.loop.Stop()
	testutil.NoError(t, <-ended)
}
