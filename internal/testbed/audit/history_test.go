package audit

import (
	"fmt"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"
)

const ms = 10 // times are in tenths of a millisecond

// The connections of a history. The connection of machine d is not open at first.
const (
	clientConn uint32 = 1
	listConn   uint32 = 2
	machineA   uint32 = 10
	machineB   uint32 = 11
	machineC   uint32 = 12
	machineD   uint32 = 20
)

// history builds a recording entry by entry and passes it to a checker. The machines a, b and c, in zones 0, 0 and 1,
// are listed at its start.
type history struct {
	*testing.T
	checker  *checker
	attempts uint64
	lag      int64 // lag of the entries that follow, in milliseconds
	lateLag  int64 // lag of the entries put by putLate, in milliseconds
}

func newHistory(t *testing.T) *history {
	t.Helper()
	h := &history{T: t, checker: newChecker()}
	h.checker.header = faultproxy.Header{
		DrainGrace: 250 * ms,
		Slack:      20 * ms,
		Config: scheduler.Config{
			AnswerGrace:     10 * ms,
			SlowStartPeriod: 5000 * ms,
			SlowStartWindow: 1000 * ms,
			SlowStartBudget: 3,
			WorkloadClasses: []scheduler.WorkloadClass{
				{},
				{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeZone, DedupWindow: 4000 * ms},
				{Idempotency: scheduler.AtMostOnce, SpreadScope: scheduler.ScopeZone, MaxPerScope: 2},
			},
		},
	}
	h.connect()
	h.list(0, map[string]protocol.MachineEntry{"a": {}, "b": {}, "c": {Zone: 1}})
	return h
}

func (h *history) put(at int64, e faultproxy.Entry) {
	e.At, e.Scheduler, e.Lag = at*ms, "p", h.lag*ms
	testutil.NoError(h, h.checker.handleEntry(&e))
}

func (h *history) open(id uint32, peer protocol.Role, name string) {
	h.put(0, faultproxy.Entry{Kind: faultproxy.Opened, ConnID: id, Peer: peer, PeerName: name})
}

// connect opens the connections to a client, the machine list and the machines.
func (h *history) connect() {
	h.open(clientConn, protocol.RoleClient, "o")
	h.open(listConn, protocol.RoleMachineList, "list")
	h.open(machineA, protocol.RoleMachine, "a")
	h.open(machineB, protocol.RoleMachine, "b")
	h.open(machineC, protocol.RoleMachine, "c")
}

func (h *history) putFrame(at int64, s faultproxy.EntryKind, id uint32, f protocol.Frame) {
	conn, encoded := h.checker.connections[id], frames.Encode(h, f)[4:]
	h.put(at, faultproxy.Entry{Kind: s, ConnID: id, Peer: conn.peer, PeerName: conn.name, Frame: encoded})
}

func (h *history) list(at int64, entries map[string]protocol.MachineEntry) {
	f := &protocol.MachineListUpdate{}
	for _, m := range []string{"a", "b", "c"} {
		if e, ok := entries[m]; ok {
			e.Machine, e.Address = m, "127.0.0.1:1"
			if e.Incarnation == 0 {
				e.Age = -1
			}
			f.Entries = append(f.Entries, e)
		}
	}
	h.putFrame(at, faultproxy.ToScheduler, listConn, f)
}

// restart kills the scheduler and starts it again with new connections. It has not received the machine list yet.
func (h *history) restart(at int64) {
	for _, id := range []uint32{clientConn, listConn, machineA, machineB, machineC} {
		h.put(at, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: id})
	}
	h.put(at, faultproxy.Entry{Kind: faultproxy.Killed})
	h.put(at, faultproxy.Entry{Kind: faultproxy.Started})
	h.connect()
}

func (h *history) spec(container string, class int) protocol.ContainerSpec {
	return protocol.ContainerSpec{
		ContainerID: container, IdempotencyKey: "k-" + container, Service: "s", WorkloadClass: class,
	}
}

func (h *history) submit(at int64, container string, class int) {
	h.putFrame(at, faultproxy.ToScheduler, clientConn,
		&protocol.Submit{TimeToDeadline: 2000 * ms, Spec: h.spec(container, class)})
}

func (h *history) offer(at int64, container string, class int, id uint32) uint64 {
	h.attempts++
	h.putFrame(at, faultproxy.FromScheduler, id,
		&protocol.Offer{AttemptID: h.attempts, Timeout: 500 * ms, Spec: h.spec(container, class)})
	return h.attempts
}

func (h *history) result(at int64, id uint32, attempt uint64, o protocol.Outcome) {
	h.putFrame(at, faultproxy.ToScheduler, id, &protocol.Result{AttemptID: attempt, Outcome: o})
}

func (h *history) accept(at int64, id uint32, attempt uint64) {
	h.putFrame(at, faultproxy.ToScheduler, id, &protocol.Accept{AttemptID: attempt, Running: true})
}

func (h *history) reply(at int64, container string, v protocol.Verdict) {
	h.putFrame(at, faultproxy.FromScheduler, clientConn, &protocol.PlacementReply{ContainerID: container, Verdict: v})
}

// cancelX has the client cancel container x by its ID, and by a key unless the key is empty.
func (h *history) cancelX(at int64, key string) {
	h.putFrame(at, faultproxy.ToScheduler, clientConn, &protocol.CancelContainer{ContainerID: "x", IdempotencyKey: key})
}

// answerCancelOfX has the scheduler reply that container x was cancelled.
func (h *history) answerCancelOfX(at int64) {
	h.putFrame(at, faultproxy.FromScheduler, clientConn,
		&protocol.PlacementReply{ContainerID: "x", Verdict: protocol.VerdictFailed, Message: protocol.MessageCancelled})
}

// stopX notifies the client that a cancel has stopped container x.
func (h *history) stopX(at int64) {
	h.putFrame(at, faultproxy.FromScheduler, clientConn,
		&protocol.Termination{ContainerID: "x", Outcome: protocol.OutcomeStopped})
}

// place has a container of workload class 0 submitted, offered to machine a, accepted there and replied to.
func (h *history) place(at int64, container string) {
	h.submit(at-1, container, 0)
	h.accept(at, machineA, h.offer(at, container, 0, machineA))
	h.reply(at+1, container, protocol.VerdictPlaced)
}

// retry has container x submitted and offered to machine a, and later offered again over another connection. Neither
// machine answers.
func (h *history) retry(class int, second uint32, secondAt int64, verdict protocol.Verdict) {
	h.submit(1, "x", class)
	h.offer(2, "x", class, machineA)
	h.offer(secondAt, "x", class, second)
	h.reply(700, "x", verdict)
}

// retryWithKey calls retry for a container that is idempotent with a key. The second offer follows after the timeout.
func (h *history) retryWithKey(second uint32) { h.retry(1, second, 600, protocol.VerdictFailed) }

// drain has the machine list report that machine a is draining.
func (h *history) drain() {
	h.list(1, map[string]protocol.MachineEntry{"a": {State: protocol.MachineDraining}})
}

// slowStart places five containers on a machine that has just started, with a gap between the offers.
func (h *history) slowStart(gap int64) {
	h.list(1, map[string]protocol.MachineEntry{"a": {Incarnation: 2}})
	for i := range int64(5) {
		h.place(10+gap*i, fmt.Sprint("x", i))
	}
}

// placeThree places two containers of a service on machines a and b, and a third on another machine.
func (h *history) placeThree(last uint32) {
	for i, id := range []uint32{machineA, machineB, last} {
		c := fmt.Sprint("x", i)
		h.submit(1, c, 2)
		h.accept(3, id, h.offer(2, c, 2, id))
		h.reply(4, c, protocol.VerdictPlaced)
	}
}
