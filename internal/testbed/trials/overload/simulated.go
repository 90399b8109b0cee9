package overload

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"glenport/internal/testbed/simulation"
	"glenport/scheduler"
)

// The simulated cluster and its restart.
const (
	simulatedMachines  = 24
	simulatedRestart   = 20 // machines that restart
	simulatedRestartAt = 10 // seconds
)

func restartSimulation(seed uint64, damping simulation.Damping) *simulation.Simulation {
	return &simulation.Simulation{
		Seed:       seed,
		Schedulers: 3,
		Machines:   simulatedMachines,
		Rate:       1200,
		Length:     60 * scheduler.Second,
		Damping:    damping,
		Restart:    simulatedRestart,
		RestartAt:  simulatedRestartAt * scheduler.Second,
		DownFor:    2 * scheduler.Second,
	}
}

// simulatedRuns collects the results of the runs with one share of clients that ignore retry-after.
type simulatedRuns struct {
	mu               sync.Mutex
	recoveries       map[simulation.Damping][]simulation.Recovery
	actions          int
	scheduledRetries int // retries at the time that the limiter set
	admittedRetries  int // scheduled retries that the limiter admitted
}

func (r *simulatedRuns) add(s *simulation.Simulation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recovery := simulation.EvaluateRecovery(s.Goodput(), simulatedRestartAt)
	r.recoveries[s.Damping] = append(r.recoveries[s.Damping], recovery)
	r.actions += s.Actions
	r.scheduledRetries += s.ScheduledRetries
	r.admittedRetries += s.AdmittedRetries
}

func (r *simulatedRuns) meanLost(d simulation.Damping) float64 { return meanLost(r.recoveries[d]) }

func meanLost(recoveries []simulation.Recovery) (lost float64) {
	for _, r := range recoveries {
		lost += r.Lost / float64(len(recoveries))
	}
	return lost
}

// runSimulations runs the simulation for each seed and damping. All dampings of a seed have the same clients.
func (t *Trial) runSimulations() error {
	for _, ignoring := range []float64{0, t.IgnoringClients} {
		began := time.Now()
		runs := t.simulateDampings(ignoring)
		for _, d := range dampings {
			unrecovered := t.printRecoveries(ignoring, d, runs.recoveries[d])
			if d == simulation.Limited && unrecovered > 0 {
				t.Failf("with the limit goodput did not recover in %d runs", unrecovered)
			}
		}
		t.Printf(
			"simulated: %d actions in %.1f s; %d retries at the scheduled time, %.0f%% of them admitted\n",
			runs.actions, time.Since(began).Seconds(),
			runs.scheduledRetries, 100*float64(runs.admittedRetries)/float64(max(1, runs.scheduledRetries)),
		)
		limited := runs.meanLost(simulation.Limited)
		if least := min(runs.meanLost(simulation.NoDamping), runs.meanLost(simulation.Exponential)); limited >= least {
			t.Failf("%.0f starts lost on average with the limit, %.0f without it", limited, least)
		}
	}
	return nil
}

func (t *Trial) simulateDampings(ignoring float64) *simulatedRuns {
	runs := &simulatedRuns{recoveries: map[simulation.Damping][]simulation.Recovery{}}
	for seed := range t.Seeds {
		var simulating sync.WaitGroup
		for _, d := range dampings {
			simulating.Go(func() {
				s := restartSimulation(uint64(seed+1), d)
				s.IgnoringClients = ignoring
				s.Run()
				runs.add(s)
			})
		}
		simulating.Wait()
	}
	return runs
}

// printRecoveries prints the runs of one damping. It returns the number of runs in which goodput never recovered.
func (t *Trial) printRecoveries(
	ignoring float64, d simulation.Damping, recoveries []simulation.Recovery,
) (unrecovered int) {
	var seconds []int
	for _, r := range recoveries {
		if r.SecondsToRecover < 0 {
			unrecovered++
		} else {
			seconds = append(seconds, r.SecondsToRecover)
		}
	}
	when := "none recovered"
	if len(seconds) > 0 {
		when = fmt.Sprintf("recovered after %d to %d s", slices.Min(seconds), slices.Max(seconds))
	}
	t.Printf("simulated, %d of %d machines restart, %3.0f%% of the clients ignore retry-after, damping %-11s: "+
		"%s, metastable in %d of %d; %.0f starts within the latency objective lost on average\n",
		simulatedRestart, simulatedMachines, 100*ignoring, d,
		when, unrecovered, len(recoveries), meanLost(recoveries))
	return unrecovered
}

// runSchedulerRestarts restarts all schedulers two seconds after the machines have restarted. One run restores the
// state of the schedulers' limiters, the other drops it.
func (t *Trial) runSchedulerRestarts() error {
	for _, state := range []string{"restored", "dropped"} {
		s := restartSimulation(1, simulation.Limited)
		s.SchedulersRestartAt, s.DropLimiterState = 14*scheduler.Second, state == "dropped"
		s.Run()
		t.Printf("simulated, all schedulers restart under overload, state of the limiters %s: %s\n", state,
			simulation.EvaluateRecovery(s.Goodput(), simulatedRestartAt))
	}
	return nil
}
