package warmstart

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

const recordedColdFor = 17 * scheduler.Second

func recordedTime(rng *rand.Rand) scheduler.Time {
	return scheduler.Time(rng.IntN(4)) * scheduler.Time(rng.IntN(40)) * sec / 4
}

func recordedStamp(rng *rand.Rand) Timestamp {
	s := Timestamp{Clock: 1000*sec + recordedTime(rng), Uptime: 100*sec + recordedTime(rng), BootID: fmt.Sprint("b", rng.IntN(10)/6)}
	switch rng.IntN(12) {
	case 0:
		return Timestamp{}
	case 1:
		s.BootID = ""
	case 2:
		s.Clock += 200 * recordedTime(rng)
	}
	return s
}

// recordedClocks folds the ageing of each kind and how lives follow one another.
func recordedClocks(d *golden.Digest, rng *rand.Rand) {
	for k := range categories {
		d.Add(1, k.String(), Weight(k, recordedTime(rng)*scheduler.Time(rng.IntN(1000))-sec))
	}
	life := LogHistory{}
	for range 6 {
		now, then := recordedStamp(rng), recordedStamp(rng)
		d.Add(2, now.Since(then))
		if life = life.Next(now); rng.IntN(2) == 0 {
			life = life.WithCompleteLog()
		}
		d.Add(3, life)
	}
}

func recordedMachine(rng *rand.Rand) scheduler.MachineID {
	return scheduler.MachineID(fmt.Sprint("m", rng.IntN(6)))
}

func recordedSent(rng *rand.Rand) SlowStartSends {
	s := SlowStartSends{Machine: recordedMachine(rng), Incarnation: uint64(rng.IntN(3))}
	at := 990*sec + recordedTime(rng)
	for range 1 + rng.IntN(6) {
		at += scheduler.Time(rng.IntN(2)) * scheduler.Time(rng.IntN(20_000))
		s.Times = append(s.Times, at)
	}
	return s
}

// recordedKept is what an earlier life left; the machines are those that its list names.
func recordedKept(rng *rand.Rand) (Persisted, map[scheduler.MachineID]MachineStart) {
	k := Persisted{TakenAt: recordedStamp(rng), ClassNames: []string{"w", "c"}, Incarnations: map[scheduler.MachineID]uint64{},
		History: LogHistory{SendsRecordedSince: recordedStamp(rng), Coverage: recovery.LogCoverage(rng.IntN(3))}}
	k.Snapshot.FullRatio, k.Snapshot.RejectedWeight = rng.Float64(), rng.Float64()
	k.Snapshot.TrafficClasses = []scheduler.TrafficClass{{LossRatio: rng.Float64(), SuspicionThreshold: rng.Float64()}, {LossRatio: rng.Float64(), SuspicionThreshold: rng.Float64()}}
	for i := range 6 {
		id := scheduler.MachineID(fmt.Sprint("m", i))
		k.Incarnations[id] = uint64(rng.IntN(2))
		k.Snapshot.Machines = append(k.Snapshot.Machines, scheduler.MachineSnapshot{Machine: id, StartedAt: recordedTime(rng), OutlierLogOdds: rng.Float64(),
			EjectedUntil: 1000 * recordedTime(rng), EjectionTime: recordedTime(rng), SelfDrainingUntil: recordedTime(rng),
			FailureEvidence: []scheduler.FailureEvidence{{LogOdds: rng.Float64(), AsOf: recordedTime(rng)}}, RecentSends: []scheduler.Time{recordedTime(rng)}})
	}
	sent := map[scheduler.MachineID]bool{}
	for range rng.IntN(5) {
		if s := recordedSent(rng); !sent[s.Machine] {
			sent[s.Machine], k.Sends = true, append(k.Sends, s)
		}
	}
	machines := map[scheduler.MachineID]MachineStart{}
	for range rng.IntN(12) {
		machines[recordedMachine(rng)] = MachineStart{uint64(rng.IntN(3)), recordedTime(rng)}
	}
	return k, machines
}

// recordedBelief folds what is believed, and what a ledger takes over of it; what is said is for logs alone.
func recordedBelief(d *golden.Digest, rng *rand.Rand) {
	k, machines := recordedKept(rng)
	names := []string{"w", "c"}[:2-rng.IntN(8)/7]
	now := recordedStamp(rng)
	b := Restore(now, k, machines, names, window)
	d.Add(1, b.Snapshot.SendsKnownSince, b.Snapshot.TrafficClasses, b.Snapshot.FullRatio, b.Snapshot.RejectedWeight, b.Snapshot.Machines, b.PendingSends)
	starts := map[scheduler.MachineID]uint64{}
	for id, m := range machines {
		starts[id] = m.Incarnation
	}
	l := NewSendLedger(recordedColdFor, window)
	l.Restore(b, starts)
	at := func(id scheduler.MachineID) (MachineStart, bool) {
		m, there := machines[id]
		return m, there
	}
	for range 3 {
		machines[recordedMachine(rng)] = MachineStart{uint64(rng.IntN(3)), now.Clock - recordedTime(rng)}
		found, left := l.ResolvePending(now.Clock, b.PendingSends, at)
		d.Add(2, found, left)
		b.PendingSends = left
		now.Clock += recordedTime(rng)
		d.Add(3, l.Expire(now.Clock, at))
	}
}

// recordedSends folds what a ledger has written down of sends to machines that start anew now and then. Quiet machines start
// anew only after two windows without a send, so that no send may have reached a start that had not been heard of.
func recordedSends(d *golden.Digest, rng *rand.Rand, quiet bool) {
	l, now := NewSendLedger(recordedColdFor, window), 1000*sec
	machines, last := map[scheduler.MachineID]MachineStart{}, map[scheduler.MachineID]scheduler.Time{}
	at := func(id scheduler.MachineID) (MachineStart, bool) {
		m, there := machines[id]
		return m, there
	}
	for range 300 {
		id := recordedMachine(rng)
		m, there := machines[id]
		switch n := rng.IntN(20); {
		case n < 13 && there:
			sent, cold := l.RecordSend(now, id, m)
			d.Add(1, now, cold, sent)
			last[id] = now
		case n < 16 && (!quiet || last[id] <= now-2*window):
			m.Incarnation++
			if m.StartedAt = now - scheduler.Time(rng.IntN(30_000)); rng.IntN(3) == 0 {
				m.StartedAt = 0
			}
			machines[id] = m
		case n < 17 && (!quiet || last[id] <= now-2*window):
			delete(machines, id)
		case n < 18:
			d.Add(2, l.Expire(now, at))
		default:
			now += scheduler.Time(rng.IntN(3)) * scheduler.Time(rng.IntN(2*int(sec)))
		}
	}
}

func TestResultsMatchRecordedDigests(t *testing.T) {
	var lines []string
	for i, group := range []struct {
		name string
		run  func(*golden.Digest, *rand.Rand)
	}{
		{"clocks", recordedClocks},
		{"belief", recordedBelief},
		{"sends, starts are heard of first", func(d *golden.Digest, rng *rand.Rand) { recordedSends(d, rng, true) }},
		{"sends, starts are heard of late", func(d *golden.Digest, rng *rand.Rand) { recordedSends(d, rng, false) }},
	} {
		d := golden.NewDigest()
		for seed := range uint64(1000) {
			group.run(d, rand.New(rand.NewPCG(seed, uint64(i))))
		}
		lines = append(lines, d.Line(group.name))
	}
	golden.Check(t, "testdata/digests.txt", lines)
}
