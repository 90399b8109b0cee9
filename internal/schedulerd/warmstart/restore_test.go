package warmstart

import (
	"math"
	"strings"
	"testing"

	"glenport/internal/schedulerd/recovery"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

const (
	sec    = scheduler.Second
	window = 3 * sec
)

// persisted returns the state that a scheduler left at 1,000 s of its clock, 100 s after its system booted. Machine m
// looked like an outlier, was ejected, and received attempts in its slow start.
func persisted() PersistedState {
	at := Timestamp{Clock: 1000 * sec, Uptime: 100 * sec, BootID: "b"}
	return PersistedState{
		TakenAt: at, ClassNames: []string{"w", "c"}, Incarnations: map[scheduler.MachineID]uint64{"m": 7},
		History: LogHistory{SendsRecordedSince: Timestamp{Clock: 950 * sec, Uptime: 50 * sec, BootID: "b"}},
		Sends:   []SlowStartSends{{"m", 7, []scheduler.Time{992 * sec, 998 * sec, 999 * sec}}},
		Snapshot: scheduler.Snapshot{
			TrafficClasses: make([]scheduler.TrafficClass, 3), FullRatio: 0.8, RejectedWeight: 2,
			Machines: []scheduler.MachineSnapshot{{
				Machine: "m", StartedAt: 900 * sec, OutlierLogOdds: 4, EjectedUntil: 1004 * sec, EjectionTime: 4 * sec,
				SelfDrainingUntil: 1003 * sec, FailureEvidence: make([]scheduler.FailureEvidence, 3),
			}},
		},
	}
}

// text returns messages as a log prints them, each followed by a semicolon.
func text(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Text)
		for _, a := range m.Attributes {
			b.WriteString(" " + a.String())
		}
		b.WriteString(";")
	}
	return b.String()
}

// boot returns a timestamp of the boot in which the snapshot was taken.
func boot(clock, uptime scheduler.Time) Timestamp { return Timestamp{clock, uptime, "b"} }

// restoredMachine is the restored state of machine m.
type restoredMachine struct {
	outlier float64 // log odds; -1: the machine is not restored
	ejected scheduler.Time
	sends   int
}

// outcome is the expected result of a restore.
type outcome struct {
	machine restoredMachine
	known   scheduler.Time // time before now for which all sends are known
	ratios  bool           // the loss ratios of the traffic classes are restored
	message string         // part of the messages
}

type restoreCase struct {
	name   string
	now    Timestamp
	change func(p *PersistedState, m map[scheduler.MachineID]MachineStart) // nil: none
	want   outcome
}

const twoDays = 48 * 3600 * sec

var (
	secondLater    = boot(1001*sec, 101*sec)
	decayedOdds    = 4 * math.Exp2(-1.0/60) // the log odds of m, weighted after one second
	decayedMachine = restoredMachine{decayedOdds, 1004 * sec, 2}
	notRestored    = restoredMachine{outlier: -1}
)

var restoreCases = []restoreCase{
	{
		"a second later", secondLater, nil,
		outcome{decayedMachine, 51 * sec, true, "slow start restored sends=2 within_ms=6000"},
	},
	{
		"a minute later", boot(1060*sec, 160*sec), nil,
		outcome{
			restoredMachine{2, 1004 * sec, 0},
			110 * sec, true,
			"snapshot restored age_ms=60000 outlier_weight=0.5 full_weight=0;",
		},
	},
	{
		"too old to be restored", boot(1700*sec, 800*sec), nil,
		outcome{notRestored, 750 * sec, true, "snapshot restored age_ms=700000 outlier_weight=0 "},
	},
	{
		"two days old", boot(1000*sec+twoDays, 100*sec+twoDays), nil,
		outcome{notRestored, 50*sec + twoDays, true, "snapshot restored age_ms=172800000 outlier_weight=0 "},
	},
	{
		"the clock was set forward", boot(4601*sec, 101*sec), nil,
		outcome{
			restoredMachine{decayedOdds, 4604 * sec, 2},
			51 * sec, true,
			"wall clock was set since the snapshot; times of the snapshot adjusted jump_ms=3600000;",
		},
	},
	{
		"the clock was set back", boot(901*sec, 101*sec), nil,
		outcome{
			restoredMachine{decayedOdds, 904 * sec, 2},
			51 * sec, true,
			"times of the snapshot adjusted jump_ms=-100000;",
		},
	},
	{
		"another boot",
		Timestamp{1060 * sec, 10 * sec, "c"},
		nil,
		outcome{
			restoredMachine{2, 1004 * sec, 0},
			0, true,
			"slow start unknown; no sends to such machines for one window window_ms=3000",
		},
	},
	{
		"another boot, the clock went back",
		Timestamp{900 * sec, 10 * sec, "c"},
		nil,
		outcome{
			notRestored, 0, false,
			"wall clock went back during a restart of the system; snapshot not restored back_ms=100000;",
		},
	},
	{
		"a machine that restarted in between", secondLater,
		func(_ *PersistedState, m map[scheduler.MachineID]MachineStart) { m["m"] = MachineStart{8, 1000 * sec} },
		outcome{notRestored, 51 * sec, true, "slow start restored sends=0"},
	},
	{
		"a machine that is gone", secondLater,
		func(_ *PersistedState, m map[scheduler.MachineID]MachineStart) { delete(m, "m") },
		outcome{notRestored, 51 * sec, true, "slow start restored sends=0"},
	},
	{
		"other workload classes", secondLater,
		func(p *PersistedState, _ map[scheduler.MachineID]MachineStart) { p.ClassNames[0] = "x" },
		outcome{decayedMachine, 51 * sec, false, "loss ratios not restored"},
	},
	{
		"no sends were recorded", secondLater,
		func(p *PersistedState, _ map[scheduler.MachineID]MachineStart) { p.History = LogHistory{} },
		outcome{
			restoredMachine{decayedOdds, 1004 * sec, 0},
			0, true,
			"slow start unknown; no sends to such machines for one window",
		},
	},
	{
		"no snapshot, and a log", secondLater,
		func(p *PersistedState, _ map[scheduler.MachineID]MachineStart) {
			p.TakenAt, p.Snapshot = Timestamp{}, scheduler.Snapshot{}
		},
		outcome{restoredMachine{sends: 2}, 51 * sec, false, "slow start restored sends=2"},
	},
	{
		"an incarnation that has just begun", boot(951*sec, 51*sec),
		func(p *PersistedState, _ map[scheduler.MachineID]MachineStart) { // with sends of the incarnation before it
			p.TakenAt = p.History.SendsRecordedSince
			p.Sends[0].Times = []scheduler.Time{946 * sec, 949 * sec, 951 * sec}
		},
		outcome{restoredMachine{4, 1004 * sec, 3}, sec, true, "slow start restored sends=3"},
	},
}

func TestRestoreWeighsByAge(t *testing.T) {
	for _, tc := range restoreCases {
		t.Run(tc.name, tc.run)
	}
}

func (tc restoreCase) run(t *testing.T) {
	p, machines := persisted(), map[scheduler.MachineID]MachineStart{"m": {7, 900 * sec}}
	if tc.change != nil {
		tc.change(&p, machines)
	}
	r := Restore(tc.now, p, machines, []string{"w", "c"}, window)
	got := notRestored
	for _, m := range r.Snapshot.Machines {
		got = restoredMachine{m.OutlierLogOdds, m.EjectedUntil, len(m.RecentSends)}
		testutil.Expect(t, m.StartedAt == machines[m.Machine].StartedAt, "restored for a start at %d", m.StartedAt)
	}
	want := tc.want.machine
	if math.Abs(got.outlier-want.outlier) > 0.05 || got.ejected != want.ejected || got.sends != want.sends {
		t.Errorf("restored %+v, want %+v", got, want)
	}
	known := tc.now.Clock - r.Snapshot.SendsKnownSince
	testutil.Expect(t, known == tc.want.known, "sends are known for %d", known)
	testutil.Expect(t, (len(r.Snapshot.TrafficClasses) > 0) == tc.want.ratios,
		"loss ratios %v", r.Snapshot.TrafficClasses)
	messages := text(r.Messages)
	testutil.Expect(t, strings.Contains(messages, tc.want.message), "messages %q", messages)
}

// After two crashes in a row, attempts that the first crash removed from the log still count as missing.
func TestHistoryKeepsWhatWasLost(t *testing.T) {
	b1 := func(s scheduler.Time) Timestamp { return Timestamp{1000*sec + s*sec, s * sec, "b1"} }
	b2 := func(s scheduler.Time) Timestamp { return Timestamp{2000*sec + s*sec, s * sec, "b2"} }
	first := LogHistory{}.Next(b1(5))
	restarted := first.WithCompleteLog().Next(b2(3))
	nowSetBack, sinceSetBack := Timestamp{945 * sec, 9 * sec, "b1"}, Timestamp{941 * sec, 5 * sec, "b1"}
	for _, tc := range []struct {
		name     string
		got      LogHistory
		since    Timestamp
		coverage recovery.LogCoverage
	}{
		{"the first start", first, b1(5), recovery.LogNone},
		{"a second start, before any report", first.Next(b1(9)), b1(5), recovery.LogNone},
		{"a second start, after all reports", first.WithCompleteLog().Next(b1(9)), b1(5), recovery.LogComplete},
		{"system restarted", restarted, b2(3), recovery.LogSynced},
		{"system restarted, second start", restarted.Next(b2(4)), b2(3), recovery.LogSynced},
		{"system restarted, all reports", restarted.WithCompleteLog().Next(b2(4)), b2(3), recovery.LogComplete},
		{"the clock was set back a minute", first.Next(nowSetBack), sinceSetBack, recovery.LogNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			testutil.Expect(t, tc.got.SendsRecordedSince == tc.since && tc.got.Coverage == tc.coverage, "%+v", tc.got)
		})
	}
}
