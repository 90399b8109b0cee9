package recovery

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/scheduler"
)

// recordedSequence is a seeded sequence of events to one tracker; each action and each answer is folded into a digest.
type recordedSequence struct {
	rng      *rand.Rand
	digest   *golden.Digest
	attempts []Attempt
	lastBid  uint64
}

func (s *recordedSequence) machine() scheduler.MachineID {
	return scheduler.MachineID(fmt.Sprint("m", s.rng.IntN(70)/7))
}

func (s *recordedSequence) attempt() Attempt {
	if len(s.attempts) > 0 && s.rng.IntN(3) > 0 {
		return s.attempts[s.rng.IntN(len(s.attempts))]
	}
	s.lastBid++
	n := s.rng.IntN(12)
	h := Attempt{Request: scheduler.PlacementRequest{ID: scheduler.ContainerID(fmt.Sprint("c", n)), IdempotencyKey: fmt.Sprint("k", n/2), WorkloadClass: s.rng.IntN(5) - 1},
		Machine: s.machine(), Incarnation: uint64(s.rng.IntN(3)), Number: s.lastBid, Running: s.rng.IntN(2) == 0}
	s.attempts = append(s.attempts, h)
	return h
}

func (s *recordedSequence) event() Event {
	switch n := s.rng.IntN(24); {
	case n < 3:
		return AttemptRestored{Attempt: s.attempt()}
	case n < 8:
		return AttemptOutcomeUnknown{Attempt: s.attempt()}
	case n < 10:
		return AttemptNotRunning{Attempt: s.attempt()}
	case n < 12:
		var all []scheduler.MachineID
		for i := range 10 {
			if s.rng.IntN(5) > 0 {
				all = append(all, scheduler.MachineID(fmt.Sprint("m", i)))
			}
		}
		if s.rng.IntN(8) == 0 {
			for i := range 100 {
				all = append(all, scheduler.MachineID(fmt.Sprint("n", i)))
			}
		}
		if s.rng.IntN(8) == 0 {
			all = nil
		}
		return MachinesListed{Machines: all, FullSnapshot: s.rng.IntN(2) == 0}
	case n < 13:
		return MachineRemoved{Machine: s.machine()}
	case n < 16:
		return MachineReported{Machine: s.machine()}
	case n < 18:
		return MachineDisconnected{Machine: s.machine()}
	case n < 20:
		return ConnectFailed{Machine: s.machine()}
	case n < 21:
		return MachineUnreachable{Machine: s.machine()}
	}
	return Tick{}
}

func (s *recordedSequence) fold(now scheduler.Time, a Action) {
	switch a := a.(type) {
	case ConnectMachine:
		s.digest.Add(1, now, a.Machine)
	case AttemptResolved:
		s.digest.Add(2, now, a.Attempt)
	case RecoveryComplete:
		s.digest.Add(3, now)
	case AllMachinesReported:
		s.digest.Add(4, now)
	default:
		panic(fmt.Sprintf("action %T is not folded", a))
	}
}

func (s *recordedSequence) run(log LogCoverage, steps int) {
	r := NewTracker(log, []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce})
	now := scheduler.Time(s.rng.IntN(2) * 1000)
	for range steps {
		events := make([]Event, 1+s.rng.IntN(3))
		for i := range events {
			events[i] = s.event()
		}
		for _, a := range r.Handle(now, events...) {
			s.fold(now, a)
		}
		for k := range 7 {
			key := fmt.Sprint("k", k)
			for workload := range 4 {
				s.digest.Add(5, r.WaitReason(scheduler.PlacementRequest{IdempotencyKey: key, WorkloadClass: workload, ClientRetry: s.rng.IntN(3) > 0}))
			}
			s.digest.Add(6, r.UncertainReason(key))
		}
		s.digest.Add(7, r.UnresolvedKeys(), r.NextTimer())
		if next := r.NextTimer(); next > now && s.rng.IntN(3) == 0 {
			now = next
		} else {
			now += scheduler.Time(s.rng.IntN(3) * s.rng.IntN(3000))
		}
		if s.rng.IntN(12) == 0 { // all machines report
			for i := range 10 {
				for _, a := range r.Handle(now, MachineReported{Machine: scheduler.MachineID(fmt.Sprint("m", i))}) {
					s.fold(now, a)
				}
			}
			for i := range 100 {
				for _, a := range r.Handle(now, MachineReported{Machine: scheduler.MachineID(fmt.Sprint("n", i))}) {
					s.fold(now, a)
				}
			}
		}
	}
}

func TestActionsMatchRecordedDigests(t *testing.T) {
	var lines []string
	for _, group := range []struct {
		name string
		log  LogCoverage
	}{{"no log", LogNone}, {"synced log", LogSynced}, {"complete log", LogComplete}} {
		d := golden.NewDigest()
		for seed := range uint64(150) {
			s := &recordedSequence{rng: rand.New(rand.NewPCG(seed, uint64(group.log))), digest: d}
			s.run(group.log, 60)
		}
		lines = append(lines, d.Line(group.name))
	}
	d := golden.NewDigest()
	for effect := range 4 {
		write, sync := MustPersist(scheduler.Idempotency(effect))
		d.Add(1, write, sync)
	}
	for phase := range 7 {
		for _, n := range []int{0, 1, 1999, 2000, 12345} {
			step, after := Resume(ContainerPhase(phase), n)
			d.Add(2, step, after)
		}
	}
	for log := range 3 {
		d.Add(3, LogCoverage(log).String())
	}
	golden.Check(t, "testdata/digests.txt", append(lines, d.Line("tables")))
}
