package platformcheck

import (
	"sync"
	"sync/atomic"
)

// eventsPerRun is how many events a run has.
const eventsPerRun = 60

// Campaign is many runs, of seeds in a row.
type Campaign struct {
	FirstSeed uint64
	Events    int // in all
	Fault     Fault
	Workers   int // that play runs at the same time
}

// Failure is a run in which something was violated.
type Failure struct {
	Run        Run
	Violations []Violation
}

// Result is what a campaign has found.
type Result struct {
	Seeds, Events int     // played
	First         Failure // that of the lowest seed; without violations if there is none
	Failed        int     // runs
}

// Runs is the number of seeds.
func (c Campaign) Runs() int { return (c.Events + eventsPerRun - 1) / eventsPerRun }

// NewRun makes the run of a seed.
func (c Campaign) NewRun(seed uint64) Run {
	return Run{Seed: seed, Events: Draw(seed, eventsPerRun), Fault: c.Fault}
}

// Play plays the runs. After the first that fails no further ones are begun.
func (c Campaign) Play() Result {
	var next atomic.Uint64
	var mu sync.Mutex
	var result Result
	var workers sync.WaitGroup
	stopped := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return result.Failed > 0
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

// add counts a run.
func (r *Result) add(run Run, violations []Violation) {
	r.Seeds++
	r.Events += len(run.Events)
	if len(violations) == 0 {
		return
	}
	r.Failed++
	if len(r.First.Violations) == 0 || run.Seed < r.First.Run.Seed {
		r.First = Failure{run, violations}
	}
}
