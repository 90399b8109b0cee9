package schedulerd

import (
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// A queued attempt is not sent if what it was decided on has changed meanwhile. The scheduler receives the change first
// and decides again. The hello of a machine may announce an incarnation before the list does.
func TestStaleQueuedAttemptIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name        string
		change      *protocol.MachineEntry // by the list; nil: none
		incarnation uint64                 // in the hello of the machine
		sent        bool
	}{
		{"no change", nil, 1, true},
		{"machine drains", &protocol.MachineEntry{Machine: "a", State: protocol.MachineDraining, Incarnation: 1, Age: -1}, 1, false},
		{"machine is gone", &protocol.MachineEntry{Machine: "a", State: protocol.MachineGone, Incarnation: 1, Age: -1}, 1, false},
		{"machine has restarted, by the list", &protocol.MachineEntry{Machine: "a", Incarnation: 2, Age: 100}, 2, false},
		{"machine has restarted, by its hello", nil, 2, false},
		{"service runs elsewhere, by another machine", &protocol.MachineEntry{Machine: "b"}, 1, false},
		{"the list is older than the hello", &protocol.MachineEntry{Machine: "a", Incarnation: 1, Age: -1}, 2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, hello, offered := serveSlowMachine(t, "a")
			settings := testConfig(t)
			settings.ConnectTimeout = 10 * eventloop.Second
			h := startHarness(t, settings, attemptOn(0), map[string]string{"a": address})
			h.client.submit("x", classIdempotent)
			eventuallyOnLoop(t, h.server, func() bool { return !h.server.machines.find("a").queue.empty() })
			if tc.change != nil && tc.change.Machine == "b" {
				h.adoptOnMachineB()
			} else if tc.change != nil {
				change := *tc.change
				change.Address = address
				h.applyList(change)
			}
			hello <- tc.incarnation
			if tc.sent {
				h.client.wantReply(protocol.VerdictPlaced)
				return
			}
			if tc.incarnation == 2 {
				update := awaitEvent(
					t,
					h.script,
					func(e scheduler.MachineListUpdate) bool { return len(e.Entries) > 0 && e.Entries[0].StartedAt > 0 },
				)
				if now := onLoop(
					h.server,
					func() scheduler.Time { return scheduler.Time(h.server.loop.Now()) },
				); update.Entries[0].StartedAt > now {
					t.Errorf("%+v at %d", update, now)
				}
			}
			if ended := awaitEvent[scheduler.AttemptEnded](
				t,
				h.script,
				nil,
			); ended.Outcome != scheduler.OutcomeNotSent ||
				len(offered) > 0 {
				t.Errorf("%+v, %d offered", ended, len(offered))
			}
		})
	}
}

// adoptOnMachineB makes machine b report a container of the service that an earlier incarnation of the scheduler has
// started.
func (h *harness) adoptOnMachineB() {
	h.t.Helper()
	runOnLoop(h.server, func() {
		h.server.machines.applyList(
			scheduler.DeltaUpdate,
			2,
			[]protocol.MachineEntry{{Machine: "b", Address: "127.0.0.1:1", Incarnation: 1, Age: -1}},
		)
		h.server.decisions.notifyReconciler(reconcile.MachineReported{Machine: "b", Attempts: []reconcile.Attempt{{
			Machine: "b", Incarnation: 1,
			Number: 1, Running: true, Request: scheduler.PlacementRequest{ID: "o", IdempotencyKey: "k-o", Service: "s"},
		}}})
	})
	awaitEvent[scheduler.ContainerAdopted](h.t, h.script, nil)
}

// A queued probe was not counted for an incarnation that is known from the hello alone, and is not sent to it.
func TestProbeOfAnEarlierIncarnationIsNotSent(t *testing.T) {
	for incarnation, want := range map[uint64]scheduler.Outcome{1: scheduler.OutcomeTimedOut, 2: scheduler.OutcomeNotSent} {
		address, hello, _ := serveSlowMachine(t, "a")
		settings := testConfig(t)
		settings.ConnectTimeout = 10 * eventloop.Second
		h := startHarness(t, settings, nil, map[string]string{"a": address})
		runOnLoop(h.server, func() { h.server.machines.probe("a") })
		hello <- incarnation
		if completed := awaitEvent[scheduler.ProbeCompleted](t, h.script, nil); completed.Outcome != want {
			t.Errorf("incarnation %d: %+v", incarnation, completed)
		}
	}
}
