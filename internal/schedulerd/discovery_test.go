package schedulerd

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// A list that is older than the last, or of another life of its service, is not taken for news; it is asked anew, for the
// whole.
func TestOlderList(t *testing.T) {
	for _, tc := range []struct {
		name   string
		life   uint64 // of the service when it is called again
		listed protocol.MachineListUpdate
		since  int64 // asked for then
	}{
		{"an older version", 1, protocol.MachineListUpdate{FullSnapshot: true, Version: 4}, 5},
		{"another life of the service", 2, protocol.MachineListUpdate{Version: 6}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var calls atomic.Int32
			asked := make(chan int64, 10)
			addr := serve(t, func(c net.Conn) {
				n := calls.Add(1)
				put(c, protocol.NewHello(protocol.RoleMachineList, "list", 1+(tc.life-1)*uint64(min(1, n-1))))
				protocol.ReadFrame(c, protocol.MaxFrame)
				f, err := protocol.ReadFrame(c, protocol.MaxFrame)
				if err != nil {
					return
				}
				asked <- f.(*protocol.WatchMachineList).SinceVersion
				switch n {
				case 1:
					put(c, &protocol.MachineListUpdate{FullSnapshot: true, Version: 5, Entries: []protocol.MachineEntry{{Machine: "a", Address: "127.0.0.1:1", State: protocol.MachineDraining, Age: -1}}})
				case 2:
					put(c, &tc.listed)
				default:
					put(c, &protocol.MachineListUpdate{FullSnapshot: true, Version: 7, Entries: []protocol.MachineEntry{{Machine: "b", Address: "127.0.0.1:1", Age: -1}}})
				}
				protocol.ReadFrame(c, protocol.MaxFrame)
			})
			s := terms(t)
			s.ListAddr = addr
			sc := &script{events: make(chan scheduler.Event, 1000)}
			r := &rig{T: t, script: sc, h: run(t, s, sc)}
			for i, want := range []scheduler.UpdateMode{scheduler.FullSnapshot, scheduler.UpdateFailed, scheduler.FullSnapshot} {
				r.h.loop.Post(func() {
					if r.h.discovery.conn != nil {
						r.h.discovery.awaitingReply = false
						r.h.discovery.conn.Reset()
					}
					r.h.requestList(&protocol.WatchMachineList{Enabled: true, SinceVersion: r.h.discovery.version})
				})
				if e := await(r, func(e scheduler.MachineListUpdate) bool { return e.Mode != scheduler.RestoredSnapshot }); e.Mode != want {
					t.Fatalf("call %d: mode %d, version %d", i+1, e.Mode, e.Version)
				}
			}
			<-asked
			<-asked
			if since := <-asked; since != tc.since {
				t.Errorf("changes since %d were asked for", since)
			}
		})
	}
}

// A machine that says hello with a new incarnation while the list is out of reach does not end the calls of the list: they
// go on until the list answers.
func TestListIsCalledAgainAfterMachineHello(t *testing.T) {
	machineAddr, hello, _ := slowMachine(t, "a")
	entry := protocol.MachineEntry{Machine: "a", Address: machineAddr, Incarnation: 1, Age: -1}
	var away atomic.Bool
	watches := make(chan int64, 100) // the version that each call asks for changes since
	s := terms(t)
	s.Connect, s.Terms.ResyncInterval, s.Terms.SchedulerCount = 10*eventloop.Second, scheduler.Second, 1
	s.ListAddr = serve(t, func(c net.Conn) {
		if away.Load() {
			return
		}
		put(c, protocol.NewHello(protocol.RoleMachineList, "list", 1))
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil || away.Load() {
				return
			}
			if w, ok := f.(*protocol.WatchMachineList); ok {
				watches <- w.SinceVersion
				put(c, &protocol.MachineListUpdate{FullSnapshot: true, Version: 5, Entries: []protocol.MachineEntry{entry}})
			}
		}
	})
	h := run(t, s, scheduler.New(s.Terms))
	await := func(since int64) {
		t.Helper()
		select {
		case got := <-watches:
			if got != since {
				t.Fatalf("changes since %d were asked for, want since %d", got, since)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the list is not called in 20 s")
		}
	}
	await(0)
	until(t, func() bool { return on1(h, func() bool { return h.discovery.version == 5 }) })
	away.Store(true)
	on1(h, func() bool { h.discovery.conn.Reset(); return true })
	until(t, func() bool {
		return on1(h, func() bool { return h.discovery.conn == nil && !h.discovery.awaitingReply })
	})
	hello <- 2
	until(t, func() bool { return on1(h, func() bool { return h.machines["a"].selfReported }) })
	away.Store(false)
	await(5)
}
