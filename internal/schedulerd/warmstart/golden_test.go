package warmstart

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

const recordedSlowStartPeriod = 17 * scheduler.Second

func recordedTime(rng *rand.Rand) scheduler.Time {
	return scheduler.Time(rng.IntN(4)) * scheduler.Time(rng.IntN(40)) * sec / 4
}

func recordedTimestamp(rng *rand.Rand) Timestamp {
	s := Timestamp{
		Clock:  1000*sec + recordedTime(rng),
		Uptime: 100*sec + recordedTime(rng),
		BootID: fmt.Sprint("b", rng.IntN(10)/6),
	}
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

// categoryNames are part of the recorded digests.
var categoryNames = [categories]string{"list", "health", "shunning", "losses", "room", "door"}

// recordedClocks folds the weights of each category and the log histories of successive incarnations into a digest.
func recordedClocks(d *golden.Digest, rng *rand.Rand) {
	for c := range categories {
		d.Add(1, categoryNames[c], Weight(c, recordedTime(rng)*scheduler.Time(rng.IntN(1000))-sec))
	}
	history := LogHistory{}
	for range 6 {
		now, earlier := recordedTimestamp(rng), recordedTimestamp(rng)
		d.Add(2, now.Since(earlier))
		if history = history.Next(now); rng.IntN(2) == 0 {
			history = history.WithCompleteLog()
		}
		d.Add(3, history)
	}
}

func recordedMachine(rng *rand.Rand) scheduler.MachineID {
	return scheduler.MachineID(fmt.Sprint("m", rng.IntN(6)))
}

func recordedSlowStartSends(rng *rand.Rand) SlowStartSends {
	s := SlowStartSends{Machine: recordedMachine(rng), Incarnation: uint64(rng.IntN(3))}
	at := 990*sec + recordedTime(rng)
	for range 1 + rng.IntN(6) {
		at += scheduler.Time(rng.IntN(2)) * scheduler.Time(rng.IntN(20_000))
		s.Times = append(s.Times, at)
	}
	return s
}

// recordedPersisted returns the state that an earlier incarnation left, and the machine list at the restart.
func recordedPersisted(rng *rand.Rand) (PersistedState, map[scheduler.MachineID]MachineStart) {
	p := PersistedState{
		TakenAt:      recordedTimestamp(rng),
		ClassNames:   []string{"w", "c"},
		Incarnations: map[scheduler.MachineID]uint64{},
	}
	p.History = LogHistory{SendsRecordedSince: recordedTimestamp(rng), Coverage: recovery.LogCoverage(rng.IntN(3))}
	p.Snapshot.FullRatio, p.Snapshot.RejectedWeight = rng.Float64(), rng.Float64()
	p.Snapshot.TrafficClasses = []scheduler.TrafficClass{
		{LossRatio: rng.Float64(), SuspicionThreshold: rng.Float64()},
		{LossRatio: rng.Float64(), SuspicionThreshold: rng.Float64()},
	}
	for i := range 6 {
		id := scheduler.MachineID(fmt.Sprint("m", i))
		p.Incarnations[id] = uint64(rng.IntN(2))
		p.Snapshot.Machines = append(p.Snapshot.Machines, recordedSnapshot(id, rng))
	}
	sent := map[scheduler.MachineID]bool{}
	for range rng.IntN(5) {
		if s := recordedSlowStartSends(rng); !sent[s.Machine] {
			sent[s.Machine], p.Sends = true, append(p.Sends, s)
		}
	}
	machines := map[scheduler.MachineID]MachineStart{}
	for range rng.IntN(12) {
		machines[recordedMachine(rng)] = MachineStart{uint64(rng.IntN(3)), recordedTime(rng)}
	}
	return p, machines
}

func recordedSnapshot(id scheduler.MachineID, rng *rand.Rand) scheduler.MachineSnapshot {
	return scheduler.MachineSnapshot{
		Machine:           id,
		StartedAt:         recordedTime(rng),
		OutlierLogOdds:    rng.Float64(),
		EjectedUntil:      1000 * recordedTime(rng),
		EjectionTime:      recordedTime(rng),
		SelfDrainingUntil: recordedTime(rng),
		FailureEvidence:   []scheduler.FailureEvidence{{LogOdds: rng.Float64(), AsOf: recordedTime(rng)}},
		RecentSends:       []scheduler.Time{recordedTime(rng)},
	}
}

func lookupIn(machines map[scheduler.MachineID]MachineStart) MachineLookup {
	return func(id scheduler.MachineID) (MachineStart, bool) {
		start, listed := machines[id]
		return start, listed
	}
}

// recordedRestore folds the restored state and the results of a ledger that starts with it into a digest. The messages
// are left out, because they are only logged.
func recordedRestore(d *golden.Digest, rng *rand.Rand) {
	p, machines := recordedPersisted(rng)
	classNames := []string{"w", "c"}[:2-rng.IntN(8)/7]
	now := recordedTimestamp(rng)
	r := Restore(now, p, machines, classNames, window)
	s := r.Snapshot
	d.Add(1, s.SendsKnownSince, s.TrafficClasses, s.FullRatio, s.RejectedWeight, s.Machines, r.PendingSends)
	incarnations := map[scheduler.MachineID]uint64{}
	for id, start := range machines {
		incarnations[id] = start.Incarnation
	}
	ledger := NewSendLedger(recordedSlowStartPeriod, window)
	ledger.Restore(r, incarnations)
	pending := r.PendingSends
	for range 3 {
		machines[recordedMachine(rng)] = MachineStart{uint64(rng.IntN(3)), now.Clock - recordedTime(rng)}
		resolved, left := ledger.ResolvePending(now.Clock, pending, lookupIn(machines))
		d.Add(2, resolved, left)
		pending = left
		now.Clock += recordedTime(rng)
		d.Add(3, ledger.Expire(now.Clock, lookupIn(machines)))
	}
}

// recordedSends folds the records of a ledger, for sends to machines that sometimes restart, into a digest. Quiet
// machines restart only after two windows without a send, so that no send can have reached a start before it was
// observed.
func recordedSends(d *golden.Digest, rng *rand.Rand, quiet bool) {
	ledger, now := NewSendLedger(recordedSlowStartPeriod, window), 1000*sec
	machines, lastSend := map[scheduler.MachineID]MachineStart{}, map[scheduler.MachineID]scheduler.Time{}
	for range 300 {
		id := recordedMachine(rng)
		start, listed := machines[id]
		switch n := rng.IntN(20); {
		case n < 13 && listed:
			sends, record := ledger.RecordSend(now, id, start)
			d.Add(1, now, record, sends)
			lastSend[id] = now
		case n < 16 && (!quiet || lastSend[id] <= now-2*window):
			start.Incarnation++
			if start.StartedAt = now - scheduler.Time(rng.IntN(30_000)); rng.IntN(3) == 0 {
				start.StartedAt = 0
			}
			machines[id] = start
		case n < 17 && (!quiet || lastSend[id] <= now-2*window):
			delete(machines, id)
		case n < 18:
			d.Add(2, ledger.Expire(now, lookupIn(machines)))
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
		{"belief", recordedRestore},
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
