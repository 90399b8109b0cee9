package failuredetector

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"glenport/internal/golden"
)

const digestFile = "testdata/decisions.txt"

// digest hashes decisions. It does not include the names of types or fields: an action is hashed as its ordinal below
// and its values in order.
type digest struct{ *golden.Digest }

func (d *digest) action(now Time, action Action) {
	d.Count(1)
	d.Numbers(uint64(now))
	switch a := action.(type) {
	case Connect:
		d.Numbers(0)
		d.Text(a.Machine)
	case DeclareLost:
		d.Numbers(1, uint64(a.SilentFor))
		d.Text(a.Machine)
	case ReportTermination:
		d.Numbers(2, uint64(a.Cause))
		d.Text(a.Machine)
		d.Text(a.RequestID)
	default:
		panic(fmt.Sprintf("action %T has no ordinal", action))
	}
}

// sequence is a sequence of random events for one detector.
type sequence struct {
	random   *rand.Rand
	now      Time
	grid     Time // time advances in multiples of it; 0: by arbitrary amounts
	machines int
	requests int
}

func (s *sequence) machine() string { return fmt.Sprintf("m-%d", s.random.IntN(s.machines)) }
func (s *sequence) request() string { return fmt.Sprintf("%016x", s.random.IntN(s.requests)) }

func (s *sequence) changeRunningCount() Event {
	return RunningCountChanged{Machine: s.machine(), Count: s.random.IntN(4)}
}

func (s *sequence) reclaim() Event {
	return ContainerReclaimed{Machine: s.machine(), RequestID: s.request()}
}

// weights are the relative frequencies of the events in a group of sequences.
type weights struct{ count, activity, refused, terminated, reclaimed, tick int }

func (s *sequence) event(w weights) Event {
	return golden.Draw(s.random,
		golden.NewChoice(w.count, s.changeRunningCount),
		golden.NewChoice(w.activity, func() Event { return ActivityObserved{Machine: s.machine()} }),
		golden.NewChoice(w.refused, func() Event { return ConnectionRefused{Machine: s.machine()} }),
		golden.NewChoice(w.terminated, func() Event {
			return UnclaimedTermination{Machine: s.machine(), RequestID: s.request(), Cause: s.random.IntN(50) - 1}
		}),
		golden.NewChoice(w.reclaimed, s.reclaim),
		golden.NewChoice(w.tick, func() Event { return Tick{} }),
	)
}

// wait advances the time. On a grid, events fall exactly on deadlines.
func (s *sequence) wait() {
	if s.grid > 0 {
		s.now += s.grid * Time(s.random.IntN(3))
		return
	}
	s.now += golden.DrawWait(s.random, Second)
}

func (s *sequence) run(d *digest, batches, batchLimit int, w weights) {
	detector := New()
	s.now = Time(s.random.IntN(1000))
	for range batches {
		s.wait()
		events := make([]Event, 0, batchLimit)
		for range 1 + s.random.IntN(batchLimit) {
			events = append(events, s.event(w))
		}
		for _, a := range detector.Handle(s.now, events) {
			d.action(s.now, a)
		}
	}
}

// group describes a group of sequences.
type group struct {
	name                string
	seed                uint64
	sequences           int
	machines, requests  int // number of identifiers to choose from
	batches, batchLimit int // batches per sequence, and the maximum number of events in each
	weights             weights
}

func (g group) run(d *digest) {
	grids := []Time{0, Second / 2, Second / 10}
	for i := range g.sequences {
		s := &sequence{
			random:   rand.New(rand.NewPCG(g.seed, uint64(i))),
			machines: g.machines,
			requests: g.requests,
			grid:     grids[i%len(grids)],
		}
		s.run(d, g.batches, g.batchLimit, g.weights)
	}
}

// TestDecisionsAreUnchanged compares the decisions on some thousand random sequences of events with the recorded ones.
func TestDecisionsAreUnchanged(t *testing.T) {
	var got strings.Builder
	for _, group := range []group{
		{"mixed events", 1, 800, 5, 20, 120, 4, weights{4, 3, 1, 3, 3, 6}},
		{"silent machines", 2, 500, 6, 20, 100, 3, weights{2, 1, 0, 0, 0, 12}},
		{"refused connections", 3, 400, 3, 20, 100, 4, weights{4, 2, 4, 1, 1, 3}},
		{"terminations before the reclaim", 4, 400, 2, 8, 100, 6, weights{1, 1, 0, 6, 6, 3}},
		{"more terminations than are kept", 5, 4, 1, 6000, 70, 400, weights{0, 1, 0, 30, 8, 0}},
	} {
		d := &digest{golden.NewDigest()}
		group.run(d)
		fmt.Fprintf(&got, "%s: %s, %d decisions\n", group.name, d.Sum(), d.Records())
	}
	golden.CheckText(t, digestFile, got.String())
}
