package reconcile

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

const recordedLife = 3

// recordedSequence is a seeded sequence of events to one table, of which many answer what it did; each action is folded into a
// digest.
type recordedSequence struct {
	rng      *rand.Rand
	digest   *golden.Digest
	table    *Table
	now      scheduler.Time
	ids      int
	taken    []scheduler.PlacementRequest
	attempts []Held
	reached  []scheduler.MachineID
	lastBid  uint64
}

func (s *recordedSequence) machine() scheduler.MachineID {
	return scheduler.MachineID(fmt.Sprint("m", s.rng.IntN(6)))
}

func (s *recordedSequence) caller() Caller { return Caller(s.rng.IntN(5)) }

func (s *recordedSequence) ask() scheduler.PlacementRequest {
	n := s.rng.IntN(s.ids)
	a := scheduler.PlacementRequest{ID: scheduler.ContainerID(fmt.Sprint("c", n)), IdempotencyKey: fmt.Sprint("k", n/2), Service: "s", WorkloadClass: n % 3,
		Tenant: s.rng.IntN(2), ClientRetry: s.rng.IntN(3) == 0}
	if s.rng.IntN(10) == 0 {
		a.IdempotencyKey = fmt.Sprint("k", s.rng.IntN(s.ids))
	}
	if s.rng.IntN(30) == 0 {
		a.WorkloadClass = 3
	}
	return a
}

// attempt is one that the table has heard of, or another.
func (s *recordedSequence) attempt() Held {
	if len(s.attempts) > 0 && s.rng.IntN(4) > 0 {
		h := s.attempts[s.rng.IntN(len(s.attempts))]
		if s.rng.IntN(8) == 0 {
			h.Running = !h.Running
		}
		return h
	}
	s.lastBid++
	h := Held{Ask: s.ask(), Machine: s.machine(), Life: recordedLife - uint64(s.rng.IntN(3)), Bid: s.lastBid, Running: s.rng.IntN(5) > 0}
	s.attempts = append(s.attempts, h)
	return h
}

func (s *recordedSequence) holds(m scheduler.MachineID) Holds {
	e := Holds{Machine: m}
	for _, h := range s.attempts {
		if h.Machine == m && s.rng.IntN(4) > 0 && len(e.Held) < 8 {
			e.Held = append(e.Held, h)
		}
	}
	return e
}

func (s *recordedSequence) accepted() Event {
	a := s.ask()
	if len(s.taken) > 0 && s.rng.IntN(10) > 0 {
		n := s.rng.IntN(len(s.taken))
		a = s.taken[n]
		s.taken = append(s.taken[:n], s.taken[n+1:]...)
	}
	s.lastBid++
	h := Held{Ask: a, Machine: s.machine(), Life: recordedLife, Bid: s.lastBid, Running: true}
	s.attempts = append(s.attempts, h)
	return Placed{ID: a.ID, Machine: h.Machine, Bid: h.Bid}
}

func (s *recordedSequence) event() Event {
	if len(s.reached) > 0 && s.rng.IntN(3) == 0 { // what becomes of a link that was asked for
		m := s.reached[0]
		s.reached = s.reached[1:]
		if s.rng.IntN(3) == 0 {
			return s.holds(m)
		}
		return NoLink{Machine: m, Short: s.rng.IntN(6) == 0}
	}
	switch n := s.rng.IntN(100); {
	case n < 4:
		return Called{Caller: s.caller()}
	case n < 5:
		return Left{Caller: s.caller()}
	case n < 35:
		return Asked{Caller: s.caller(), Ask: s.ask()}
	case n < 39:
		a := s.ask()
		if s.rng.IntN(4) == 0 {
			a.IdempotencyKey = ""
		}
		return Cancelled{Caller: s.caller(), ID: a.ID, Key: a.IdempotencyKey}
	case n < 43:
		a := s.ask()
		return Looked{Caller: s.caller(), ID: a.ID, Key: a.IdempotencyKey}
	case n < 47:
		return Answered{ID: s.ask().ID}
	case n < 62:
		return s.accepted()
	case n < 68:
		return Ended{ID: s.ask().ID}
	case n < 70:
		return Logged{Held: s.attempt()}
	case n < 73:
		return Unheard{Held: s.attempt()}
	case n < 75:
		return Told{Held: s.attempt()}
	case n < 80:
		return LateYes{Held: s.attempt()}
	case n < 85:
		return s.holds(s.machine())
	case n < 89:
		return Broke{Machine: s.machine()}
	case n < 91:
		return NoLink{Machine: s.machine(), Short: s.rng.IntN(3) == 0}
	case n < 93:
		var all []scheduler.MachineID
		for i := range 6 {
			if s.rng.IntN(6) > 0 {
				all = append(all, scheduler.MachineID(fmt.Sprint("m", i)))
			}
		}
		return Named{Machines: all, Whole: s.rng.IntN(2) == 0}
	case n < 94:
		return Unnamed{Machine: s.machine()}
	}
	return Woke{}
}

// fold leaves out the text of a log line.
func (s *recordedSequence) fold(a Action) {
	d, now := s.digest, s.now
	switch a := a.(type) {
	case Dismiss:
		d.Add(1, now, a.Caller, a.Why)
	case Pass:
		d.Add(2, now, a.Caller, a.Ask)
		s.taken = append(s.taken, a.Ask)
	case Refuse:
		d.Add(3, now, a.Caller, a.ID, a.Why, a.HoldOff)
	case Stands:
		d.Add(4, now, a.Caller, a.ID, a.As, a.Machine)
	case Cease:
		d.Add(5, now, a.Caller, a.ID, a.As)
	case Ceased:
		d.Add(6, now, a.Caller, a.ID)
	case Absent:
		d.Add(7, now, a.Caller, a.ID)
	case CallOff:
		d.Add(8, now, a.Machine, a.Life, a.Bid)
	case Adopt:
		d.Add(9, now, a.Held)
	case Lost:
		d.Add(10, now, a.ID, a.Sure)
	case Reach:
		d.Add(11, now, a.Machine)
		s.reached = append(s.reached, a.Machine)
	case Sure:
		d.Add(12, now)
	case ToldAll:
		d.Add(13, now)
	case Settled:
		d.Add(14, now, a.Held)
	case Wake:
		d.Add(15, now, a.After)
	case Log:
		d.Add(16, now)
	default:
		panic(fmt.Sprintf("action %T is not folded", a))
	}
}

func (s *recordedSequence) run(steps int) {
	for range steps {
		events := make([]Event, s.rng.IntN(4))
		for i := range events {
			events[i] = s.event()
		}
		for _, a := range s.table.Handle(s.now, events) {
			s.fold(a)
		}
		s.digest.Add(17, s.table.Doubts())
		if door := s.table.Door(); door != nil {
			s.digest.Add(18, door.Open(), door.Limit())
		}
		switch s.rng.IntN(4) {
		case 0:
			s.now += scheduler.Time(s.rng.IntN(3000))
		case 1:
			s.now += scheduler.Time(s.rng.IntN(200))
		}
		if s.rng.IntN(60) == 0 {
			s.now += scheduler.Time(s.rng.IntN(60_000))
		}
	}
}

func TestActionsMatchRecordedDigests(t *testing.T) {
	wide := Bounds{Callers: 4, Open: 1000, OpenPerCaller: 100}
	calm := []overload.Workload{{Agreed: 100 * scheduler.Millisecond, Gain: 1}, {Agreed: scheduler.Second, Gain: 2}, {Agreed: scheduler.Second, Gain: 4}}
	var lines []string
	for i, group := range []struct {
		name   string
		bounds Bounds
		log    recovery.Log
		calm   []overload.Workload
		ids    int
	}{
		{"no log", wide, recovery.NoLog, nil, 30},
		{"synced log", wide, recovery.Synced, nil, 30},
		{"complete log", wide, recovery.Written, nil, 30},
		{"tight limits", Bounds{Callers: 2, Open: 8, OpenPerCaller: 3}, recovery.Written, nil, 60},
		{"overload", Bounds{Callers: 5, Open: 60, OpenPerCaller: 60}, recovery.Written, calm, 400},
	} {
		d := golden.NewDigest()
		for seed := range uint64(120) {
			s := &recordedSequence{rng: rand.New(rand.NewPCG(seed, uint64(i))), digest: d, ids: group.ids, now: scheduler.Time(seed % 2 * 1000),
				table: New(recordedLife, group.bounds, []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce}, group.log, group.calm)}
			s.run(300)
		}
		lines = append(lines, d.Line(group.name))
	}
	golden.Check(t, "testdata/digests.txt", lines)
}
