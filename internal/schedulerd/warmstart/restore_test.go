package warmstart

import (
	"math"
	"slices"
	"strings"
	"testing"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

const (
	sec    = scheduler.Second
	window = 3 * sec
)

// kept is what a placer left at 1,000 s of its clock, 100 s after its system came up: machine m looked sick, rested
// and had five bids in its cold time.
func kept() Persisted {
	at := Timestamp{Clock: 1000 * sec, Uptime: 100 * sec, BootID: "b"}
	return Persisted{TakenAt: at, ClassNames: []string{"w", "c"}, Incarnations: map[scheduler.MachineID]uint64{"m": 7},
		History: LogHistory{SendsRecordedSince: Timestamp{Clock: 950 * sec, Uptime: 50 * sec, BootID: "b"}},
		Sends:   []SlowStartSends{{"m", 7, []scheduler.Time{992 * sec, 998 * sec, 999 * sec}}},
		Snapshot: scheduler.Snapshot{TrafficClasses: make([]scheduler.TrafficClass, 3), FullRatio: 0.8, RejectedWeight: 2,
			Machines: []scheduler.MachineSnapshot{{Machine: "m", StartedAt: 900 * sec, OutlierLogOdds: 4, EjectedUntil: 1004 * sec, EjectionTime: 4 * sec,
				SelfDrainingUntil: 1003 * sec, FailureEvidence: make([]scheduler.FailureEvidence, 3)}}}}
}

func TestBelieve(t *testing.T) {
	boot := func(clock, up scheduler.Time) Timestamp { return Timestamp{clock, up, "b"} }
	for _, tc := range []struct {
		name   string
		now    Timestamp
		change func(k *Persisted, m map[scheduler.MachineID]MachineStart)
		sick   float64 // of m; -1: nothing is believed of it
		rest   scheduler.Time
		cold   int
		since  scheduler.Time // before now, of which all that was sent is known; 0: nothing
		traits bool
		said   string
	}{
		{"a second later", boot(1001*sec, 101*sec), nil, 4 * math.Exp2(-1.0/60), 1004 * sec, 2, 51 * sec, true, "2 bids to cold machines"},
		{"a minute later", boot(1060*sec, 160*sec), nil, 2, 1004 * sec, 0, 110 * sec, true, "health counts 0.50"},
		{"so old that it is ignored", boot(1700*sec, 800*sec), nil, -1, 0, 0, 750 * sec, true, "health counts 0.00"},
		{"two days old", boot((1000+48*3600)*sec, (100+48*3600)*sec), nil, -1, 0, 0, (50 + 48*3600) * sec, true, "health counts 0.00"},
		{"the clock was set forward", boot(4601*sec, 101*sec), nil, 4 * math.Exp2(-1.0/60), 4604 * sec, 2, 51 * sec, true,
			"the clock was set by +3600000 ms"},
		{"the clock was set back", boot(901*sec, 101*sec), nil, 4 * math.Exp2(-1.0/60), 904 * sec, 2, 51 * sec, true, "set by -100000 ms"},
		{"another boot", Timestamp{1060 * sec, 10 * sec, "c"}, nil, 2, 1004 * sec, 0, 0, true, "is not known: they get nothing for 3000 ms"},
		{"another boot, the clock went back", Timestamp{900 * sec, 10 * sec, "c"}, nil, -1, 0, 0, 0, false, "the clock went back by 100000 ms"},
		{"a machine that restarted meanwhile", boot(1001*sec, 101*sec), func(_ *Persisted, m map[scheduler.MachineID]MachineStart) {
			m["m"] = MachineStart{8, 1000 * sec}
		}, -1, 0, 0, 51 * sec, true, "0 bids"},
		{"a machine that is gone", boot(1001*sec, 101*sec), func(_ *Persisted, m map[scheduler.MachineID]MachineStart) { delete(m, "m") },
			-1, 0, 0, 51 * sec, true, "0 bids"},
		{"other workloads", boot(1001*sec, 101*sec), func(k *Persisted, _ map[scheduler.MachineID]MachineStart) { k.ClassNames[0] = "x" },
			4 * math.Exp2(-1.0/60), 1004 * sec, 2, 51 * sec, false, "are others than before"},
		{"nothing was written down", boot(1001*sec, 101*sec), func(k *Persisted, _ map[scheduler.MachineID]MachineStart) { k.History = LogHistory{} },
			4 * math.Exp2(-1.0/60), 1004 * sec, 0, 0, true, "is not known"},
		{"no file, and a log", boot(1001*sec, 101*sec), func(k *Persisted, _ map[scheduler.MachineID]MachineStart) {
			k.TakenAt, k.Snapshot = Timestamp{}, scheduler.Snapshot{}
		}, 0, 0, 2, 51 * sec, false, "2 bids"},
		{"a life that has just begun", boot(951*sec, 51*sec), func(k *Persisted, _ map[scheduler.MachineID]MachineStart) { k.TakenAt = Timestamp{} },
			4, 1004 * sec, 3, sec, true, "3 bids"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k, machines := kept(), map[scheduler.MachineID]MachineStart{"m": {7, 900 * sec}}
			if tc.change != nil {
				tc.change(&k, machines)
			}
			if tc.name == "a life that has just begun" { // bids of it and of the life before it
				k.TakenAt = k.History.SendsRecordedSince
				k.Sends[0].Times = []scheduler.Time{946 * sec, 949 * sec, 951 * sec}
			}
			b := Restore(tc.now, k, machines, []string{"w", "c"}, window)
			sick, rest, cold := -1.0, scheduler.Time(0), 0
			for _, l := range b.Snapshot.Machines {
				sick, rest, cold = l.OutlierLogOdds, l.EjectedUntil, len(l.RecentSends)
				if l.StartedAt != machines[l.Machine].StartedAt {
					t.Errorf("believed of a start at %d", l.StartedAt)
				}
			}
			if math.Abs(sick-tc.sick) > 0.05 || rest != tc.rest || cold != tc.cold {
				t.Errorf("sick %.2f, rest until %d, %d cold; want %.2f, %d, %d", sick, rest, cold, tc.sick, tc.rest, tc.cold)
			}
			if got := tc.now.Clock - b.Snapshot.SendsKnownSince; got != tc.since {
				t.Errorf("sent is known for %d", got)
			}
			if (len(b.Snapshot.TrafficClasses) > 0) != tc.traits {
				t.Errorf("losses %v", b.Snapshot.TrafficClasses)
			}
			if said := strings.Join(b.Messages, "; "); !strings.Contains(said, tc.said) {
				t.Errorf("said %q", said)
			}
		})
	}
}

// Two crashes in a row: what the first lost is not known by the second start.
func TestLives(t *testing.T) {
	b1 := func(s scheduler.Time) Timestamp { return Timestamp{1000*sec + s*sec, s * sec, "b1"} }
	b2 := func(s scheduler.Time) Timestamp { return Timestamp{2000*sec + s*sec, s * sec, "b2"} }
	first := LogHistory{}.Next(b1(5))
	for _, tc := range []struct {
		name  string
		got   LogHistory
		whole Timestamp
		log   recovery.LogCoverage
	}{
		{"the first start", first, b1(5), recovery.LogNone},
		{"another before any machine told", first.Next(b1(9)), b1(5), recovery.LogNone},
		{"another after", first.WithCompleteLog().Next(b1(9)), b1(5), recovery.LogComplete},
		{"the system started anew", first.WithCompleteLog().Next(b2(3)), b2(3), recovery.LogSynced},
		{"and the placer again", first.WithCompleteLog().Next(b2(3)).Next(b2(4)), b2(3), recovery.LogSynced},
		{"and after all told", first.WithCompleteLog().Next(b2(3)).WithCompleteLog().Next(b2(4)), b2(3), recovery.LogComplete},
		{"the clock was set back a minute", first.Next(Timestamp{945 * sec, 9 * sec, "b1"}), Timestamp{941 * sec, 5 * sec, "b1"}, recovery.LogNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.got.SendsRecordedSince != tc.whole || tc.got.Coverage != tc.log {
				t.Errorf("%+v", tc.got)
			}
		})
	}
}

// A machine is written down while it is cold, and let go of when it is warm.
func TestLedger(t *testing.T) {
	l := NewSendLedger(17*sec, window)
	m := MachineStart{7, 100 * sec}
	for i, want := range []int{1, 2, 3, 3} { // the first has left two windows when the fourth goes
		s, cold := l.RecordSend(101*sec+scheduler.Time(i)*2*sec+1, "m", m)
		if !cold || len(s.Times) != want {
			t.Errorf("%d: %v", i, s)
		}
	}
	if _, cold := l.RecordSend(118*sec, "m", m); cold {
		t.Error("a warm machine is written down")
	}
	if _, cold := l.RecordSend(101*sec, "w", MachineStart{1, 0}); cold {
		t.Error("one that started long ago is written down")
	}
	at := func(scheduler.MachineID) (MachineStart, bool) { return m, true }
	// A list of old may not know a start yet to which an earlier life sent; without this its budget was had twice.
	later := []SlowStartSends{{"m", 7, []scheduler.Time{105 * sec}}, {"n", 2, []scheduler.Time{106 * sec}}, {"o", 7, []scheduler.Time{99 * sec}}}
	found, left := l.ResolvePending(107*sec, later, at)
	if len(found) != 1 || found[0].Machine != "m" || len(found[0].RecentSends) != 1 || len(left) != 1 || left[0].Machine != "n" {
		t.Errorf("found %v, left %v", found, left)
	}
	gone := func(scheduler.MachineID) (MachineStart, bool) { return MachineStart{}, false }
	if got := l.Expire(105*sec+2*window-1, gone); len(got) != 0 {
		t.Error("dropped while it may come back with the same start")
	}
	if got := l.Expire(116*sec, at); len(got) != 0 {
		t.Error("dropped while cold")
	}
	if got := l.Expire(118*sec, at); len(got) != 1 || len(l.recorded) != 0 {
		t.Errorf("%v", got)
	}
}

// What goes to a machine that counts as warm is remembered; if it is heard later that it had started before, that part of the
// budget is written down too, so that the next life of a placer that dies knows of it.
func TestUnheardStartBeforeDeath(t *testing.T) {
	l := NewSendLedger(17*sec, window)
	l.RecordSend(100*sec, "m", MachineStart{7, 0})
	if s, _ := l.RecordSend(101*sec, "m", MachineStart{8, 99 * sec}); len(s.Times) != 2 {
		t.Errorf("%d of 2 sends to a start at 99 s are written down (docs/review-of-parts.md, finding 13)", len(s.Times))
	}
}

// What may have reached a start is on record from the moment that start is heard of, together with what an earlier life sent
// to it; what went before is not, and what is remembered of warm machines is forgotten after two windows.
func TestStartedIsOnRecord(t *testing.T) {
	warm, cold := MachineStart{7, 0}, MachineStart{8, 100 * sec}
	for _, tc := range []struct {
		name string
		act  func(l *SendLedger)
		want []scheduler.Time // on record after the start was heard of at 102 s
	}{
		{"nothing was sent", func(*SendLedger) {}, nil},
		{"sent while it counted as warm", func(l *SendLedger) {
			l.RecordSend(98*sec, "m", warm)
			l.RecordSend(100*sec-window/transitDivisor, "m", warm)
			l.RecordSend(101*sec, "m", warm)
		}, []scheduler.Time{100*sec - window/transitDivisor, 101 * sec}},
		{"sent while an earlier start was cold", func(l *SendLedger) {
			l.RecordSend(99*sec, "m", MachineStart{7, 90 * sec})
			l.RecordSend(101*sec, "m", MachineStart{7, 90 * sec})
		}, []scheduler.Time{101 * sec}},
		{"its record went as it was warm", func(l *SendLedger) {
			l.RecordSend(101*sec, "m", MachineStart{7, 85 * sec})
			l.Expire(102*sec, func(scheduler.MachineID) (MachineStart, bool) { return MachineStart{7, 85 * sec}, true })
			l.RecordSend(102*sec, "m", MachineStart{7, 85 * sec})
		}, []scheduler.Time{101 * sec, 102 * sec}},
		{"by two lives", func(l *SendLedger) {
			l.RecordSend(102*sec, "m", warm)
			l.ResolvePending(102*sec, []SlowStartSends{{"m", 8, []scheduler.Time{101 * sec}}}, func(scheduler.MachineID) (MachineStart, bool) { return cold, true })
		}, []scheduler.Time{101 * sec, 102 * sec}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewSendLedger(17*sec, window)
			tc.act(l)
			s, recorded := l.IncarnationObserved(102*sec, "m", cold)
			if recorded != (tc.want != nil) || !slices.Equal(s.Times, tc.want) || recorded && s.Incarnation != 8 {
				t.Errorf("%+v, want %v", s, tc.want)
			}
			if _, again := l.IncarnationObserved(102*sec, "m", cold); again {
				t.Error("written twice")
			}
			l.Expire(102*sec+2*window, func(scheduler.MachineID) (MachineStart, bool) { return MachineStart{9, 0}, true })
			if len(l.recorded)+len(l.unrecorded) != 0 {
				t.Errorf("after two windows %d are on record, %d remembered", len(l.recorded), len(l.unrecorded))
			}
		})
	}
}

func BenchmarkNote(b *testing.B) {
	for name, m := range map[string]MachineStart{"warm": {7, 0}, "cold": {7, sec}} {
		b.Run(name, func(b *testing.B) { // 1,000 sends a second to one machine
			l, recorded := NewSendLedger(1<<40, window), 0
			for i := range b.N {
				if _, ok := l.RecordSend(2*sec+scheduler.Time(i)*sec/1000, "m", m); ok {
					recorded++
				}
			}
			b.ReportMetric(float64(recorded)/float64(b.N), "records/op")
		})
	}
}
