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

// Kind is one of knowledge.
type Kind uint8

const (
	List   Kind = iota // the machines as last heard
	Health             // evidence that a machine is sick
	Shuns              // evidence that one shuns a workload or customer
	Traits             // what workloads and customers lose
	Room               // how often no room is found
	Door               // how narrow the door is
	kinds
)

func (k Kind) String() string {
	return [...]string{"list", "health", "shunning", "losses", "room", "door"}[k]
}

// Tuned values: knowledge of a kind counts for half as much after its half-life, and not at all from the bound on. A
// fleet's fullness changes in seconds and a sick machine is mended in minutes, while programs start tomorrow as
// they do today. Harm where they are wrong: a machine mended meanwhile is a last resort for one probe more.
var ageing = [kinds]struct{ half, bound scheduler.Time }{
	List:   {24 * hour, 24 * hour},
	Health: {minute, 10 * minute},
	Shuns:  {20 * scheduler.Second, 2 * minute},
	Traits: {minute, 10 * minute},
	Room:   {5 * scheduler.Second, minute},
	Door:   {5 * scheduler.Second, minute},
}

// jumpFrom is a difference between two clocks that slewing does not explain.
const jumpFrom = scheduler.Second

// Weight is what knowledge of a kind counts for at an age, from 1 to 0.
func Weight(k Kind, age scheduler.Time) float64 {
	if age < 0 || age >= ageing[k].bound {
		return 0
	}
	return math.Exp2(-float64(age) / float64(ageing[k].half))
}

// Stamp is a moment by two clocks: the one that people set, and the time since the system came up, which nobody
// does. Boot tells one running of the system from another.
type Stamp struct {
	Clock scheduler.Time `cbor:"Clock" json:"Clock"`
	Up    scheduler.Time `cbor:"Up" json:"Up"`
	Boot  string         `cbor:"Boot" json:"Boot"`
}

// Since is what is known of the span between two stamps, the earlier one of another life.
type Since struct {
	Age  scheduler.Time // -1: not known, as the clock went back while the system was down
	Jump scheduler.Time // what the clock was set by, meanwhile; times of the earlier life are off by it
	Same bool           // the system has run on
}

// From reckons the span from an earlier stamp. While the system runs on, the clock's jumps are seen and taken
// out. Over a restart of the system only a clock that went back is.
func (now Stamp) From(then Stamp) Since {
	if then.Boot == now.Boot && then.Boot != "" && now.Up >= then.Up {
		s := Since{Age: now.Up - then.Up, Same: true}
		if jump := now.Clock - then.Clock - s.Age; jump >= jumpFrom || jump <= -jumpFrom {
			s.Jump = jump
		}
		return s
	}
	if now.Clock < then.Clock {
		return Since{Age: -1}
	}
	return Since{Age: now.Clock - then.Clock}
}

// Sent is when bids went to one start of a machine while it was cold.
type Sent struct {
	Machine scheduler.MachineID `cbor:"Machine"`
	Start   uint64              `cbor:"Start"` // which start of it
	Times   []scheduler.Time    `cbor:"Times"`
}

// Kept is what an earlier life left.
type Kept struct {
	At        Stamp
	Knowledge scheduler.Snapshot
	Starts    map[scheduler.MachineID]uint64 // which start of each machine it knew
	Names     []string                       // of workloads and customers, in the order of its terms

	Life Life
	Sent []Sent // all that was sent since the life began, if the system has run on
}

// Life is what a placer writes down when it comes up.
type Life struct {
	Whole Stamp        `cbor:"Whole"` // from then on every life has written down what it sent; zero: none did
	Log   recovery.Log `cbor:"Log"`   // how much is known of the bids of lives before it
}

// Next tells what a life that begins writes down and goes by. Over a restart of the system what was written and not
// synced may be lost, and what was not known before is no better known by another start: it stays so until every
// machine told.
func (l Life) Next(now Stamp) Life {
	since := now.From(l.Whole)
	switch {
	case l.Whole == Stamp{}:
		return Life{Whole: now}
	case !since.Same:
		return Life{Whole: now, Log: min(l.Log, recovery.Synced)}
	}
	return Life{Whole: Stamp{now.Clock - since.Age, now.Up - since.Age, now.Boot}, Log: l.Log}
}

// Sure is the life once every machine told what it holds.
func (l Life) Sure() Life {
	l.Log = recovery.Written
	return l
}

// Machine is one of the list as last heard, as it stands in this life.
type Machine struct {
	Start   uint64
	Started scheduler.Time // by this life's clock
}

// Belief is what is taken over.
type Belief struct {
	Knowledge scheduler.Snapshot
	Later     []Sent   // to starts of machines that no list has told yet, by this life's clock
	Said      []string // one line each, with figures
}

// Believe weighs what was kept. Window is that of cold machines; names are those of this life's terms.
func Believe(now Stamp, k Kept, machines map[scheduler.MachineID]Machine, names []string, window scheduler.Time) Belief {
	b := Belief{Knowledge: scheduler.Snapshot{SendsKnownSince: now.Clock}}
	since := now.From(k.At)
	fits := len(names) == len(k.Names)
	for i := range names {
		fits = fits && names[i] == k.Names[i]
	}
	switch {
	case k.At == Stamp{}:
	case since.Age < 0:
		b.say("the clock went back by %d ms over a restart of the system: health not believed",
			(k.At.Clock-now.Clock)/scheduler.Millisecond)
	default:
		if since.Jump != 0 {
			b.say("the clock was set by %+d ms: taken into account", since.Jump/scheduler.Millisecond)
		}
		b.weigh(since, k, machines, fits)
		b.say("knowledge %d ms old: health counts %.2f, room %.2f", since.Age/scheduler.Millisecond, Weight(Health, since.Age),
			Weight(Room, since.Age))
	}
	if !fits && k.At != (Stamp{}) {
		b.say("workloads or customers are others than before: losses not believed")
	}
	b.sent(now, k, machines, window)
	return b
}

func (b *Belief) say(format string, a ...any) { b.Said = append(b.Said, fmt.Sprintf(format, a...)) }

// weigh scales evidence by its age. Times of the earlier life are told by this life's clock.
func (b *Belief) weigh(since Since, k Kept, machines map[scheduler.MachineID]Machine, fits bool) {
	weight := func(kind Kind) float64 { return Weight(kind, since.Age) }
	if fits {
		for _, t := range k.Knowledge.TrafficClasses {
			b.Knowledge.TrafficClasses = append(b.Knowledge.TrafficClasses, scheduler.TrafficClass{LossRatio: t.LossRatio * weight(Traits), SuspicionThreshold: t.SuspicionThreshold})
		}
		b.Knowledge.FullRatio, b.Knowledge.RejectedWeight = k.Knowledge.FullRatio*weight(Room), k.Knowledge.RejectedWeight*weight(Room)
	}
	if weight(Health) == 0 {
		return
	}
	for _, l := range k.Knowledge.Machines {
		m, there := machines[l.Machine]
		if !there || m.Start != k.Starts[l.Machine] {
			continue // it is gone, or was restarted: the evidence was of another
		}
		l.StartedAt, l.RecentSends = m.Started, nil
		l.OutlierLogOdds *= weight(Health)
		shift := func(t scheduler.Time) scheduler.Time {
			if t == 0 {
				return 0
			}
			return t + since.Jump
		}
		l.EjectedUntil, l.SelfDrainingUntil = shift(l.EjectedUntil), shift(l.SelfDrainingUntil)
		doubts := l.FailureEvidence
		l.FailureEvidence = nil
		if fits && weight(Shuns) > 0 {
			for _, d := range doubts { // they fade by themselves from their time on
				l.FailureEvidence = append(l.FailureEvidence, scheduler.FailureEvidence{LogOdds: d.LogOdds, AsOf: shift(d.AsOf)})
			}
		}
		b.Knowledge.Machines = append(b.Knowledge.Machines, l)
	}
}

// sent takes over what went to cold machines. It is written down before each of them is sent, which a dying process
// cannot undo but a dying system can: after one nothing is sent to them for a window, as after a first start. The
// rules' window is what is kept; what the clock did meanwhile is known, as the system has run on.
func (b *Belief) sent(now Stamp, k Kept, machines map[scheduler.MachineID]Machine, window scheduler.Time) {
	since := now.From(k.Life.Whole)
	if k.Life.Whole == (Stamp{}) || !since.Same {
		b.say("what was sent to cold machines is not known: they get nothing for %d ms", window/scheduler.Millisecond)
		return
	}
	b.Knowledge.SendsKnownSince = now.Clock - since.Age
	at := map[scheduler.MachineID]int{}
	for i, l := range b.Knowledge.Machines {
		at[l.Machine] = i
	}
	counted := 0
	sort.Slice(k.Sent, func(i, j int) bool { return k.Sent[i].Machine < k.Sent[j].Machine })
	for _, s := range k.Sent {
		var times []scheduler.Time
		for _, t := range s.Times {
			if t += since.Jump; t > now.Clock-2*window {
				times = append(times, min(t, now.Clock))
			}
		}
		if len(times) == 0 {
			continue
		}
		m, there := machines[s.Machine]
		if !there || m.Start != s.Start {
			b.Later = append(b.Later, Sent{s.Machine, s.Start, times})
			continue
		}
		i, known := at[s.Machine]
		if !known {
			i = len(b.Knowledge.Machines)
			b.Knowledge.Machines = append(b.Knowledge.Machines, scheduler.MachineSnapshot{Machine: s.Machine, StartedAt: m.Started})
		}
		b.Knowledge.Machines[i].RecentSends = times
		counted += len(times)
	}
	b.say("%d bids to cold machines in the last %d ms are known: they get what is left", counted, 2*window/scheduler.Millisecond)
}

// Named takes up what was sent to starts that a list tells of only now: the list of old may be older than they are.
// What is left waits on; what a window has passed over is dropped.
func (l *Ledger) Named(now scheduler.Time, later []Sent, machines func(scheduler.MachineID) (Machine, bool)) (found []scheduler.MachineSnapshot, left []Sent) {
	for _, s := range later {
		m, there := machines(s.Machine)
		switch {
		case s.Times[len(s.Times)-1] <= now-2*l.window:
		case !there || m.Start != s.Start:
			left = append(left, s)
		default:
			if old := l.sent[s.Machine]; old != nil && old.Start != s.Start {
				l.warm[s.Machine] = append(old.Times, l.warm[s.Machine]...)
			}
			l.sent[s.Machine] = &Sent{s.Machine, s.Start, append([]scheduler.Time(nil), s.Times...)}
			found = append(found, scheduler.MachineSnapshot{Machine: s.Machine, StartedAt: m.Started, RecentSends: s.Times})
		}
	}
	return found, left
}

// transitDivisor is the part of a window that a send may be on its way: what was sent so long before a start may have reached it.
const transitDivisor = 8

// Ledger follows what is sent to machines, to be written down while they are cold. What goes to a warm machine is only
// remembered, for two windows: a start that has not been heard of may turn it cold, and then all that may have reached it
// is written down. A machine leaves the record once it is warm or gone.
type Ledger struct {
	coldFor, window scheduler.Time
	sent            map[scheduler.MachineID]*Sent            // on record
	warm            map[scheduler.MachineID][]scheduler.Time // only remembered; later than what is on record
}

func NewLedger(coldFor, window scheduler.Time) *Ledger {
	return &Ledger{coldFor: coldFor, window: window, sent: map[scheduler.MachineID]*Sent{}, warm: map[scheduler.MachineID][]scheduler.Time{}}
}

func (l *Ledger) cold(now scheduler.Time, m Machine) bool {
	return m.Started != 0 && now < m.Started+l.coldFor
}

// recent are the times of the last two windows.
func (l *Ledger) recent(now scheduler.Time, times []scheduler.Time) []scheduler.Time {
	return after(now-2*l.window, times)
}

func after(from scheduler.Time, times []scheduler.Time) []scheduler.Time {
	for len(times) > 0 && times[0] <= from {
		times = times[1:]
	}
	return times
}

// reached gives all that may have reached a machine's start, and forgets what went to earlier ones.
func (l *Ledger) reached(now scheduler.Time, id scheduler.MachineID, m Machine) *Sent {
	before := m.Started - l.window/transitDivisor - 1
	s := l.sent[id]
	if s == nil {
		s = &Sent{Machine: id, Start: m.Start}
	} else if s.Start != m.Start {
		s = &Sent{id, m.Start, after(before, s.Times)}
	}
	s.Times = l.recent(now, append(s.Times, after(before, l.warm[id])...))
	delete(l.warm, id)
	return s
}

// Note counts one bid or probe that is about to go to a machine. It returns what is to be written down before,
// and whether anything is.
func (l *Ledger) Note(now scheduler.Time, id scheduler.MachineID, m Machine) (Sent, bool) {
	if !l.cold(now, m) {
		l.warm[id] = append(l.recent(now, l.warm[id]), now)
		return Sent{}, false
	}
	s := l.reached(now, id, m)
	s.Times = append(s.Times, now)
	l.sent[id] = s
	return *s, true
}

// Started tells of a start just heard of. It returns what is to be written down, as it may have reached that start before, and
// whether anything is.
func (l *Ledger) Started(now scheduler.Time, id scheduler.MachineID, m Machine) (Sent, bool) {
	if s := l.sent[id]; !l.cold(now, m) || s != nil && s.Start == m.Start && len(l.warm[id]) == 0 {
		return Sent{}, false
	}
	s := l.reached(now, id, m)
	if len(s.Times) == 0 {
		return Sent{}, false
	}
	l.sent[id] = s
	return *s, true
}

// Carry puts what an earlier life sent into the ledger.
func (l *Ledger) Carry(b Belief, starts map[scheduler.MachineID]uint64) {
	for _, m := range b.Knowledge.Machines {
		if len(m.RecentSends) > 0 {
			l.sent[m.Machine] = &Sent{m.Machine, starts[m.Machine], append([]scheduler.Time(nil), m.RecentSends...)}
		}
	}
}

// Drop lets go of the records of machines that are warm or gone and returns these machines, in order. What may still reach
// a start not heard of stays remembered.
func (l *Ledger) Drop(now scheduler.Time, machines func(scheduler.MachineID) (Machine, bool)) []scheduler.MachineID {
	var out []scheduler.MachineID
	for id, s := range l.sent {
		m, there := machines(id)
		if !there && s.Times[len(s.Times)-1] > now-2*l.window {
			continue // it may come back with the same start
		}
		if !there || m.Start != s.Start || !l.cold(now, m) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	for _, id := range out {
		l.warm[id] = append(l.sent[id].Times, l.warm[id]...)
		delete(l.sent, id)
	}
	for id, times := range l.warm {
		if l.warm[id] = l.recent(now, times); len(l.warm[id]) == 0 {
			delete(l.warm, id)
		}
	}
	return out
}
