package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/scheduler"
)

// foldActions adds actions and the exported state of a limiter to a digest. The fields of SheddingStarted and
// SheddingEnded are left out, because they are only logged.
func foldActions(d *golden.Digest, now scheduler.Time, limiter *Limiter, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			d.Add(1, now)
		case Shed:
			d.Add(2, now, a.Reason, a.RetryAfter)
		case SheddingStarted, SheddingEnded:
			d.Add(3, now)
		default:
			panic(fmt.Sprintf("action %T is not folded", a))
		}
	}
	d.Add(4, limiter.Open(), limiter.Limit())
}

// recordedLoad generates a seeded load on one limiter: light load alternates with floods of requests and client
// retries.
type recordedLoad struct {
	rng         *rand.Rand
	now         scheduler.Time
	openClasses []int // workload classes of admitted requests
	flood       bool
}

func (s *recordedLoad) run(d *golden.Digest, maxOpen int) {
	config := Config{Seed: s.rng.Uint64() | 1, MaxOpen: maxOpen, WorkloadClasses: []WorkloadClass{
		{LatencyObjective: scheduler.Second / 2, PriorityWeight: 1},
		{LatencyObjective: 2 * scheduler.Second, PriorityWeight: 4},
		{LatencyObjective: 0, PriorityWeight: 0.5},
	}}
	limiter := New(config)
	s.now = scheduler.Time(s.rng.IntN(100_000))
	for phase := range 5 {
		s.flood = phase%2 == 1
		for range 400 {
			s.advance()
			var events []Event
			for range 1 + s.rng.IntN(3) {
				events = s.addEvent(events)
			}
			actions := limiter.Handle(s.now, events...)
			foldActions(d, s.now, limiter, actions)
			for _, a := range actions {
				if _, ok := a.(Admit); ok {
					s.openClasses = append(s.openClasses, s.rng.IntN(4))
				}
			}
		}
		snapshot := limiter.Snapshot()
		d.Add(5, snapshot)
		if s.rng.IntN(2) == 0 {
			limiter = s.restart(d, config, snapshot)
		}
	}
}

func (s *recordedLoad) advance() {
	s.now += scheduler.Time(s.rng.IntN(100))
	if s.flood {
		s.now += scheduler.Time(s.rng.IntN(30))
	}
	if s.rng.IntN(150) == 0 {
		s.now += scheduler.Time(s.rng.IntN(12 * int(scheduler.Second)))
	}
}

func (s *recordedLoad) addEvent(events []Event) []Event {
	switch n := s.rng.IntN(10); {
	case n < 6 && (s.flood || len(s.openClasses) < 12):
		client := fmt.Sprint("c", s.rng.IntN(30))
		if s.rng.IntN(3) == 0 {
			client = "busy"
		}
		class := s.rng.IntN(4)
		return append(events, RequestReceived{Client: client, WorkloadClass: class, ClientRetry: s.rng.IntN(3) == 0})
	case n < 9 && len(s.openClasses) > 0:
		elapsed := scheduler.Time(s.rng.IntN(1000))
		if s.flood {
			elapsed = scheduler.Time(s.rng.IntN(30_000))
		}
		events = append(events, RequestStarted{WorkloadClass: s.openClasses[0], Elapsed: elapsed})
		s.openClasses = s.openClasses[1:]
	case len(s.openClasses) > 0 || s.rng.IntN(20) == 0:
		events = append(events, RequestFailed{WorkloadClass: s.rng.IntN(5)})
	}
	return events
}

// restart returns a limiter that was restored from a snapshot. The snapshot sometimes does not match the configuration,
// or holds no limit.
func (s *recordedLoad) restart(d *golden.Digest, config Config, snapshot Snapshot) *Limiter {
	if s.rng.IntN(4) == 0 {
		snapshot.BaselineLatency = append(snapshot.BaselineLatency, 1)
	}
	if s.rng.IntN(6) == 0 {
		snapshot.Limit = 0
	}
	limiter := New(config)
	limiter.Restore(snapshot, float64(s.rng.IntN(5))/4)
	d.Add(6, limiter.Snapshot(), limiter.Limit())
	return limiter
}

func recordedCounts(d *golden.Digest, rng *rand.Rand) {
	h, now := NewHeavyHitters(1+rng.IntN(40)), scheduler.Time(0)
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
	for _, maxOpen := range []int{20, 60, 1000} {
		d := golden.NewDigest()
		for seed := range uint64(60) {
			s := &recordedLoad{rng: rand.New(rand.NewPCG(seed, uint64(maxOpen)))}
			s.run(d, maxOpen)
		}
		lines = append(lines, d.Line(fmt.Sprintf("at most %d open", maxOpen)))
	}
	d := golden.NewDigest()
	for seed := range uint64(100) {
		recordedCounts(d, rand.New(rand.NewPCG(seed, 1)))
	}
	lines = append(lines, d.Line("heavy clients"))
	d = golden.NewDigest()
	for reason := range 4 {
		d.Add(1, Reason(reason).String())
	}
	golden.Check(t, "testdata/digests.txt", append(lines, d.Line("reasons")))
}
