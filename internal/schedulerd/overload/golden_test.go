package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/scheduler"
)

// foldDoor folds actions and the state that is told to others; the text of a mode is for logs alone.
func foldDoor(d *golden.Digest, now scheduler.Time, door *Limiter, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			d.Add(1, now)
		case Shed:
			d.Add(2, now, a.Reason, a.RetryAfter)
		case ModeChanged:
			d.Add(3, now)
		default:
			panic(fmt.Sprintf("action %T is not folded", a))
		}
	}
	d.Add(4, door.Open(), door.Limit())
}

// recordedLoad is a seeded load on one door: calm, a flood of first tries and repeats, calm again.
func recordedLoad(d *golden.Digest, rng *rand.Rand, most int) {
	terms := Config{Seed: rng.Uint64() | 1, MaxOpen: most,
		WorkloadClasses: []WorkloadClass{{LatencyObjective: scheduler.Second / 2, PriorityWeight: 1}, {LatencyObjective: 2 * scheduler.Second, PriorityWeight: 4}, {LatencyObjective: 0, PriorityWeight: 0.5}}}
	door, now := New(terms), scheduler.Time(rng.IntN(100_000))
	var open []int
	for phase := range 5 {
		flood := phase%2 == 1
		for range 400 {
			now += scheduler.Time(rng.IntN(100))
			if flood {
				now += scheduler.Time(rng.IntN(30))
			}
			if rng.IntN(150) == 0 {
				now += scheduler.Time(rng.IntN(12 * int(scheduler.Second)))
			}
			var events []Event
			for range 1 + rng.IntN(3) {
				switch n := rng.IntN(10); {
				case n < 6 && (flood || len(open) < 12):
					client := fmt.Sprint("c", rng.IntN(30))
					if rng.IntN(3) == 0 {
						client = "busy"
					}
					events = append(events, RequestReceived{Client: client, WorkloadClass: rng.IntN(4), ClientRetry: rng.IntN(3) == 0})
				case n < 9 && len(open) > 0:
					took := scheduler.Time(rng.IntN(1000))
					if flood {
						took = scheduler.Time(rng.IntN(30_000))
					}
					events = append(events, RequestStarted{WorkloadClass: open[0], Elapsed: took})
					open = open[1:]
				case len(open) > 0 || rng.IntN(20) == 0:
					events = append(events, RequestFailed{WorkloadClass: rng.IntN(5)})
				}
			}
			actions := door.Handle(now, events...)
			foldDoor(d, now, door, actions)
			for _, a := range actions {
				if _, ok := a.(Admit); ok {
					open = append(open, rng.IntN(4))
				}
			}
		}
		known := door.Snapshot()
		d.Add(5, known)
		if rng.IntN(2) == 0 { // a restart; now and then with settings that do not fit, or nothing left to believe
			if rng.IntN(4) == 0 {
				known.BaselineLatency = append(known.BaselineLatency, 1)
			}
			if rng.IntN(6) == 0 {
				known.Limit = 0
			}
			door = New(terms)
			door.Restore(known, float64(rng.IntN(5))/4)
			d.Add(6, door.Snapshot(), door.Limit())
		}
	}
}

func recordedCounts(d *golden.Digest, rng *rand.Rand) {
	clients := 1 + rng.IntN(40)
	h, now := NewHeavyHitters(clients), scheduler.Time(0)
	for range 500 {
		now += scheduler.Time(rng.IntN(5000))
		if rng.IntN(100) == 0 {
			now += scheduler.Time(rng.IntN(5_000_000))
		}
		client := fmt.Sprint("c", rng.IntN(1+rng.IntN(60)))
		d.Add(1, h.Record(now, client), h.Len())
	}
}

func TestActionsMatchRecordedDigests(t *testing.T) {
	var lines []string
	for _, most := range []int{20, 60, 1000} {
		d := golden.NewDigest()
		for seed := range uint64(60) {
			recordedLoad(d, rand.New(rand.NewPCG(seed, uint64(most))), most)
		}
		lines = append(lines, d.Line(fmt.Sprintf("at most %d open", most)))
	}
	d := golden.NewDigest()
	for seed := range uint64(100) {
		recordedCounts(d, rand.New(rand.NewPCG(seed, 1)))
	}
	lines = append(lines, d.Line("heavy clients"))
	d = golden.NewDigest()
	for why := range 4 {
		d.Add(1, Reason(why).String())
	}
	golden.Check(t, "testdata/digests.txt", append(lines, d.Line("reasons")))
}
