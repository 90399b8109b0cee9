package warmstart

import (
	"log/slog"
	"math"
	"slices"
	"strings"

	"glenport/scheduler"
)

// Persisted is what earlier incarnations left on disk.
type Persisted struct {
	TakenAt      Timestamp // of the snapshot; zero where there is none
	Snapshot     scheduler.Snapshot
	Incarnations map[scheduler.MachineID]uint64 // of the machines, as of the snapshot
	ClassNames   []string                       // of the workload classes and tenants, in the order of the snapshot

	History LogHistory
	Sends   []SlowStartSends // all of them since History.SendsRecordedSince, if the system has not restarted
}

// MachineStart is a start of a machine of the machine list.
type MachineStart struct {
	Incarnation uint64
	StartedAt   scheduler.Time // by the clock of this incarnation of the scheduler; 0: long ago
}

// Restored is what is taken over.
type Restored struct {
	Snapshot     scheduler.Snapshot
	PendingSends []SlowStartSends // to starts of machines that the machine list does not name yet
	Messages     []Message
}

// Restore weighs what was persisted. Window is that of the slow-start budget; classNames are those of the present
// configuration.
func Restore(now Timestamp, p Persisted, machines map[scheduler.MachineID]MachineStart, classNames []string,
	window scheduler.Time,
) Restored {
	r := Restored{Snapshot: scheduler.Snapshot{SendsKnownSince: now.Clock}}
	sameClasses := slices.Equal(classNames, p.ClassNames)
	if !sameClasses {
		p.Snapshot = withoutClasses(p.Snapshot)
	}
	if p.TakenAt != (Timestamp{}) {
		r.restoreSnapshot(now, p, machines)
		if !sameClasses {
			r.message("workload classes or tenants have changed, their loss ratios are not restored")
		}
	}
	r.restoreSends(now, p, machines, window)
	return r
}

func (r *Restored) message(text string, attrs ...slog.Attr) {
	r.Messages = append(r.Messages, Message{Text: text, Attributes: attrs})
}

func millis(key string, t scheduler.Time) slog.Attr {
	return slog.Int64(key, int64(t/scheduler.Millisecond))
}

func weightAttr(key string, weight float64) slog.Attr {
	return slog.Float64(key, math.Round(weight*100)/100)
}

// withoutClasses leaves out what was learned of workload classes or tenants that are no longer the configured ones.
func withoutClasses(s scheduler.Snapshot) scheduler.Snapshot {
	s.TrafficClasses, s.FullRatio, s.RejectedWeight = nil, 0, 0
	s.Machines = slices.Clone(s.Machines)
	for i := range s.Machines {
		s.Machines[i].FailureEvidence = nil
	}
	return s
}

// restoreSnapshot scales what was learned by its age.
func (r *Restored) restoreSnapshot(now Timestamp, p Persisted, machines map[scheduler.MachineID]MachineStart) {
	elapsed := now.Since(p.TakenAt)
	if elapsed.Age < 0 {
		r.message("the clock went back over a restart of the system, the snapshot is not restored",
			millis("back_ms", p.TakenAt.Clock-now.Clock))
		return
	}
	if elapsed.ClockJump != 0 {
		r.message("the clock was set since the snapshot, its times are adjusted", millis("jump_ms", elapsed.ClockJump))
	}
	r.restoreRatios(elapsed, p.Snapshot)
	r.restoreMachines(elapsed, p, machines)
	r.message("snapshot restored", millis("age_ms", elapsed.Age),
		weightAttr("outlier_weight", Weight(Outliers, elapsed.Age)),
		weightAttr("full_weight", Weight(FullRatio, elapsed.Age)))
}

func (r *Restored) restoreRatios(elapsed Elapsed, s scheduler.Snapshot) {
	lossWeight, fullWeight := Weight(LossRatios, elapsed.Age), Weight(FullRatio, elapsed.Age)
	for _, class := range s.TrafficClasses {
		class.LossRatio *= lossWeight
		r.Snapshot.TrafficClasses = append(r.Snapshot.TrafficClasses, class)
	}
	r.Snapshot.FullRatio = s.FullRatio * fullWeight
	r.Snapshot.RejectedWeight = s.RejectedWeight * fullWeight
}

// restoreMachines takes over evidence against machines that have not restarted since.
func (r *Restored) restoreMachines(elapsed Elapsed, p Persisted, machines map[scheduler.MachineID]MachineStart) {
	weight := Weight(Outliers, elapsed.Age)
	if weight == 0 {
		return
	}
	evidenceCounts := Weight(FailureEvidence, elapsed.Age) > 0
	for _, machine := range p.Snapshot.Machines {
		start, listed := machines[machine.Machine]
		if !listed || start.Incarnation != p.Incarnations[machine.Machine] {
			continue
		}
		machine.StartedAt, machine.RecentSends = start.StartedAt, nil
		machine.OutlierLogOdds *= weight
		machine.EjectedUntil = elapsed.adjust(machine.EjectedUntil)
		machine.SelfDrainingUntil = elapsed.adjust(machine.SelfDrainingUntil)
		if evidenceCounts {
			machine.FailureEvidence = elapsed.adjustEvidence(machine.FailureEvidence)
		} else {
			machine.FailureEvidence = nil
		}
		r.Snapshot.Machines = append(r.Snapshot.Machines, machine)
	}
}

// adjust converts a time of the earlier incarnation to the clock of this one; 0 means no time.
func (e Elapsed) adjust(t scheduler.Time) scheduler.Time {
	if t == 0 {
		return 0
	}
	return t + e.ClockJump
}

// adjustEvidence keeps the log odds as they were: the scheduler lets them decay from their time on.
func (e Elapsed) adjustEvidence(evidence []scheduler.FailureEvidence) []scheduler.FailureEvidence {
	var adjusted []scheduler.FailureEvidence
	for _, one := range evidence {
		one.AsOf = e.adjust(one.AsOf)
		adjusted = append(adjusted, one)
	}
	return adjusted
}

// restoreSends takes over what was sent to machines in slow start. Each send is written to the log first, which a
// process that dies cannot undo but a system that dies can: after a restart of the system, as after a first start, the
// scheduler sends nothing to such machines for a window. Two windows of sends are taken over.
func (r *Restored) restoreSends(
	now Timestamp,
	p Persisted,
	machines map[scheduler.MachineID]MachineStart,
	window scheduler.Time,
) {
	elapsed := now.Since(p.History.SendsRecordedSince)
	if p.History.SendsRecordedSince == (Timestamp{}) || !elapsed.SameBoot {
		r.message("sends to machines in slow start are not known, none are made for a window",
			millis("window_ms", window))
		return
	}
	r.Snapshot.SendsKnownSince = now.Clock - elapsed.Age
	slices.SortFunc(
		p.Sends,
		func(a, b SlowStartSends) int { return strings.Compare(string(a.Machine), string(b.Machine)) },
	)
	restored, index := 0, r.machineIndex()
	for _, sends := range p.Sends {
		sends.Times = elapsed.recentTimes(sends.Times, now.Clock, 2*window)
		start, listed := machines[sends.Machine]
		switch {
		case len(sends.Times) == 0:
		case !listed || start.Incarnation != sends.Incarnation:
			r.PendingSends = append(r.PendingSends, sends)
		default:
			r.restoreRecentSends(index, sends, start)
			restored += len(sends.Times)
		}
	}
	r.message("sends to machines in slow start restored", slog.Int("sends", restored), millis("within_ms", 2*window))
}

// recentTimes adjusts times to this incarnation's clock and drops those before the span. None is left in the future.
func (e Elapsed) recentTimes(times []scheduler.Time, now, span scheduler.Time) []scheduler.Time {
	var recent []scheduler.Time
	for _, t := range times {
		if t += e.ClockJump; t > now-span {
			recent = append(recent, min(t, now))
		}
	}
	return recent
}

func (r *Restored) machineIndex() map[scheduler.MachineID]int {
	index := map[scheduler.MachineID]int{}
	for i, machine := range r.Snapshot.Machines {
		index[machine.Machine] = i
	}
	return index
}

// restoreRecentSends puts sends into the entry of their machine, which it adds where there is none.
func (r *Restored) restoreRecentSends(index map[scheduler.MachineID]int, sends SlowStartSends, start MachineStart) {
	i, known := index[sends.Machine]
	if !known {
		i = len(r.Snapshot.Machines)
		r.Snapshot.Machines = append(
			r.Snapshot.Machines,
			scheduler.MachineSnapshot{Machine: sends.Machine, StartedAt: start.StartedAt},
		)
	}
	r.Snapshot.Machines[i].RecentSends = sends.Times
}
