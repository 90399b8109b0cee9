package audit

import (
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testutil"
)

// putLate calls put with the lag of a late entry.
func (h *history) putLate(put func()) {
	defer func(lag int64) { h.lag = lag }(h.lag)
	h.lag = h.lateLag
	put()
}

// submitWithin submits container x with a given time to its deadline.
func (h *history) submitWithin(timeToDeadline protocol.Duration, class int) {
	h.putFrame(1, faultproxy.ToScheduler, clientConn,
		&protocol.Submit{TimeToDeadline: timeToDeadline * ms, Spec: h.spec("x", class)})
}

// Each history breaks a rule unless the lag of its one late entry, added to the slack of 20 ms, excuses it.
var lateHistories = []struct {
	name   string
	play   func(h *history)
	lag    int64 // the smallest lag that excuses the late entry, in milliseconds
	broken Rule
}{
	{"the close of the first attempt's connection", func(h *history) {
		h.submit(1, "x", 0)
		h.offer(2, "x", 0, machineA)
		h.offer(100, "x", 0, machineC)
		h.putLate(func() { h.put(256, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: machineA}) })
		h.reply(700, "x", protocol.VerdictRejected)
	}, 136, RuleDuplicateRun},
	{"the first attempt, whose timeout was over", func(h *history) {
		h.submit(1, "x", 0)
		h.putLate(func() { h.offer(100, "x", 0, machineA) })
		h.offer(500, "x", 0, machineC)
		h.reply(1100, "x", protocol.VerdictRejected)
	}, 80, RuleDuplicateRun},
	{"the first attempt, recorded after the second", func(h *history) {
		h.submit(1, "x", 0)
		h.attempts = 1
		h.offer(40, "x", 0, machineC)
		h.attempts = 0
		h.putLate(func() { h.offer(152, "x", 0, machineA) })
		h.put(153, faultproxy.Entry{Kind: faultproxy.Closed, ConnID: machineA})
		h.reply(700, "x", protocol.VerdictRejected)
	}, 93, RuleDuplicateRun},
	{"an attempt within the deduplication window", func(h *history) {
		h.submitWithin(9000, 1)
		h.offer(2, "x", 1, machineA)
		h.putLate(func() { h.offer(4100, "x", 1, machineB) })
		h.reply(5000, "x", protocol.VerdictFailed)
	}, 78, RuleDuplicateRun},
	{"an attempt within the drain grace", func(h *history) {
		h.drain()
		h.submit(2, "x", 0)
		h.putLate(func() { h.offer(400, "x", 0, machineA) })
		h.reply(1000, "x", protocol.VerdictRejected)
	}, 129, RuleDraining},
	{"an attempt before the reply", func(h *history) {
		h.submit(1, "x", 0)
		h.reply(2, "x", protocol.VerdictFailed)
		h.putLate(func() { h.offer(100, "x", 0, machineA) })
	}, 78, RuleFinalReply},
	{"a reply", func(h *history) {
		h.submit(1, "x", 0)
		h.putLate(func() { h.reply(2100, "x", protocol.VerdictRejected) })
	}, 69, RuleFinalReply},
	{"the kill of a scheduler that owes a reply", func(h *history) {
		h.submit(1, "x", 0)
		h.putLate(func() { h.put(2100, faultproxy.Entry{Kind: faultproxy.Killed}) })
	}, 69, RuleFinalReply},
	{"an attempt before the slow-start window", func(h *history) {
		h.list(1, map[string]protocol.MachineEntry{"a": {Incarnation: 2}})
		for _, container := range []string{"x", "y", "z", "w"} {
			h.submit(1, container, 0)
		}
		h.putLate(func() { h.offer(100, "x", 0, machineA) })
		h.offer(600, "y", 0, machineA)
		h.offer(900, "z", 0, machineA)
		h.offer(1050, "w", 0, machineA)
	}, 50, RuleSlowStart},
	{"an attempt in a spread scope, whose timeout was over", func(h *history) {
		h.submit(1, "x", 2)
		h.submit(1, "y", 2)
		h.submit(1, "z", 2)
		h.putLate(func() { h.offer(100, "x", 2, machineA) })
		h.offer(102, "y", 2, machineB)
		h.offer(500, "z", 2, machineA)
	}, 80, RuleSpread},
}

func TestOnlyLagOfItsOwnEntryExcusesLateRecording(t *testing.T) {
	for _, tc := range lateHistories {
		for title, run := range map[string]struct {
			lateLag, otherLag int64
			broken            Rule
		}{
			"its lag":                             {tc.lag, 0, 0},
			"no lag":                              {0, 0, tc.broken},
			"less than its lag":                   {tc.lag - 1, 0, tc.broken},
			"only the other entries have the lag": {0, tc.lag, tc.broken},
		} {
			t.Run(tc.name+", "+title, func(t *testing.T) {
				h := newHistory(t)
				h.lateLag, h.lag = run.lateLag, run.otherLag
				tc.play(h)
				h.checker.finish()
				expectReport(t, &h.checker.report.Report, run.broken, tc.lag)
			})
		}
	}
}

// expectReport checks that the report names one broken rule. If broken is 0, it checks that no rule is broken, and that
// one entry is in time only because of its lag.
func expectReport(t *testing.T, report *Report, broken Rule, lag int64) {
	t.Helper()
	for _, v := range report.Violations {
		testutil.Expect(t, v.Rule == broken, "reported %v", v)
	}
	if broken != 0 {
		testutil.Expect(t, !report.Passed(), "rule %d is broken but not reported", broken)
		return
	}
	testutil.Equal(t, report.WidenedEntries, 1, "entries excused by their lag")
	testutil.Equal(t, report.WidenedLag, float64(lag))
	testutil.Equal(t, report.LargestLag, float64(lag))
}
