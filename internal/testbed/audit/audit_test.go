package audit

import (
	"fmt"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

const ms = 10 // tenths of one

// history builds a record by hand; the machines a, b and c, of zones 0, 0 and 1, are listed at its start.
type history struct {
	*testing.T
	j    *judge
	bids uint64
}

func begin(t *testing.T) *history {
	h := &history{T: t, j: newJudge()}
	h.j.h = faultproxy.Header{DrainGrace: 250 * ms, Slack: 20 * ms, Config: scheduler.Config{AnswerGrace: 10 * ms, SlowStartPeriod: 5000 * ms,
		SlowStartWindow: 1000 * ms, SlowStartBudget: 3, WorkloadClasses: []scheduler.WorkloadClass{{}, {Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeZone,
			DedupWindow: 4000 * ms}, {Idempotency: scheduler.AtMostOnce, SpreadScope: scheduler.ScopeZone, MaxPerScope: 2}}}}
	h.connect()
	h.list(0, map[string]protocol.MachineEntry{"a": {}, "b": {}, "c": {Zone: 1}})
	return h
}

func (h *history) put(at int64, e faultproxy.Entry) {
	e.At, e.Scheduler = at*ms, "p"
	h.j.now = e.At
	h.j.judgePairs(e.At)
	if err := h.j.entry(&e); err != nil {
		h.Fatal(err)
	}
}

func (h *history) open(id uint32, far protocol.Role, name string) {
	h.put(0, faultproxy.Entry{Kind: faultproxy.Opened, ConnID: id, Peer: far, PeerName: name})
}

// connect opens the links to a client, the list and the machines.
func (h *history) connect() {
	h.open(1, protocol.RoleClient, "o")
	h.open(2, protocol.RoleMachineList, "list")
	for i, m := range []string{"a", "b", "c"} {
		h.open(uint32(10+i), protocol.RoleMachine, m)
	}
}

func (h *history) frame(at int64, s faultproxy.EntryKind, id uint32, f protocol.Frame) {
	p, err := protocol.Append(nil, f)
	if err != nil {
		h.Fatal(err)
	}
	h.put(at, faultproxy.Entry{Kind: s, ConnID: id, Peer: h.j.links[id].far, PeerName: h.j.links[id].name, Frame: p[4:]})
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
	h.frame(at, faultproxy.ToScheduler, 2, f)
}

// restart kills the placer and starts it again; its links are new, and the list is not heard yet.
func (h *history) restart(at int64) {
	for _, id := range []uint32{1, 2, 10, 11, 12} {
		h.put(at, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: id})
	}
	h.put(at, faultproxy.Entry{Kind: faultproxy.Killed})
	h.put(at, faultproxy.Entry{Kind: faultproxy.Started})
	h.connect()
}

func (h *history) work(c string, workload int) protocol.ContainerSpec {
	return protocol.ContainerSpec{ContainerID: c, IdempotencyKey: "k-" + c, Service: "s", WorkloadClass: workload}
}

func (h *history) ask(at int64, c string, workload int) {
	h.frame(at, faultproxy.ToScheduler, 1, &protocol.Submit{TimeToDeadline: 2000 * ms, Spec: h.work(c, workload)})
}

func (h *history) offer(at int64, c string, workload int, id uint32) uint64 {
	h.bids++
	h.frame(at, faultproxy.FromScheduler, id, &protocol.Offer{AttemptID: h.bids, Timeout: 500 * ms, Spec: h.work(c, workload)})
	return h.bids
}

func (h *history) result(at int64, id uint32, bid uint64, o protocol.Outcome) {
	h.frame(at, faultproxy.ToScheduler, id, &protocol.Result{AttemptID: bid, Outcome: o})
}

func (h *history) yes(at int64, id uint32, bid uint64) {
	h.frame(at, faultproxy.ToScheduler, id, &protocol.Accept{AttemptID: bid, Running: true})
}

func (h *history) answer(at int64, c string, v protocol.Verdict) {
	h.frame(at, faultproxy.FromScheduler, 1, &protocol.PlacementReply{ContainerID: c, Verdict: v})
}

// Each history either keeps the rules or breaks one, and the audit tells which.
func TestJudge(t *testing.T) {
	for _, tc := range []struct {
		name  string
		play  func(h *history)
		broke int
	}{
		{"placed", func(h *history) {
			h.ask(1, "x", 0)
			h.yes(9, 10, h.offer(2, "x", 0, 10))
			h.answer(9, "x", protocol.VerdictPlaced)
		}, 0},
		{"no answer", func(h *history) { h.ask(1, "x", 0); h.frame(3000, faultproxy.ToScheduler, 1, &protocol.Heartbeat{}) }, 1},
		{"no answer, its placer killed in time", func(h *history) { h.ask(1, "x", 0); h.put(500, faultproxy.Entry{Kind: faultproxy.Killed}) }, 0},
		{"no answer, its placer killed too late", func(h *history) { h.ask(1, "x", 0); h.put(5000, faultproxy.Entry{Kind: faultproxy.Killed}) }, 1},
		{"no answer, its owner left", func(h *history) { h.ask(1, "x", 0); h.put(500, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: 1}) }, 0},
		{"two answers", func(h *history) {
			h.ask(1, "x", 0)
			h.answer(2, "x", protocol.VerdictRejected)
			h.answer(3, "x", protocol.VerdictFailed)
		}, 1},
		{"late answer", func(h *history) { h.ask(1, "x", 0); h.answer(2100, "x", protocol.VerdictRejected) }, 1},
		{"sent after its answer", func(h *history) { h.ask(1, "x", 0); h.answer(2, "x", protocol.VerdictFailed); h.offer(100, "x", 0, 10) }, 1},
		{"never asked for", func(h *history) { h.offer(100, "x", 0, 10) }, 1},

		{"again after a refusal", func(h *history) {
			h.ask(1, "x", 2)
			h.result(5, 10, h.offer(2, "x", 2, 10), protocol.OutcomeFull)
			h.offer(6, "x", 2, 11)
			h.answer(9, "x", protocol.VerdictFailed)
		}, 0},
		{"at-most-once again after a time-out", func(h *history) {
			h.ask(1, "x", 2)
			h.offer(2, "x", 2, 10)
			h.offer(600, "x", 2, 11)
			h.answer(700, "x", protocol.VerdictFailed)
		}, 2},
		{"at-most-once pushed back after a time-out", func(h *history) {
			h.ask(1, "x", 2)
			h.offer(2, "x", 2, 10)
			h.answer(700, "x", protocol.VerdictRejected)
		}, 2},
		{"reissuable again after a time-out", func(h *history) {
			h.ask(1, "x", 0)
			h.offer(2, "x", 0, 10)
			h.offer(600, "x", 0, 12)
			h.answer(700, "x", protocol.VerdictRejected)
		}, 0},
		{"two bids out", func(h *history) {
			h.ask(1, "x", 0)
			h.offer(2, "x", 0, 10)
			h.offer(100, "x", 0, 12)
			h.answer(700, "x", protocol.VerdictRejected)
		}, 2},
		{"the first's link was reset in the same moment", func(h *history) {
			h.ask(1, "x", 0)
			h.offer(2, "x", 0, 10)
			h.offer(100, "x", 0, 12)
			h.put(110, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: 10})
			h.answer(700, "x", protocol.VerdictRejected)
		}, 0},
		{"numbered stays in its group", func(h *history) {
			h.ask(1, "x", 1)
			h.offer(2, "x", 1, 10)
			h.offer(600, "x", 1, 11)
			h.answer(700, "x", protocol.VerdictFailed)
		}, 0},
		{"numbered leaves its group", func(h *history) {
			h.ask(1, "x", 1)
			h.offer(2, "x", 1, 10)
			h.offer(600, "x", 1, 12)
			h.answer(700, "x", protocol.VerdictFailed)
		}, 2},
		{"numbered stays in its group, the list not heard since a restart", func(h *history) {
			h.restart(1)
			h.ask(2, "x", 1)
			h.offer(3, "x", 1, 10)
			h.offer(600, "x", 1, 11)
			h.answer(700, "x", protocol.VerdictFailed)
		}, 0},
		{"numbered leaves its group, the list not heard since a restart", func(h *history) {
			h.restart(1)
			h.ask(2, "x", 1)
			h.offer(3, "x", 1, 10)
			h.offer(600, "x", 1, 12)
			h.answer(700, "x", protocol.VerdictFailed)
		}, 2},
		{"numbered leaves its group, a machine moved since a restart", func(h *history) {
			h.restart(1)
			h.list(1, map[string]protocol.MachineEntry{"b": {Zone: 1}})
			h.ask(2, "x", 1)
			h.offer(3, "x", 1, 10)
			h.offer(600, "x", 1, 11)
			h.answer(700, "x", protocol.VerdictFailed)
		}, 2},
		{"numbered goes to a machine of which no list told", func(h *history) {
			h.open(20, protocol.RoleMachine, "d")
			h.ask(2, "x", 1)
			h.offer(3, "x", 1, 10)
			h.offer(600, "x", 1, 20)
			h.answer(700, "x", protocol.VerdictFailed)
		}, 2},
		{"a key ran twice", func(h *history) {
			h.ask(1, "x", 2)
			h.yes(3, 10, h.offer(2, "x", 2, 10))
			h.answer(4, "x", protocol.VerdictPlaced)
			h.frame(9, faultproxy.ToScheduler, 11, &protocol.Inventory{Containers: []protocol.InventoryItem{{AttemptID: 99, Running: true, Spec: h.work("x", 2)}}})
		}, 2},

		{"sent to a draining machine", func(h *history) {
			h.list(1, map[string]protocol.MachineEntry{"a": {State: protocol.MachineDraining}})
			h.ask(290, "x", 0)
			h.yes(300, 10, h.offer(300, "x", 0, 10))
			h.answer(301, "x", protocol.VerdictPlaced)
		}, 3},
		{"within the grace", func(h *history) {
			h.list(1, map[string]protocol.MachineEntry{"a": {State: protocol.MachineDraining}})
			h.ask(1, "x", 0)
			h.yes(200, 10, h.offer(200, "x", 0, 10))
			h.answer(201, "x", protocol.VerdictPlaced)
		}, 0},
		{"serving again", func(h *history) {
			h.list(1, map[string]protocol.MachineEntry{"a": {State: protocol.MachineDraining}})
			h.list(100, map[string]protocol.MachineEntry{"a": {}})
			h.ask(390, "x", 0)
			h.yes(400, 10, h.offer(400, "x", 0, 10))
			h.answer(401, "x", protocol.VerdictPlaced)
		}, 0},

		{"cold budget kept", func(h *history) { h.cold(400) }, 0},
		{"cold budget broken", func(h *history) { h.cold(100) }, 4},

		{"spread kept", func(h *history) { h.three(12) }, 0},
		{"spread broken", func(h *history) { h.three(10) }, 5},
		{"spread kept, the list not heard since a restart", func(h *history) { h.restart(0); h.three(12) }, 0},
		{"spread broken, the list not heard since a restart", func(h *history) { h.restart(0); h.three(10) }, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := begin(t)
			tc.play(h)
			h.j.finish()
			for _, f := range h.j.Findings {
				if f.Rule != tc.broke {
					t.Errorf("found %v", f)
				}
			}
			if tc.broke > 0 && h.j.found[tc.broke] == 0 {
				t.Errorf("rule %d is broken, and it is not seen", tc.broke)
			}
		})
	}
}

// cold sends five offers to a machine that has just started.
func (h *history) cold(gap int64) {
	h.list(1, map[string]protocol.MachineEntry{"a": {Incarnation: 2}})
	for i := range int64(5) {
		c := fmt.Sprint("x", i)
		h.ask(10+gap*i, c, 0)
		h.yes(10+gap*i, 10, h.offer(10+gap*i, c, 0, 10))
		h.answer(10+gap*i, c, protocol.VerdictPlaced)
	}
}

// three places two containers of a service on machines a and b, and a third on another link.
func (h *history) three(last uint32) {
	for i, id := range []uint32{10, 11, last} {
		c := fmt.Sprint("x", i)
		h.ask(1, c, 2)
		h.yes(3, id, h.offer(2, c, 2, id))
		h.answer(4, c, protocol.VerdictPlaced)
	}
}
