package schedulerd

import (
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// staleCase is a change while an attempt is queued for a machine that has not sent its hello.
type staleCase struct {
	name        string
	change      func(h *harness, address string) // nil: no change
	incarnation uint64                           // incarnation in the hello of the machine
	sent        bool                             // whether the attempt is sent
}

// listUpdate returns a change that applies a list entry of machine a.
func listUpdate(state protocol.MachineState, incarnation uint64, age protocol.Duration) func(*harness, string) {
	return func(h *harness, address string) {
		h.applyList(protocol.MachineEntry{
			Machine: "a", Address: address, State: state, Incarnation: incarnation, Age: age,
		})
	}
}

// A queued attempt is not sent if its machine or the adopted containers of its service have changed since the decision.
// The scheduler receives the change first and decides again. The hello of a machine may announce an incarnation before
// the list does.
func TestStaleQueuedAttemptIsNotSent(t *testing.T) {
	for _, tc := range []staleCase{
		{"no change", nil, 1, true},
		{"machine drains", listUpdate(protocol.MachineDraining, 1, -1), 1, false},
		{"machine is gone", listUpdate(protocol.MachineGone, 1, -1), 1, false},
		{"machine has restarted, by the list", listUpdate(protocol.MachineServing, 2, 100), 2, false},
		{"machine has restarted, by its hello", nil, 2, false},
		{"service runs elsewhere, by another machine", (*harness).adoptOnMachineB, 1, false},
		{"the list is older than the hello", listUpdate(protocol.MachineServing, 1, -1), 2, false},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc staleCase) run(t *testing.T) {
	address, hello, offered := serveSlowMachine(t, "a")
	settings := testConfig(t)
	settings.ConnectTimeout = 10 * eventloop.Second
	h := startWithMachineA(t, settings, attemptOn(0), address)
	h.client.submit("x", classIdempotent)
	h.eventually(func(a *machine) bool { return !a.queue.empty() })
	if tc.change != nil {
		tc.change(h, address)
	}
	hello <- tc.incarnation
	if tc.sent {
		h.client.wantReply(protocol.VerdictPlaced)
		return
	}
	if tc.incarnation == 2 {
		update := awaitEvent(t, h.script, func(e scheduler.MachineListUpdate) bool {
			return len(e.Entries) > 0 && e.Entries[0].StartedAt > 0
		})
		now := now(h.server)
		testutil.Expect(t, update.Entries[0].StartedAt <= now, "%+v at %d", update, now)
	}
	if ended := h.awaitEnded(); ended.Outcome != scheduler.OutcomeNotSent || len(offered) > 0 {
		t.Errorf("%+v, %d offered", ended, len(offered))
	}
}

// adoptOnMachineB reports a container of the service on machine b that an earlier incarnation of the scheduler started.
func (h *harness) adoptOnMachineB(string) {
	h.t.Helper()
	h.applyList(protocol.MachineEntry{Machine: "b", Address: "127.0.0.1:1", Incarnation: 1, Age: -1})
	runOnLoop(h.server, func() {
		h.server.decisions.notifyReconciler(reconcile.MachineReported{Machine: "b", Attempts: []reconcile.Attempt{{
			Machine: "b", Incarnation: 1,
			Number: 1, Running: true, Request: scheduler.PlacementRequest{ID: "o", IdempotencyKey: "k-o", Service: "s"},
		}}})
	})
	awaitEvent[scheduler.ContainerAdopted](h.t, h.script, nil)
}

// A queued probe is not sent to an incarnation that the hello of the machine has announced meanwhile, because the probe
// was not charged to that incarnation.
func TestProbeOfAnEarlierIncarnationIsNotSent(t *testing.T) {
	outcomes := map[uint64]scheduler.Outcome{1: scheduler.OutcomeTimedOut, 2: scheduler.OutcomeNotSent}
	for incarnation, want := range outcomes {
		address, hello, _ := serveSlowMachine(t, "a")
		settings := testConfig(t)
		settings.ConnectTimeout = 10 * eventloop.Second
		h := startWithMachineA(t, settings, nil, address)
		runOnLoop(h.server, func() { h.server.machines.probe("a") })
		hello <- incarnation
		completed := awaitEvent[scheduler.ProbeCompleted](t, h.script, nil)
		testutil.Expect(t, completed.Outcome == want, "incarnation %d: %+v", incarnation, completed)
	}
}
