package schedulerd

import (
	"net"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"
)

// What becomes of a late accept.
const (
	lateCancelled = "cancelled"
	lateAdopted   = "adopted"
)

// acceptOnProbe is a machine that accepts an offer when it is probed, which is the test's sign that the attempt has
// ended.
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

// probeAfterEnd attempts each request on machine a, and probes the machine after it.
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

// cancelImmediately cancels each attempt that a reaction starts.
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

// An accept that comes after its attempt was cancelled or has timed out changes no answer: idempotent work is
// cancelled, work that must not run twice is adopted.
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
	if tc.cancel { // without a ready connection the attempt is never sent
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
	if tc.want == lateAdopted { // a repeated request is answered with the machine
		spec.ContainerID = "y"
		h.client.submitSpec(spec)
		reply := h.client.wantReply(protocol.VerdictPlaced)
		testutil.Expect(t, reply.Machine == "a", "got %+v", reply)
	}
}

// reconnectingMachine accepts an offer and closes its connection. The inventory of the next one lists a container of an
// earlier incarnation, and the accepted one if it is still named.
type reconnectingMachine struct {
	stillListed bool
	connections int
	attempt     uint64
	reconnected chan net.Conn
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
		m.reconnected <- c
	}
	frames.Handle(c, frames.OnOffer(func(c net.Conn, o *protocol.Offer) bool {
		m.attempt = o.AttemptID
		acceptOffer(c, o)
		return false
	}))
}

// A closed connection alone loses nothing: the next inventory decides. What it no longer lists is lost, what it lists
// of an earlier incarnation is adopted.
func TestInventoryAfterReconnectDecidesWhatIsLost(t *testing.T) {
	for _, tc := range []struct {
		name  string
		named bool
	}{{"still named", true}, {"no longer named", false}} {
		t.Run(tc.name, func(t *testing.T) {
			m := &reconnectingMachine{stillListed: tc.named, reconnected: make(chan net.Conn, 10)}
			h := startWithMachineA(t, testConfig(t), attemptOn(0), testutil.ServeUntilEnd(t, m.serve))
			found := awaitEvent[scheduler.ContainerAdopted](t, h.script, nil)
			testutil.Expect(t, found.ID == "old" && found.Machine == "a", "adopted %+v", found)
			h.client.submit("x", classAtMostOnce)
			h.client.wantReply(protocol.VerdictPlaced)
			c := <-m.reconnected
			want := protocol.OutcomeLost
			if tc.named {
				want = protocol.OutcomeFinished
				frames.Send(c, &protocol.Result{AttemptID: m.attempt})
			}
			h.client.wantTermination(want)
		})
	}
}
