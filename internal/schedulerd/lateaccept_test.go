package schedulerd

import (
	"net"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"
)

// Expected results of a late accept.
const (
	lateCancelled = "cancelled"
	lateAdopted   = "adopted"
)

// acceptOnProbe starts a machine that accepts an offer when it receives a probe. The test sends the probe after the
// attempt has ended.
func acceptOnProbe(t *testing.T, seen chan<- string) string {
	t.Helper()
	attempts := make(chan uint64, 1)
	return serveMachine(t, "a", func(c net.Conn, f protocol.Frame) bool {
		switch f := f.(type) {
		case *protocol.Offer:
			attempts <- f.AttemptID
		case *protocol.Probe:
			frames.Send(c, &protocol.Accept{AttemptID: <-attempts, Running: true})
		case *protocol.CancelAttempt:
			seen <- lateCancelled
		}
		return true
	})
}

// probeAfterEnd starts an attempt on machine a for each request, and probes the machine when the attempt has ended.
func probeAfterEnd(timeout scheduler.Time, seen chan<- string) reaction {
	react := attemptOn(timeout)
	return func(e scheduler.Event) []scheduler.Action {
		switch e.(type) {
		case scheduler.AttemptEnded:
			return append(react(e), scheduler.Probe{Machine: "a"})
		case scheduler.ContainerAdopted:
			seen <- lateAdopted
		}
		return react(e)
	}
}

// cancelImmediately adds a cancel to each attempt that a reaction starts.
func cancelImmediately(react reaction) reaction {
	return func(e scheduler.Event) []scheduler.Action {
		if request, ok := e.(scheduler.RequestReceived); ok {
			return append(react(e), scheduler.CancelAttempt{ID: request.ID, Attempt: 0})
		}
		return react(e)
	}
}

type lateAcceptCase struct {
	name    string
	class   int
	cancel  bool
	timeout scheduler.Time // 0: at the deadline
	want    string
}

// An accept that arrives after its attempt was cancelled or has timed out does not change the answer to the client. An
// idempotent container is cancelled, an at-most-once container is adopted.
func TestLateAcceptChangesNoAnswer(t *testing.T) {
	for _, tc := range []lateAcceptCase{
		{"timed out, idempotent", classIdempotent, false, 200 * scheduler.Millisecond, lateCancelled},
		{"timed out, at-most-once", classAtMostOnce, false, 200 * scheduler.Millisecond, lateAdopted},
		{"after the deadline, idempotent", classIdempotent, false, 0, lateCancelled},
		{"after the deadline, at-most-once", classAtMostOnce, false, 0, lateAdopted},
		{"cancelled, at-most-once", classAtMostOnce, true, 0, lateAdopted},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc lateAcceptCase) run(t *testing.T) {
	seen := make(chan string, 10)
	react := probeAfterEnd(tc.timeout, seen)
	if tc.cancel {
		react = cancelImmediately(react)
	}
	h := startWithMachineA(t, testConfig(t), react, acceptOnProbe(t, seen))
	if tc.cancel { // the attempt is sent only over a ready connection
		runOnLoop(h.server, func() { h.server.machines.connect("a") })
		h.eventually((*machine).ready)
	}
	spec := specFor("x", tc.class)
	frames.Send(h.client, &protocol.Submit{TimeToDeadline: 3000, Spec: spec})
	h.client.wantReply(protocol.VerdictFailed)
	got := <-seen
	if got == lateCancelled && tc.cancel {
		got = <-seen
	}
	testutil.Equal(t, got, tc.want)
	if tc.want == lateAdopted { // a repeated request must return the machine
		spec.ContainerID = "y"
		h.client.submitSpec(spec)
		reply := h.client.wantReply(protocol.VerdictPlaced)
		testutil.Expect(t, reply.Machine == "a", "got %+v", reply)
	}
}

// reconnectingMachine accepts an offer and closes its connection. Each inventory lists a container of an earlier
// incarnation. The inventory of the second connection also lists the accepted container if stillListed is set.
type reconnectingMachine struct {
	stillListed   bool
	connections   int
	attempt       uint64
	reconnections chan net.Conn
}

func (m *reconnectingMachine) serve(c net.Conn) {
	hello, err := frames.Receive(c)
	if err != nil {
		return
	}
	m.connections++
	inventory := &protocol.Inventory{Containers: []protocol.InventoryItem{{
		SchedulerIncarnation: 1, AttemptID: 7, Running: true, Spec: specFor("old", classIdempotent),
	}}}
	if m.connections == 2 && m.stillListed {
		inventory.Containers = append(inventory.Containers, protocol.InventoryItem{
			SchedulerIncarnation: hello.(*protocol.Hello).Incarnation,
			AttemptID:            m.attempt,
			Running:              true,
			Spec:                 specFor("x", classAtMostOnce),
		})
	}
	sendHello(c, "a", 1, inventory)
	if m.connections == 2 {
		m.reconnections <- c
	}
	frames.Handle(c, frames.OnOffer(func(c net.Conn, o *protocol.Offer) bool {
		m.attempt = o.AttemptID
		acceptOffer(c, o)
		return false
	}))
}

// A closed connection does not end running containers: the next inventory decides. Containers that the inventory no
// longer lists are lost. Listed containers of an earlier incarnation are adopted.
func TestInventoryAfterReconnectDecidesWhatIsLost(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed bool
	}{{"still listed", true}, {"no longer listed", false}} {
		t.Run(tc.name, func(t *testing.T) {
			m := &reconnectingMachine{stillListed: tc.listed, reconnections: make(chan net.Conn, 10)}
			h := startWithMachineA(t, testConfig(t), attemptOn(0), testutil.ServeUntilEnd(t, m.serve))
			found := awaitEvent[scheduler.ContainerAdopted](t, h.script, nil)
			testutil.Expect(t, found.ID == "old" && found.Machine == "a", "adopted %+v", found)
			h.client.submit("x", classAtMostOnce)
			h.client.wantReply(protocol.VerdictPlaced)
			c := <-m.reconnections
			want := protocol.OutcomeLost
			if tc.listed {
				want = protocol.OutcomeFinished
				frames.Send(c, &protocol.Result{AttemptID: m.attempt})
			}
			h.client.wantTermination(want)
		})
	}
}
