// Package warmstart decides what a placer that comes up believes of what an earlier life of it knew: each kind of
// knowledge counts for less with its age and for nothing beyond a bound, and what was sent to cold machines counts
// only where it is known that nothing is missing. It is pure.
package warmstart

import (
	"fmt"
	"math"
	"sort"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

const (
	minute = 60 * scheduler.Second
	hour   = 60 * minute
)

// Category is one of knowledge.
type Category uint8

const (
	MachineList      Category = iota // the machines as last heard
	Outliers                         // evidence that a machine is sick
	FailureEvidence                  // evidence that one shuns a workload or customer
	LossRatios                       // what workloads and customers lose
	FullRatio                        // how often no room is found
	ConcurrencyLimit                 // how narrow the door is
	categories
)

func (k Category) String() string {
	return [...]string{"list", "health", "shunning", "losses", "room", "door"}[k]
}

// Tuned values: knowledge of a kind counts for half as much after its half-life, and not at all from the bound on. A
// fleet's fullness changes in seconds and a sick machine is mended in minutes, while programs start tomorrow as
// they do today. Harm where they are wrong: a machine mended meanwhile is a last resort for one probe more.
var decay = [categories]struct{ half, bound scheduler.Time }{
	MachineList:      {24 * hour, 24 * hour},
	Outliers:         {minute, 10 * minute},
	FailureEvidence:  {20 * scheduler.Second, 2 * minute},
	LossRatios:       {minute, 10 * minute},
	FullRatio:        {5 * scheduler.Second, minute},
	ConcurrencyLimit: {5 * scheduler.Second, minute},
}

// minClockJump is a difference between two clocks that slewing does not explain.
const minClockJump = scheduler.Second

// Weight is what knowledge of a kind counts for at an age, from 1 to 0.
func Weight(k Category, age scheduler.Time) float64 {
	if age < 0 || age >= decay[k].bound {
		return 0
	}
	return math.Exp2(-float64(age) / float64(decay[k].half))
}

// Timestamp is a moment by two clocks: the one that people set, and the time since the system came up, which nobody
// does. Boot tells one running of the system from another.
type Timestamp struct {
	Clock  scheduler.Time `cbor:"Clock" json:"Clock"`
	Uptime scheduler.Time `cbor:"Up" json:"Up"`
	BootID string         `cbor:"Boot" json:"Boot"`
}

// Elapsed is what is known of the span between two stamps, the earlier one of another life.
type Elapsed struct {
	Age       scheduler.Time // -1: not known, as the clock went back while the system was down
	ClockJump scheduler.Time // what the clock was set by, meanwhile; times of the earlier life are off by it
	SameBoot  bool           // the system has run on
}

// Since reckons the span from an earlier stamp. While the system runs on, the clock's jumps are seen and taken
// out. Over a restart of the system only a clock that went back is.
func (now Timestamp) Since(then Timestamp) Elapsed {
	if then.BootID == now.BootID && then.BootID != "" && now.Uptime >= then.Uptime {
		s := Elapsed{Age: now.Uptime - then.Uptime, SameBoot: true}
		if jump := now.Clock - then.Clock - s.Age; jump >= minClockJump || jump <= -minClockJump {
			s.ClockJump = jump
		}
		return s
	}
	if now.Clock < then.Clock {
		return Elapsed{Age: -1}
	}
	return Elapsed{Age: now.Clock - then.Clock}
}

// SlowStartSends is when bids went to one start of a machine while it was cold.
type SlowStartSends struct {
	Machine     scheduler.MachineID `cbor:"Machine"`
	Incarnation uint64              `cbor:"Start"` // which start of it
	Times       []scheduler.Time    `cbor:"Times"`
}

// Persisted is what an earlier life left.
type Persisted struct {
	TakenAt      Timestamp
	Snapshot     scheduler.Snapshot
	Incarnations map[scheduler.MachineID]uint64 // which start of each machine it knew
	ClassNames   []string                       // of workloads and customers, in the order of its terms

	History LogHistory
	Sends   []SlowStartSends // all that was sent since the life began, if the system has run on
}

// LogHistory is what a placer writes down when it comes up.
type LogHistory struct {
	SendsRecordedSince Timestamp            `cbor:"Whole"` // from then on every life has written down what it sent; zero: none did
	Coverage           recovery.LogCoverage `cbor:"Log"`   // how much is known of the bids of lives before it
}

// Next tells what a life that begins writes down and goes by. Over a restart of the system what was written and not
// synced may be lost, and what was not known before is no better known by another start: it stays so until every
// machine told.
func (l LogHistory) Next(now Timestamp) LogHistory {
	since := now.Since(l.SendsRecordedSince)
	switch {
	case l.SendsRecordedSince == Timestamp{}:
		return LogHistory{SendsRecordedSince: now}
	case !since.SameBoot:
		return LogHistory{SendsRecordedSince: now, Coverage: min(l.Coverage, recovery.LogSynced)}
	}
	return LogHistory{SendsRecordedSince: Timestamp{now.Clock - since.Age, now.Uptime - since.Age, now.BootID}, Coverage: l.Coverage}
}

// WithCompleteLog is the life once every machine told what it holds.
func (l LogHistory) WithCompleteLog() LogHistory {
	l.Coverage = recovery.LogComplete
	return l
}

// MachineStart is one of the list as last heard, as it stands in this life.
type MachineStart struct {
	Incarnation uint64
	StartedAt   scheduler.Time // by this life's clock
}

// Restored is what is taken over.
type Restored struct {
	Snapshot     scheduler.Snapshot
	PendingSends []SlowStartSends // to starts of machines that no list has told yet, by this life's clock
	Messages     []string         // one line each, with figures
}

// Restore weighs what was kept. Window is that of cold machines; names are those of this life's terms.
func Restore(now Timestamp, k Persisted, machines map[scheduler.MachineID]MachineStart, names []string, window scheduler.Time) Restored {
	b := Restored{Snapshot: scheduler.Snapshot{SendsKnownSince: now.Clock}}
	since := now.Since(k.TakenAt)
	fits := len(names) == len(k.ClassNames)
	for i := range names {
		fits = fits && names[i] == k.ClassNames[i]
	}
	switch {
	case k.TakenAt == Timestamp{}:
	case since.Age < 0:
		b.logf("the clock went back by %d ms over a restart of the system: health not believed",
			(k.TakenAt.Clock-now.Clock)/scheduler.Millisecond)
	default:
		if since.ClockJump != 0 {
			b.logf("the clock was set by %+d ms: taken into account", since.ClockJump/scheduler.Millisecond)
		}
		b.restoreSnapshot(since, k, machines, fits)
		b.logf("knowledge %d ms old: health counts %.2f, room %.2f", since.Age/scheduler.Millisecond, Weight(Outliers, since.Age),
			Weight(FullRatio, since.Age))
	}
	if !fits && k.TakenAt != (Timestamp{}) {
		b.logf("workloads or customers are others than before: losses not believed")
	}
	b.restoreSends(now, k, machines, window)
	return b
}

func (b *Restored) logf(format string, a ...any) {
	b.Messages = append(b.Messages, fmt.Sprintf(format, a...))
}

// restoreSnapshot scales evidence by its age. Times of the earlier life are told by this life's clock.
func (b *Restored) restoreSnapshot(since Elapsed, k Persisted, machines map[scheduler.MachineID]MachineStart, fits bool) {
	weight := func(kind Category) float64 { return Weight(kind, since.Age) }
	if fits {
		for _, t := range k.Snapshot.TrafficClasses {
			b.Snapshot.TrafficClasses = append(b.Snapshot.TrafficClasses, scheduler.TrafficClass{LossRatio: t.LossRatio * weight(LossRatios), SuspicionThreshold: t.SuspicionThreshold})
		}
		b.Snapshot.FullRatio, b.Snapshot.RejectedWeight = k.Snapshot.FullRatio*weight(FullRatio), k.Snapshot.RejectedWeight*weight(FullRatio)
	}
	if weight(Outliers) == 0 {
		return
	}
	for _, l := range k.Snapshot.Machines {
		m, there := machines[l.Machine]
		if !there || m.Incarnation != k.Incarnations[l.Machine] {
			continue // it is gone, or was restarted: the evidence was of another
		}
		l.StartedAt, l.RecentSends = m.StartedAt, nil
		l.OutlierLogOdds *= weight(Outliers)
		shift := func(t scheduler.Time) scheduler.Time {
			if t == 0 {
				return 0
			}
			return t + since.ClockJump
		}
		l.EjectedUntil, l.SelfDrainingUntil = shift(l.EjectedUntil), shift(l.SelfDrainingUntil)
		doubts := l.FailureEvidence
		l.FailureEvidence = nil
		if fits && weight(FailureEvidence) > 0 {
			for _, d := range doubts { // they fade by themselves from their time on
				l.FailureEvidence = append(l.FailureEvidence, scheduler.FailureEvidence{LogOdds: d.LogOdds, AsOf: shift(d.AsOf)})
			}
		}
		b.Snapshot.Machines = append(b.Snapshot.Machines, l)
	}
}

// restoreSends takes over what went to cold machines. It is written down before each of them is sent, which a dying process
// cannot undo but a dying system can: after one nothing is sent to them for a window, as after a first start. The
// rules' window is what is kept; what the clock did meanwhile is known, as the system has run on.
func (b *Restored) restoreSends(now Timestamp, k Persisted, machines map[scheduler.MachineID]MachineStart, window scheduler.Time) {
	since := now.Since(k.History.SendsRecordedSince)
	if k.History.SendsRecordedSince == (Timestamp{}) || !since.SameBoot {
		b.logf("what was sent to cold machines is not known: they get nothing for %d ms", window/scheduler.Millisecond)
		return
	}
	b.Snapshot.SendsKnownSince = now.Clock - since.Age
	at := map[scheduler.MachineID]int{}
	for i, l := range b.Snapshot.Machines {
		at[l.Machine] = i
	}
	counted := 0
	sort.Slice(k.Sends, func(i, j int) bool { return k.Sends[i].Machine < k.Sends[j].Machine })
	for _, s := range k.Sends {
		var times []scheduler.Time
		for _, t := range s.Times {
			if t += since.ClockJump; t > now.Clock-2*window {
				times = append(times, min(t, now.Clock))
			}
		}
		if len(times) == 0 {
			continue
		}
		m, there := machines[s.Machine]
		if !there || m.Incarnation != s.Incarnation {
			b.PendingSends = append(b.PendingSends, SlowStartSends{s.Machine, s.Incarnation, times})
			continue
		}
		i, known := at[s.Machine]
		if !known {
			i = len(b.Snapshot.Machines)
			b.Snapshot.Machines = append(b.Snapshot.Machines, scheduler.MachineSnapshot{Machine: s.Machine, StartedAt: m.StartedAt})
		}
		b.Snapshot.Machines[i].RecentSends = times
		counted += len(times)
	}
	b.logf("%d bids to cold machines in the last %d ms are known: they get what is left", counted, 2*window/scheduler.Millisecond)
}

// ResolvePending takes up what was sent to starts that a list tells of only now: the list of old may be older than they are.
// What is left waits on; what a window has passed over is dropped.
func (l *SendLedger) ResolvePending(now scheduler.Time, later []SlowStartSends, machines func(scheduler.MachineID) (MachineStart, bool)) (found []scheduler.MachineSnapshot, left []SlowStartSends) {
	for _, s := range later {
		m, there := machines(s.Machine)
		switch {
		case s.Times[len(s.Times)-1] <= now-2*l.window:
		case !there || m.Incarnation != s.Incarnation:
			left = append(left, s)
		default:
			if old := l.recorded[s.Machine]; old != nil && old.Incarnation != s.Incarnation {
				l.unrecorded[s.Machine] = append(old.Times, l.unrecorded[s.Machine]...)
			}
			l.recorded[s.Machine] = &SlowStartSends{s.Machine, s.Incarnation, append([]scheduler.Time(nil), s.Times...)}
			found = append(found, scheduler.MachineSnapshot{Machine: s.Machine, StartedAt: m.StartedAt, RecentSends: s.Times})
		}
	}
	return found, left
}

// transitDivisor is the part of a window that a send may be on its way: what was sent so long before a start may have reached it.
const transitDivisor = 8

// SendLedger follows what is sent to machines, to be written down while they are cold. What goes to a warm machine is only
// remembered, for two windows: a start that has not been heard of may turn it cold, and then all that may have reached it
// is written down. A machine leaves the record once it is warm or gone.
type SendLedger struct {
	slowStartPeriod, window scheduler.Time
	recorded                map[scheduler.MachineID]*SlowStartSends  // on record
	unrecorded              map[scheduler.MachineID][]scheduler.Time // only remembered; later than what is on record
}

func NewSendLedger(coldFor, window scheduler.Time) *SendLedger {
	return &SendLedger{slowStartPeriod: coldFor, window: window, recorded: map[scheduler.MachineID]*SlowStartSends{}, unrecorded: map[scheduler.MachineID][]scheduler.Time{}}
}

func (l *SendLedger) inSlowStart(now scheduler.Time, m MachineStart) bool {
	return m.StartedAt != 0 && now < m.StartedAt+l.slowStartPeriod
}

// recent are the times of the last two windows.
func (l *SendLedger) recent(now scheduler.Time, times []scheduler.Time) []scheduler.Time {
	return laterThan(now-2*l.window, times)
}

func laterThan(from scheduler.Time, times []scheduler.Time) []scheduler.Time {
	for len(times) > 0 && times[0] <= from {
		times = times[1:]
	}
	return times
}

// sendsReaching gives all that may have reached a machine's start, and forgets what went to earlier ones.
func (l *SendLedger) sendsReaching(now scheduler.Time, id scheduler.MachineID, m MachineStart) *SlowStartSends {
	before := m.StartedAt - l.window/transitDivisor - 1
	s := l.recorded[id]
	if s == nil {
		s = &SlowStartSends{Machine: id, Incarnation: m.Incarnation}
	} else if s.Incarnation != m.Incarnation {
		s = &SlowStartSends{id, m.Incarnation, laterThan(before, s.Times)}
	}
	s.Times = l.recent(now, append(s.Times, laterThan(before, l.unrecorded[id])...))
	delete(l.unrecorded, id)
	return s
}

// RecordSend counts one bid or probe that is about to go to a machine. It returns what is to be written down before,
// and whether anything is.
func (l *SendLedger) RecordSend(now scheduler.Time, id scheduler.MachineID, m MachineStart) (SlowStartSends, bool) {
	if !l.inSlowStart(now, m) {
		l.unrecorded[id] = append(l.recent(now, l.unrecorded[id]), now)
		return SlowStartSends{}, false
	}
	s := l.sendsReaching(now, id, m)
	s.Times = append(s.Times, now)
	l.recorded[id] = s
	return *s, true
}

// IncarnationObserved tells of a start just heard of. It returns what is to be written down, as it may have reached that start before, and
// whether anything is.
func (l *SendLedger) IncarnationObserved(now scheduler.Time, id scheduler.MachineID, m MachineStart) (SlowStartSends, bool) {
	if s := l.recorded[id]; !l.inSlowStart(now, m) || s != nil && s.Incarnation == m.Incarnation && len(l.unrecorded[id]) == 0 {
		return SlowStartSends{}, false
	}
	s := l.sendsReaching(now, id, m)
	if len(s.Times) == 0 {
		return SlowStartSends{}, false
	}
	l.recorded[id] = s
	return *s, true
}

// Restore puts what an earlier life sent into the ledger.
func (l *SendLedger) Restore(b Restored, starts map[scheduler.MachineID]uint64) {
	for _, m := range b.Snapshot.Machines {
		if len(m.RecentSends) > 0 {
			l.recorded[m.Machine] = &SlowStartSends{m.Machine, starts[m.Machine], append([]scheduler.Time(nil), m.RecentSends...)}
		}
	}
}

// Expire lets go of the records of machines that are warm or gone and returns these machines, in order. What may still reach
// a start not heard of stays remembered.
func (l *SendLedger) Expire(now scheduler.Time, machines func(scheduler.MachineID) (MachineStart, bool)) []scheduler.MachineID {
	var out []scheduler.MachineID
	for id, s := range l.recorded {
		m, there := machines(id)
		if !there && s.Times[len(s.Times)-1] > now-2*l.window {
			continue // it may come back with the same start
		}
		if !there || m.Incarnation != s.Incarnation || !l.inSlowStart(now, m) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	for _, id := range out {
		l.unrecorded[id] = append(l.recorded[id].Times, l.unrecorded[id]...)
		delete(l.recorded, id)
	}
	for id, times := range l.unrecorded {
		if l.unrecorded[id] = l.recent(now, times); len(l.unrecorded[id]) == 0 {
			delete(l.unrecorded, id)
		}
	}
	return out
}
