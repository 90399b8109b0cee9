package warmstart

import (
	"slices"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

// listedWith returns a lookup for which every machine is listed with the given start.
func listedWith(start MachineStart) MachineLookup {
	return func(scheduler.MachineID) (MachineStart, bool) { return start, true }
}

// notListed is a lookup for which no machine is listed.
func notListed(scheduler.MachineID) (MachineStart, bool) { return MachineStart{}, false }

// Sends to a machine are recorded while it is in slow start, and no longer.
func TestSendsAreRecordedDuringSlowStart(t *testing.T) {
	ledger := NewSendLedger(17*sec, window)
	m := MachineStart{7, 100 * sec}
	for i, want := range []int{1, 2, 3, 3} { // the first send is two windows old when the fourth is made
		s, record := ledger.RecordSend(101*sec+scheduler.Time(i)*2*sec+1, "m", m)
		testutil.Expect(t, record && len(s.Times) == want, "%d: %v", i, s)
	}
	if _, record := ledger.RecordSend(118*sec, "m", m); record {
		t.Error("a send is recorded after the slow start of its machine")
	}
	if _, record := ledger.RecordSend(101*sec, "w", MachineStart{1, 0}); record {
		t.Error("a send to a machine that started long ago is recorded")
	}
	at := listedWith(m)
	// A restored machine list may not yet name a start to which an earlier incarnation sent attempts. The budget of
	// the machine must not be spent twice.
	pending := []SlowStartSends{
		{"m", 7, []scheduler.Time{105 * sec}},
		{"n", 2, []scheduler.Time{106 * sec}},
		{"o", 7, []scheduler.Time{99 * sec}},
	}
	resolved, left := ledger.ResolvePending(107*sec, pending, at)
	if len(resolved) != 1 || resolved[0].Machine != "m" || len(resolved[0].RecentSends) != 1 || len(left) != 1 ||
		left[0].Machine != "n" {
		t.Errorf("resolved %v, left %v", resolved, left)
	}
	if got := ledger.Expire(105*sec+2*window-1, notListed); len(got) != 0 {
		t.Error("a record expired while its machine may be listed again without a restart")
	}
	testutil.Expect(t, len(ledger.Expire(116*sec, at)) == 0, "a record expired in slow start")
	if got := ledger.Expire(118*sec, at); len(got) != 1 || len(ledger.recordedSends) != 0 {
		t.Errorf("%v", got)
	}
}

// Sends to a machine whose slow start is over are kept in memory. If the machine had restarted before these sends, the
// next send records them. Otherwise the next incarnation of the scheduler would use that part of the budget again.
func TestSendsBeforeStartIsObservedAreRecorded(t *testing.T) {
	ledger := NewSendLedger(17*sec, window)
	ledger.RecordSend(100*sec, "m", MachineStart{7, 0})
	if s, _ := ledger.RecordSend(101*sec, "m", MachineStart{8, 99 * sec}); len(s.Times) != 2 {
		t.Errorf("%d of 2 sends to a start at 99 s are recorded", len(s.Times))
	}
}

// Sends that may have reached a start are recorded as soon as the start is observed, including sends of an earlier
// incarnation of the scheduler. Sends to earlier starts are not recorded, and unrecorded sends are dropped after two
// windows.
func TestObservedStartIsRecordedWithWhatReachedIt(t *testing.T) {
	before, after := MachineStart{7, 0}, MachineStart{8, 100 * sec}
	for _, tc := range []struct {
		name string
		act  func(ledger *SendLedger)
		want []scheduler.Time // recorded once the start is observed at 102 s
	}{
		{"nothing was sent", func(*SendLedger) {}, nil},
		{"sent when the slow start of the last start was over", func(ledger *SendLedger) {
			ledger.RecordSend(98*sec, "m", before)
			ledger.RecordSend(100*sec-window/transitDivisor, "m", before)
			ledger.RecordSend(101*sec, "m", before)
		}, []scheduler.Time{100*sec - window/transitDivisor, 101 * sec}},
		{"sent in the slow start of the last start", func(ledger *SendLedger) {
			ledger.RecordSend(99*sec, "m", MachineStart{7, 90 * sec})
			ledger.RecordSend(101*sec, "m", MachineStart{7, 90 * sec})
		}, []scheduler.Time{101 * sec}},
		{"the record of the last start had expired", func(ledger *SendLedger) {
			last := MachineStart{7, 85 * sec}
			ledger.RecordSend(101*sec, "m", last)
			ledger.Expire(102*sec, listedWith(last))
			ledger.RecordSend(102*sec, "m", last)
		}, []scheduler.Time{101 * sec, 102 * sec}},
		{"sent by two incarnations of the scheduler", func(ledger *SendLedger) {
			ledger.RecordSend(102*sec, "m", before)
			pending := []SlowStartSends{{"m", 8, []scheduler.Time{101 * sec}}}
			ledger.ResolvePending(102*sec, pending, listedWith(after))
		}, []scheduler.Time{101 * sec, 102 * sec}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ledger := NewSendLedger(17*sec, window)
			tc.act(ledger)
			s, recorded := ledger.IncarnationObserved(102*sec, "m", after)
			if recorded != (tc.want != nil) || !slices.Equal(s.Times, tc.want) || recorded && s.Incarnation != 8 {
				t.Errorf("%+v, want %v", s, tc.want)
			}
			_, again := ledger.IncarnationObserved(102*sec, "m", after)
			testutil.Expect(t, !again, "recorded twice")
			ledger.Expire(102*sec+2*window, listedWith(MachineStart{9, 0}))
			if records, others := len(ledger.recordedSends), len(ledger.unrecordedSends); records+others != 0 {
				t.Errorf("after two windows %d records and %d unrecorded entries are left", records, others)
			}
		})
	}
}

func BenchmarkRecordSend(b *testing.B) {
	for name, m := range map[string]MachineStart{"started long ago": {7, 0}, "in slow start": {7, sec}} {
		b.Run(name, func(b *testing.B) { // 1,000 sends a second to one machine
			ledger, recorded := NewSendLedger(1<<40, window), 0
			for i := range b.N {
				if _, ok := ledger.RecordSend(2*sec+scheduler.Time(i)*sec/1000, "m", m); ok {
					recorded++
				}
			}
			b.ReportMetric(float64(recorded)/float64(b.N), "records/op")
		})
	}
}
