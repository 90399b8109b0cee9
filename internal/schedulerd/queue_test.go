package schedulerd

import (
	"net"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// slowMachine greets and says what it holds when it is told to, as the start it is told.
func slowMachine(t *testing.T, name string) (addr string, greet chan uint64, offered chan string) {
	greet, offered = make(chan uint64), make(chan string, 100)
	done := make(chan struct{})
	addr = serve(t, func(c net.Conn) {
		var start uint64
		select {
		case start = <-greet:
		case <-done:
			return
		}
		protocol.ReadFrame(c, protocol.MaxFrame)
		put(c, protocol.NewHello(protocol.RoleMachine, name, start), &protocol.Inventory{MachineIncarnation: start})
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				return
			}
			if o, ok := f.(*protocol.Offer); ok {
				offered <- o.Spec.ContainerID
				put(c, &protocol.Accept{AttemptID: o.AttemptID, Running: true})
			}
		}
	})
	t.Cleanup(func() { close(done) })
	return addr, greet, offered
}

// A bid that waits for its link is not sent when what it was decided on has changed meanwhile; the module, which is told
// before, decides anew. The machine's own greeting tells of a start before the list does.
func TestChangesUnderWaitingBid(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change *protocol.MachineEntry // by the list; nil: nothing
		start  uint64                 // that the machine greets with
		sent   bool
	}{
		{"nothing", nil, 1, true},
		{"it drains", &protocol.MachineEntry{Machine: "a", State: protocol.MachineDraining, Incarnation: 1, Age: -1}, 1, false},
		{"it is gone", &protocol.MachineEntry{Machine: "a", State: protocol.MachineGone, Incarnation: 1, Age: -1}, 1, false},
		{"it has started anew, says the list", &protocol.MachineEntry{Machine: "a", Incarnation: 2, Age: 100}, 2, false},
		{"it has started anew, says its greeting", nil, 2, false},
		{"its service runs elsewhere, another machine says", &protocol.MachineEntry{Machine: "b"}, 1, false},
		{"the list is older than its greeting", &protocol.MachineEntry{Machine: "a", Incarnation: 1, Age: -1}, 2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, greet, offered := slowMachine(t, "a")
			s := terms(t)
			s.Connect = 10 * eventloop.Second
			r := start(t, s, bidTo(0), map[string]string{"a": addr})
			r.door.submit("x", 0)
			until(t, func() bool { return on1(r.h, func() bool { return len(r.h.machines["a"].queued) > 0 }) })
			if tc.change != nil && tc.change.Machine == "b" { // it holds what an earlier life of the placer began
				on1(r.h, func() bool {
					r.h.applyList(scheduler.DeltaUpdate, 2, []protocol.MachineEntry{{Machine: "b", Address: "127.0.0.1:1", Incarnation: 1, Age: -1}})
					r.h.enqueueOwnershipEvent(reconcile.MachineReported{Machine: "b", Attempts: []reconcile.Attempt{{Machine: "b", Incarnation: 1, Number: 1, Running: true,
						Request: scheduler.PlacementRequest{ID: "o", IdempotencyKey: "k-o", Service: "s"}}}})
					return true
				})
				await[scheduler.ContainerAdopted](r, nil)
			} else if tc.change != nil {
				on1(r.h, func() bool {
					tc.change.Address = addr
					r.h.applyList(scheduler.DeltaUpdate, 2, []protocol.MachineEntry{*tc.change})
					return true
				})
			}
			greet <- tc.start
			if tc.sent {
				if a := r.door.answer(); a.Verdict != protocol.VerdictPlaced {
					t.Errorf("%+v", a)
				}
				return
			}
			if tc.start == 2 {
				l := await(r, func(e scheduler.MachineListUpdate) bool { return len(e.Entries) > 0 && e.Entries[0].StartedAt > 0 })
				if now := on1(r.h, func() scheduler.Time { return scheduler.Time(r.h.loop.Now()) }); l.Entries[0].StartedAt > now {
					t.Errorf("%+v at %d", l, now)
				}
			}
			if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeNotSent || len(offered) > 0 {
				t.Errorf("%+v, %d offered", e, len(offered))
			}
		})
	}
}

// A probe that waits for its link was not counted for a start that the greeting tells of, and does not go to it.
func TestProbeOfAnEarlierStart(t *testing.T) {
	for start2, want := range map[uint64]scheduler.Outcome{1: scheduler.OutcomeTimedOut, 2: scheduler.OutcomeNotSent} {
		addr, greet, _ := slowMachine(t, "a")
		s := terms(t)
		s.Connect = 10 * eventloop.Second
		r := start(t, s, nil, map[string]string{"a": addr})
		on1(r.h, func() bool { r.h.probe("a"); return true })
		greet <- start2
		if e := await[scheduler.ProbeCompleted](r, nil); e.Outcome != want {
			t.Errorf("start %d: %+v", start2, e)
		}
	}
}
