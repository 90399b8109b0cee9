package platformcheck

import (
	"sync"
	"sync/atomic"
)

// eventsPerRun is the number of events in a run.
const eventsPerRun = 60

// Campaign is a series of runs with consecutive seeds.
type Campaign struct {
	FirstSeed uint64
	Events    int // total
	Fault     Fault
	Workers   int // runs that are played in parallel
}

// Failure is a run with violations.
type Failure struct {
	Run        Run
	Violations []Violation
}

// Result is the result of a campaign.
type Result struct {
	Seeds, Events int     // played
	FirstFailure  Failure // run with the lowest failing seed; has no violations if no run failed
	FailedRuns    int     // runs with violations
}

// Runs returns the number of runs.
func (c Campaign) Runs() int { return (c.Events + eventsPerRun - 1) / eventsPerRun }

// NewRun returns the run of a seed.
func (c Campaign) NewRun(seed uint64) Run {
	return Run{Seed: seed, Events: Draw(seed, eventsPerRun), Fault: c.Fault}
}

// Play plays the runs. It starts no new runs after the first failure.
func (c Campaign) Play() Result {
	var next atomic.Uint64
	var mu sync.Mutex
	var result Result
	var workers sync.WaitGroup
	stopped := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return result.FailedRuns > 0
	}
	for range max(1, c.Workers) {
		workers.Go(func() {
			for index := next.Add(1) - 1; index < uint64(c.Runs()) && !stopped(); index = next.Add(1) - 1 {
				run := c.NewRun(c.FirstSeed + index)
				violations := Play(run)
				mu.Lock()
				result.add(run, violations)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return result
}

// add adds a run to the result.
func (r *Result) add(run Run, violations []Violation) {
	r.Seeds++
	r.Events += len(run.Events)
	if len(violations) == 0 {
		return
	}
	r.FailedRuns++
	if len(r.FirstFailure.Violations) == 0 || run.Seed < r.FirstFailure.Run.Seed {
		r.FirstFailure = Failure{run, violations}
	}
}
