package warmstart

import (
	"log/slog"
	"math"
	"slices"
	"strings"

	"glenport/scheduler"
)

// PersistedState is the state that earlier incarnations left on disk.
type PersistedState struct {
	TakenAt      Timestamp // time of the snapshot; zero if there is none
	Snapshot     scheduler.Snapshot
	Incarnations map[scheduler.MachineID]uint64 // incarnations of the machines at the time of the snapshot
	ClassNames   []string                       // names of workload classes and tenants, in the order of the snapshot

	History LogHistory
	Sends   []SlowStartSends // complete since History.SendsRecordedSince if the system has not restarted
}

// MachineStart describes the latest start of a machine, according to the machine list.
type MachineStart struct {
	Incarnation uint64
	StartedAt   scheduler.Time // by the clock of this incarnation of the scheduler; 0: long ago
}

// RestoredState is the state that the new incarnation starts with.
type RestoredState struct {
	Snapshot     scheduler.Snapshot
	PendingSends []SlowStartSends // sends to machine starts that the machine list does not name yet
	Messages     []Message
}

// Restore weights the persisted state by its age. It takes the workload classes and tenants of the present
// configuration as classNames, and the window of the slow-start budget.
func Restore(now Timestamp, p PersistedState, machines map[scheduler.MachineID]MachineStart, classNames []string,
	window scheduler.Time,
) RestoredState {
	r := RestoredState{Snapshot: scheduler.Snapshot{SendsKnownSince: now.Clock}}
	sameClasses := slices.Equal(classNames, p.ClassNames)
	if !sameClasses {
		p.Snapshot = withoutClasses(p.Snapshot)
	}
	if p.TakenAt != (Timestamp{}) {
		r.restoreSnapshot(now, p, machines)
		if !sameClasses {
			r.message("workload classes or tenants have changed; loss ratios not restored")
		}
	}
	r.restoreSends(now, p, machines, window)
	return r
}

func (r *RestoredState) message(text string, attrs ...slog.Attr) {
	r.Messages = append(r.Messages, Message{Text: text, Attributes: attrs})
}

func millis(key string, t scheduler.Time) slog.Attr {
	return slog.Int64(key, int64(t/scheduler.Millisecond))
}

func weightAttr(key string, weight float64) slog.Attr {
	return slog.Float64(key, math.Round(weight*100)/100)
}

// withoutClasses removes the state that was learned by workload class and tenant.
func withoutClasses(s scheduler.Snapshot) scheduler.Snapshot {
	s.TrafficClasses, s.FullRatio, s.RejectedWeight = nil, 0, 0
	s.Machines = slices.Clone(s.Machines)
	for i := range s.Machines {
		s.Machines[i].FailureEvidence = nil
	}
	return s
}

// restoreSnapshot restores the learned state, weighted by its age.
func (r *RestoredState) restoreSnapshot(
	now Timestamp,
	p PersistedState,
	machines map[scheduler.MachineID]MachineStart,
) {
	elapsed := now.Since(p.TakenAt)
	if elapsed.Age < 0 {
		r.message("wall clock went back during a restart of the system; snapshot not restored",
			millis("back_ms", p.TakenAt.Clock-now.Clock))
		return
	}
	if elapsed.ClockJump != 0 {
		r.message("wall clock was set since the snapshot; times of the snapshot adjusted",
			millis("jump_ms", elapsed.ClockJump))
	}
	r.restoreRatios(elapsed, p.Snapshot)
	r.restoreMachines(elapsed, p, machines)
	r.message("snapshot restored", millis("age_ms", elapsed.Age),
		weightAttr("outlier_weight", Weight(Outliers, elapsed.Age)),
		weightAttr("full_weight", Weight(FullRatio, elapsed.Age)))
}

func (r *RestoredState) restoreRatios(elapsed Elapsed, s scheduler.Snapshot) {
	lossWeight, fullWeight := Weight(LossRatios, elapsed.Age), Weight(FullRatio, elapsed.Age)
	for _, class := range s.TrafficClasses {
		class.LossRatio *= lossWeight
		r.Snapshot.TrafficClasses = append(r.Snapshot.TrafficClasses, class)
	}
	r.Snapshot.FullRatio = s.FullRatio * fullWeight
	r.Snapshot.RejectedWeight = s.RejectedWeight * fullWeight
}

// restoreMachines restores the evidence against machines that have not restarted since the snapshot.
func (r *RestoredState) restoreMachines(
	elapsed Elapsed,
	p PersistedState,
	machines map[scheduler.MachineID]MachineStart,
) {
	weight := Weight(Outliers, elapsed.Age)
	if weight == 0 {
		return
	}
	keepEvidence := Weight(FailureEvidence, elapsed.Age) > 0
	for _, machine := range p.Snapshot.Machines {
		start, listed := machines[machine.Machine]
		if !listed || start.Incarnation != p.Incarnations[machine.Machine] {
			continue
		}
		machine.StartedAt, machine.RecentSends = start.StartedAt, nil
		machine.OutlierLogOdds *= weight
		machine.EjectedUntil = elapsed.adjust(machine.EjectedUntil)
		machine.SelfDrainingUntil = elapsed.adjust(machine.SelfDrainingUntil)
		if keepEvidence {
			machine.FailureEvidence = elapsed.adjustEvidence(machine.FailureEvidence)
		} else {
			machine.FailureEvidence = nil
		}
		r.Snapshot.Machines = append(r.Snapshot.Machines, machine)
	}
}

// adjust converts a time of the earlier incarnation to the clock of this incarnation. The time 0 stands for no time.
func (e Elapsed) adjust(t scheduler.Time) scheduler.Time {
	if t == 0 {
		return 0
	}
	return t + e.ClockJump
}

// adjustEvidence converts the times of failure evidence. The log odds are unchanged, because the scheduler lets them
// decay from their time on.
func (e Elapsed) adjustEvidence(evidence []scheduler.FailureEvidence) []scheduler.FailureEvidence {
	var adjusted []scheduler.FailureEvidence
	for _, item := range evidence {
		item.AsOf = e.adjust(item.AsOf)
		adjusted = append(adjusted, item)
	}
	return adjusted
}

// restoreSends restores the sends to machines in slow start, for the last two windows. Each send is written to the log
// before it is made. The record survives the death of the process, but may not survive a crash of the system. After a
// restart of the system, as after a first start, the scheduler therefore sends nothing to such machines for one window.
func (r *RestoredState) restoreSends(
	now Timestamp,
	p PersistedState,
	machines map[scheduler.MachineID]MachineStart,
	window scheduler.Time,
) {
	elapsed := now.Since(p.History.SendsRecordedSince)
	if p.History.SendsRecordedSince == (Timestamp{}) || !elapsed.SameBoot {
		r.message("earlier sends to machines in slow start unknown; no sends to such machines for one window",
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

// recentTimes converts times to the clock of this incarnation, and drops times that are not within the span before now.
// A future time becomes now.
func (e Elapsed) recentTimes(times []scheduler.Time, now, span scheduler.Time) []scheduler.Time {
	var recent []scheduler.Time
	for _, t := range times {
		if t += e.ClockJump; t > now-span {
			recent = append(recent, min(t, now))
		}
	}
	return recent
}

func (r *RestoredState) machineIndex() map[scheduler.MachineID]int {
	index := map[scheduler.MachineID]int{}
	for i, machine := range r.Snapshot.Machines {
		index[machine.Machine] = i
	}
	return index
}

// restoreRecentSends adds sends to the snapshot entry of their machine, and creates the entry if there is none.
func (r *RestoredState) restoreRecentSends(
	index map[scheduler.MachineID]int,
	sends SlowStartSends,
	start MachineStart,
) {
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
