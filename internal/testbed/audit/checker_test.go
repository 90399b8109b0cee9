package audit

import (
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testutil"
)

// Each history either keeps all rules or breaks one, which the audit must report.
var histories = []struct {
	name   string
	play   func(h *history)
	broken Rule // 0: none
}{
	{"placed", func(h *history) {
		h.submit(1, "x", 0)
		h.accept(9, machineA, h.offer(2, "x", 0, machineA))
		h.reply(9, "x", protocol.VerdictPlaced)
	}, 0},
	{"no reply", func(h *history) {
		h.submit(1, "x", 0)
		h.putFrame(3000, faultproxy.ToScheduler, clientConn, &protocol.Heartbeat{})
	}, RuleFinalReply},
	{"no reply, its scheduler killed in time", func(h *history) {
		h.submit(1, "x", 0)
		h.put(500, faultproxy.Entry{Kind: faultproxy.Killed})
	}, 0},
	{"no reply, its scheduler killed too late", func(h *history) {
		h.submit(1, "x", 0)
		h.put(5000, faultproxy.Entry{Kind: faultproxy.Killed})
	}, RuleFinalReply},
	{"no reply, its client left", func(h *history) {
		h.submit(1, "x", 0)
		h.put(500, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: clientConn})
	}, 0},
	{"two replies", func(h *history) {
		h.submit(1, "x", 0)
		h.reply(2, "x", protocol.VerdictRejected)
		h.reply(3, "x", protocol.VerdictFailed)
	}, RuleFinalReply},
	{"a cancel crosses the rejection, and is answered", func(h *history) {
		h.submit(1, "x", 0)
		h.cancelX(2, "k-x")
		h.reply(3, "x", protocol.VerdictRejected)
		h.answerCancelOfX(4)
	}, 0},
	{"a cancel crosses the rejection, and is answered twice", func(h *history) {
		h.submit(1, "x", 0)
		h.cancelX(2, "k-x")
		h.reply(3, "x", protocol.VerdictRejected)
		h.answerCancelOfX(4)
		h.answerCancelOfX(5)
	}, RuleFinalReply},
	{"a cancel ends the request, which is answered twice", func(h *history) {
		h.submit(1, "x", 0)
		h.cancelX(2, "k-x")
		h.answerCancelOfX(3)
		h.answerCancelOfX(4)
	}, RuleFinalReply},
	{"a cancel without a key is not answered", func(h *history) {
		h.submit(1, "x", 0)
		h.cancelX(2, "")
		h.reply(3, "x", protocol.VerdictRejected)
		h.answerCancelOfX(4)
	}, RuleFinalReply},
	{"a cancel crosses the end, and is answered", func(h *history) {
		h.place(5, "x")
		h.putFrame(7, faultproxy.FromScheduler, clientConn, &protocol.Termination{ContainerID: "x"})
		h.cancelX(8, "k-x")
		h.answerCancelOfX(9)
	}, 0},
	{"a cancel ends the container, and is answered once more", func(h *history) {
		h.place(5, "x")
		h.cancelX(7, "k-x")
		h.stopX(8)
		h.answerCancelOfX(9)
	}, RuleFinalReply},
	{"a second cancel crosses the end that the first one caused, and is answered", func(h *history) {
		h.place(5, "x")
		h.cancelX(7, "k-x")
		h.stopX(8)
		h.cancelX(9, "k-x")
		h.answerCancelOfX(10)
	}, 0},
	{"a cancel is answered while the container runs", func(h *history) {
		h.place(5, "x")
		h.cancelX(8, "k-x")
		h.answerCancelOfX(9)
	}, RuleFinalReply},
	{"a request fails again in place of the answer to a cancel", func(h *history) {
		h.submit(1, "x", 0)
		h.cancelX(2, "k-x")
		h.reply(3, "x", protocol.VerdictRejected)
		h.reply(4, "x", protocol.VerdictFailed)
	}, RuleFinalReply},
	{"late reply", func(h *history) {
		h.submit(1, "x", 0)
		h.reply(2100, "x", protocol.VerdictRejected)
	}, RuleFinalReply},
	{"offered after its reply", func(h *history) {
		h.submit(1, "x", 0)
		h.reply(2, "x", protocol.VerdictFailed)
		h.offer(100, "x", 0, machineA)
	}, RuleFinalReply},
	{"never submitted", func(h *history) { h.offer(100, "x", 0, machineA) }, RuleFinalReply},

	{"offered again after a refusal", func(h *history) {
		h.submit(1, "x", 2)
		h.result(5, machineA, h.offer(2, "x", 2, machineA), protocol.OutcomeFull)
		h.offer(6, "x", 2, machineB)
		h.reply(9, "x", protocol.VerdictFailed)
	}, 0},
	{"at-most-once offered again after a timeout", func(h *history) {
		h.retry(2, machineB, 600, protocol.VerdictFailed)
	}, RuleDuplicateRun},
	{"at-most-once rejected after a timeout", func(h *history) {
		h.submit(1, "x", 2)
		h.offer(2, "x", 2, machineA)
		h.reply(700, "x", protocol.VerdictRejected)
	}, RuleDuplicateRun},
	{"idempotent offered again after a timeout", func(h *history) {
		h.retry(0, machineC, 600, protocol.VerdictRejected)
	}, 0},
	{"two attempts in flight", func(h *history) {
		h.retry(0, machineC, 100, protocol.VerdictRejected)
	}, RuleDuplicateRun},
	{"the first attempt's connection was reset in the same moment", func(h *history) {
		h.submit(1, "x", 0)
		h.offer(2, "x", 0, machineA)
		h.offer(100, "x", 0, machineC)
		h.put(110, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: machineA})
		h.reply(700, "x", protocol.VerdictRejected)
	}, 0},
	{"idempotent with a key stays in its zone", func(h *history) { h.retryWithKey(machineB) }, 0},
	{"idempotent with a key leaves its zone", func(h *history) { h.retryWithKey(machineC) }, RuleDuplicateRun},
	{"idempotent with a key stays in its zone, no machine list received since a restart", func(h *history) {
		h.restart(1)
		h.retryWithKey(machineB)
	}, 0},
	{"idempotent with a key leaves its zone, no machine list received since a restart", func(h *history) {
		h.restart(1)
		h.retryWithKey(machineC)
	}, RuleDuplicateRun},
	{"idempotent with a key leaves its zone, machine moved since a restart", func(h *history) {
		h.restart(1)
		h.list(1, map[string]protocol.MachineEntry{"b": {Zone: 1}})
		h.retryWithKey(machineB)
	}, RuleDuplicateRun},
	{"idempotent with a key goes to a machine that no list named", func(h *history) {
		h.open(machineD, protocol.RoleMachine, "d")
		h.retryWithKey(machineD)
	}, RuleDuplicateRun},
	{"a key ran twice", func(h *history) {
		h.submit(1, "x", 2)
		h.accept(3, machineA, h.offer(2, "x", 2, machineA))
		h.reply(4, "x", protocol.VerdictPlaced)
		h.putFrame(9, faultproxy.ToScheduler, machineB, &protocol.Inventory{
			Containers: []protocol.InventoryItem{{AttemptID: 99, Running: true, Spec: h.spec("x", 2)}},
		})
	}, RuleDuplicateRun},

	{"offered to a draining machine", func(h *history) {
		h.drain()
		h.place(300, "x")
	}, RuleDraining},
	{"offered within the drain grace", func(h *history) {
		h.drain()
		h.place(200, "x")
	}, 0},
	{"serving again", func(h *history) {
		h.drain()
		h.list(100, map[string]protocol.MachineEntry{"a": {}})
		h.place(400, "x")
	}, 0},

	{"slow-start budget kept", func(h *history) { h.slowStart(400) }, 0},
	{"slow-start budget broken", func(h *history) { h.slowStart(100) }, RuleSlowStart},

	{"spread kept", func(h *history) { h.placeThree(machineC) }, 0},
	{"spread broken", func(h *history) { h.placeThree(machineA) }, RuleSpread},
	{"spread kept, no machine list received since a restart", func(h *history) {
		h.restart(0)
		h.placeThree(machineC)
	}, 0},
	{"spread broken, no machine list received since a restart", func(h *history) {
		h.restart(0)
		h.placeThree(machineA)
	}, RuleSpread},
}

func TestBrokenRuleIsReported(t *testing.T) {
	for _, tc := range histories {
		t.Run(tc.name, func(t *testing.T) {
			h := newHistory(t)
			tc.play(h)
			h.checker.finish()
			for _, v := range h.checker.report.Violations {
				testutil.Expect(t, v.Rule == tc.broken, "reported %v", v)
			}
			testutil.Expect(t, tc.broken <= 0 || h.checker.report.violationCounts[tc.broken] != 0,
				"rule %d is broken but not reported", tc.broken)
		})
	}
}
