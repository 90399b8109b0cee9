package platform

import (
	"testing"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// An attempt that waits for its connection is not sent after its machine has restarted, because the slow start of the
// machine may leave no capacity. It is not sent either after a container of its service was claimed to be running,
// because that container counts for the spread. The scheduler decides again. Other changes do not affect the attempt.
func TestStaleAttemptIsNotSent(t *testing.T) {
	claimed := func(service string) func(*testServer) {
		return func(r *testServer) {
			request := r.server.containers.lookup(requestID).request
			request.ID, request.IdempotencyKey, request.Service = otherRequestID, "other", service
			r.server.containers.handleClaim(runningClaim{client: &clientConn{}, request: request, machine: "b"})
		}
	}
	for _, tc := range []struct {
		name   string
		change func(*testServer)
		sent   bool
	}{
		{"no change", func(*testServer) {}, true},
		{"the machine restarts", func(r *testServer) {
			m := r.server.machines.machines["a"]
			entry := m.entry
			entry.StartedAt = scheduler.Time(m.env.loop.Now())
			m.apply(machineUpdate{entry: entry, addr: m.addr})
		}, false},
		{"a container of the service is claimed", claimed("s1"), false},
		{"one of another service is claimed", claimed("s2"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			offered := make(chan struct{}, 1)
			addr := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
				offered <- struct{}{}
				m.send(acceptLine(msg.RequestID))
			})
			r := startWithMachineA(t, addr, func(scheduler.Event) []scheduler.Action { return nil })
			client := r.request(requestID)
			await[scheduler.RequestReceived](r, nil)
			r.runOnLoop(func() { // no connection is established before it returns
				r.server.containers.startAttempt(scheduler.StartAttempt{ID: requestID, Machine: "a"})
				tc.change(r)
			})
			if tc.sent {
				client.expect(jsonlines.OpAccept, requestID)
				return
			}
			r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeNotSent})
			testutil.Equal(t, len(offered), 0, "offers")
			r.runOnLoop(func() {
				testutil.Expect(t, !r.server.env.adoptions.Since("s1", 0), "adoptions kept although no attempt waits")
			})
		})
	}
}
