package recovery

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/scheduler"
)

// recordedSequence generates a seeded sequence of events for one tracker, and folds each action and each result of a
// check into a digest.
type recordedSequence struct {
	rng        *rand.Rand
	digest     *golden.Digest
	now        scheduler.Time
	attempts   []Attempt
	lastNumber uint64
}

func (s *recordedSequence) machine() scheduler.MachineID {
	return scheduler.MachineID(fmt.Sprint("m", s.rng.IntN(70)/7))
}

func (s *recordedSequence) attempt() Attempt {
	if len(s.attempts) > 0 && s.rng.IntN(3) > 0 {
		return s.attempts[s.rng.IntN(len(s.attempts))]
	}
	s.lastNumber++
	n := s.rng.IntN(12)
	request := scheduler.PlacementRequest{
		ID:             scheduler.ContainerID(fmt.Sprint("c", n)),
		IdempotencyKey: fmt.Sprint("k", n/2),
		WorkloadClass:  s.rng.IntN(5) - 1,
	}
	a := Attempt{
		Request:     request,
		Machine:     s.machine(),
		Incarnation: uint64(s.rng.IntN(3)),
		Number:      s.lastNumber,
		Running:     s.rng.IntN(2) == 0,
	}
	s.attempts = append(s.attempts, a)
	return a
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
		return s.list()
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

// list returns a list of most machines, sometimes with 100 more, and sometimes an empty one.
func (s *recordedSequence) list() MachinesListed {
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
}

func (s *recordedSequence) fold(a Action) {
	now := s.now
	switch a := a.(type) {
	case ConnectMachine:
		s.digest.Add(1, now, a.Machine)
	case AttemptResolved:
		s.digest.Add(2, now, a.Attempt)
	case Completed:
		s.digest.Add(3, now)
	case AllMachinesReported:
		s.digest.Add(4, now)
	default:
		panic(fmt.Sprintf("action %T is not folded", a))
	}
}

func (s *recordedSequence) handle(tracker *Tracker, events ...Event) {
	for _, a := range tracker.Handle(s.now, events...) {
		s.fold(a)
	}
}

// errorText returns the text that is sent to a client, or an empty string if there is no error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (s *recordedSequence) foldChecks(tracker *Tracker) {
	for k := range 7 {
		key := fmt.Sprint("k", k)
		for class := range 4 {
			r := scheduler.PlacementRequest{IdempotencyKey: key, WorkloadClass: class, ClientRetry: s.rng.IntN(3) > 0}
			s.digest.Add(5, errorText(tracker.CheckPlacement(r)))
		}
		s.digest.Add(6, errorText(tracker.CheckKey(key)))
	}
	s.digest.Add(7, tracker.UnresolvedKeys(), tracker.NextTimer())
}

func (s *recordedSequence) advance(tracker *Tracker) {
	if next := tracker.NextTimer(); next > s.now && s.rng.IntN(3) == 0 {
		s.now = next
	} else {
		s.now += scheduler.Time(s.rng.IntN(3) * s.rng.IntN(3000))
	}
}

func (s *recordedSequence) reportAll(tracker *Tracker) {
	for i := range 10 {
		s.handle(tracker, MachineReported{Machine: scheduler.MachineID(fmt.Sprint("m", i))})
	}
	for i := range 100 {
		s.handle(tracker, MachineReported{Machine: scheduler.MachineID(fmt.Sprint("n", i))})
	}
}

func (s *recordedSequence) run(coverage LogCoverage, steps int) {
	tracker := NewTracker(coverage, idempotency)
	s.now = scheduler.Time(s.rng.IntN(2) * 1000)
	for range steps {
		events := make([]Event, 1+s.rng.IntN(3))
		for i := range events {
			events[i] = s.event()
		}
		s.handle(tracker, events...)
		s.foldChecks(tracker)
		s.advance(tracker)
		if s.rng.IntN(12) == 0 {
			s.reportAll(tracker)
		}
	}
}

func TestActionsMatchRecordedDigests(t *testing.T) {
	var lines []string
	for _, group := range []struct {
		name     string
		coverage LogCoverage
	}{{"no log", LogNone}, {"synced log", LogSynced}, {"complete log", LogComplete}} {
		d := golden.NewDigest()
		for seed := range uint64(150) {
			s := &recordedSequence{rng: rand.New(rand.NewPCG(seed, uint64(group.coverage))), digest: d}
			s.run(group.coverage, 60)
		}
		lines = append(lines, d.Line(group.name))
	}
	d := golden.NewDigest()
	for i := range 4 {
		write, sync := MustPersist(scheduler.Idempotency(i))
		d.Add(1, write, sync)
	}
	for phase := range 7 {
		for _, n := range []int{0, 1, 1999, 2000, 12345} {
			step, delay := Resume(ContainerPhase(phase), n)
			d.Add(2, step, delay)
		}
	}
	for coverage := range 3 {
		d.Add(3, LogCoverage(coverage).String())
	}
	golden.Check(t, "testdata/digests.txt", append(lines, d.Line("tables")))
}
