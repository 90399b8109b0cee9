package overload

import (
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"
	"glenport/internal/testbed/simulation"
	"glenport/scheduler"
)

// Trial restarts most of a fleet at once under load, without damping, with clients that back off, and with
// glenport's concurrency limit, on a virtual clock and over sockets.
type Trial struct {
	Seeds           int // of the simulated form
	Sockets         int // runs of each form over sockets; 0: none
	IgnoringClients float64
	Program         func(damped bool) []string
	Out             io.Writer
}

var dampings = []simulation.Damping{simulation.NoDamping, simulation.Exponential, simulation.Limited}

// Run reports whether glenport recovered in every run, with fewer starts lost than the others.
func (t *Trial) Run(s *scenario.Scenario, dir string) (bool, error) {
	ok := t.runSimulations()
	ok = t.runCalm() && ok
	t.runSchedulerRestarts()
	for i := range t.Sockets {
		held, err := t.compareOnSockets(s, dir, i)
		if err != nil {
			return false, err
		}
		ok = ok && held
	}
	return ok, nil
}

// compareOnSockets plays one run of each damping and reports whether the limit came off best.
func (t *Trial) compareOnSockets(s *scenario.Scenario, dir string, run int) (bool, error) {
	ok := true
	var all []simulation.Recovery
	for _, d := range dampings {
		r, kept, err := t.runSockets(s, filepath.Join(dir, fmt.Sprintf("%s-%d", d, run)), d, uint64(run))
		if err != nil {
			return false, err
		}
		report.Printf(t.Out, "sockets, %d placers, damping %-11s: %s\n", s.Schedulers, d, r)
		all = append(all, r)
		ok = ok && kept
	}
	limited := all[len(all)-1]
	ok = ok && limited.SecondsToRecover >= 0
	for _, other := range all[:len(all)-1] {
		ok = ok && limited.Lost < other.Lost
	}
	return ok, nil
}

// The simulated fleet and its restart.
const (
	simulatedMachines  = 24
	simulatedRestart   = 20
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

// simulatedRuns collects the runs of one share of ignoring clients.
type simulatedRuns struct {
	mu         sync.Mutex
	recoveries map[simulation.Damping][]simulation.Recovery
	actions    int
	scheduled  int // retries at the time that the limiter gave
	admitted   int // of these, those for which there was room
}

func (r *simulatedRuns) add(s *simulation.Simulation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recoveries[s.Damping] = append(r.recoveries[s.Damping], simulation.EvaluateRecovery(s.Goodput(), simulatedRestartAt))
	r.actions += s.Actions
	r.scheduled += s.ScheduledRetries
	r.admitted += s.AdmittedRetries
}

func (r *simulatedRuns) meanLost(d simulation.Damping) float64 { return meanLost(r.recoveries[d]) }

// runSimulations plays the simulation for each seed and damping; the dampings of a seed have the same clients.
func (t *Trial) runSimulations() bool {
	ok := true
	for _, ignoring := range []float64{0, t.IgnoringClients} {
		began := time.Now()
		runs := t.simulateDampings(ignoring)
		for _, d := range dampings {
			never := t.printRecoveries(ignoring, d, runs.recoveries[d])
			ok = ok && (d != simulation.Limited || never == 0)
		}
		report.Printf(
			t.Out,
			"simulated: %d actions of the modules in %.1f s; %d appointments kept, at %.0f%% of them there was room\n",
			runs.actions,
			time.Since(began).Seconds(),
			runs.scheduled,
			100*float64(runs.admitted)/float64(max(1, runs.scheduled)),
		)
		ok = ok && runs.meanLost(simulation.Limited) < min(runs.meanLost(simulation.NoDamping), runs.meanLost(simulation.Exponential))
	}
	return ok
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

// printRecoveries prints the runs of one damping and returns in how many goodput never recovered.
func (t *Trial) printRecoveries(ignoring float64, d simulation.Damping, recoveries []simulation.Recovery) (never int) {
	var seconds []int
	for _, r := range recoveries {
		if r.SecondsToRecover < 0 {
			never++
		} else {
			seconds = append(seconds, r.SecondsToRecover)
		}
	}
	when := "none came back"
	if len(seconds) > 0 {
		when = fmt.Sprintf("back after %d to %d s", slices.Min(seconds), slices.Max(seconds))
	}
	report.Printf(
		t.Out,
		"simulated, %d of %d machines restart, %3.0f%% of the clients ignore advice, damping %-11s: %s, metastable in %d of %d; %.0f "+
			"starts in time lost on average\n",
		simulatedRestart,
		simulatedMachines,
		100*ignoring,
		d,
		when,
		never,
		len(recoveries),
		meanLost(recoveries),
	)
	return never
}

// runSchedulerRestarts restarts all schedulers two seconds after the machines are back, with and without the state of
// their limiters.
func (t *Trial) runSchedulerRestarts() {
	for _, drop := range []bool{false, true} {
		s := restartSimulation(1, simulation.Limited)
		s.SchedulersRestartAt, s.DropLimiterState = 14*scheduler.Second, drop
		s.Run()
		report.Printf(t.Out, "simulated, all placers die in the storm, what the doors knew is kept %-5v: %s\n", !drop,
			simulation.EvaluateRecovery(s.Goodput(), simulatedRestartAt))
	}
}

// calmRun counts the containers of a run without a fault.
type calmRun struct{ inTime, submitted, shed int }

func runCalm(d simulation.Damping) (run calmRun) {
	s := &simulation.Simulation{
		Seed:       5,
		Schedulers: 3,
		Machines:   simulatedMachines,
		Rate:       700,
		Length:     120 * scheduler.Second,
		Damping:    d,
	}
	s.Run()
	for _, second := range s.Seconds {
		run.inTime += second.Placed
		run.submitted += second.Submitted
		run.shed += second.Shed
	}
	return run
}

func (r calmRun) share() float64 { return float64(r.inTime) / float64(r.submitted) }

// runCalm plays an ordinary time without and with the limit: it must shed next to nothing and cost no start within the
// latency objective.
func (t *Trial) runCalm() bool {
	without, with := runCalm(simulation.NoDamping), runCalm(simulation.Limited)
	report.Printf(
		t.Out,
		"simulated, calm: %d asked, %d turned away; starts in time %.2f%% without the door, %.2f%% with it\n",
		with.submitted,
		with.shed,
		100*without.share(),
		100*with.share(),
	)
	return 1-with.share()/without.share() < 0.01
}

func meanLost(recoveries []simulation.Recovery) (lost float64) {
	for _, r := range recoveries {
		lost += r.Lost / float64(len(recoveries))
	}
	return lost
}

// The restart over sockets.
const (
	socketRestart   = 20 // machines
	socketRestartAt = 10 // seconds
	socketDownFor   = 1500 * time.Millisecond
)

// runSockets plays it with real schedulers; kept reports whether the rules were kept and no machine was overloaded.
func (t *Trial) runSockets(
	s *scenario.Scenario,
	dir string,
	d simulation.Damping,
	seed uint64,
) (r simulation.Recovery, kept bool, err error) {
	c, err := cluster.Start(s.Spec, dir, t.Program(d == simulation.Limited))
	if err != nil {
		return r, false, err
	}
	defer c.Shutdown()
	began := time.Now()
	measured := newGoodputMeter(c, began, int(s.Length.Seconds()))
	c.Clients.OnPlaced = measured.placed
	c.Clients.Backoff = clientBackoff(d, rand.New(rand.NewPCG(seed, 8)))
	c.Clients.Start(s.Rate, s.Seed+seed)
	time.Sleep(time.Until(began.Add(socketRestartAt * time.Second)))
	if err := restartFor(c.Machines[:socketRestart], socketDownFor); err != nil {
		return r, false, err
	}
	time.Sleep(time.Until(began.Add(s.Length)))
	c.Clients.SetRate(0)
	c.WaitForReplies(s.Settle)
	overloaded := c.CountOverloaded()
	tally := c.Clients.Close()
	findings, err := c.CloseAndAudit()
	if err != nil {
		return r, false, err
	}
	report.Violations(t.Out, findings)
	report.Printf(
		t.Out,
		"  %d submitted (%d again), %d placed, %d pushed back, %d turned away, %d given up; %d machines pushed over, cold ones at most at "+
			"%d of %d\n",
		tally.Submitted,
		tally.Retried,
		tally.Placed,
		tally.Rejected,
		tally.NotAdmitted,
		tally.Failed,
		overloaded,
		findings.SlowStartPeak,
		findings.SlowStartBudget,
	)
	return simulation.EvaluateRecovery(measured.perSecond, socketRestartAt), findings.Passed() && overloaded == 0, nil
}

func restartFor(machines []*emulator.Machine, down time.Duration) error {
	for _, m := range machines {
		m.Crash()
	}
	time.Sleep(down)
	for _, m := range machines {
		if err := m.Start(false); err != nil {
			return err
		}
	}
	return nil
}

// goodputMeter counts, in each second, what was placed within its latency objective.
type goodputMeter struct {
	classes   []scheduler.WorkloadClass
	began     time.Time
	mu        sync.Mutex
	perSecond []float64
}

func newGoodputMeter(c *cluster.Cluster, began time.Time, seconds int) *goodputMeter {
	return &goodputMeter{classes: c.Config.Policy.WorkloadClasses, began: began, perSecond: make([]float64, seconds)}
}

func (g *goodputMeter) placed(class int, took time.Duration) {
	objective := time.Duration(g.classes[class].LatencyObjective) * process.Tick
	if second := int(time.Since(g.began).Seconds()); took <= objective && second < len(g.perSecond) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.perSecond[second]++
	}
}

// clientBackoff returns how long a client waits before it retries. It is called under the clients' lock.
func clientBackoff(d simulation.Damping, random *rand.Rand) func(tries int, retryAfter time.Duration) time.Duration {
	return func(tries int, retryAfter time.Duration) time.Duration {
		switch {
		case d == simulation.Exponential || d == simulation.Limited && retryAfter == 0:
			span := 200 * time.Millisecond << min(tries+1, 7)
			return span/2 + time.Duration(random.Int64N(int64(span/2)))
		case d == simulation.Limited:
			return retryAfter
		}
		return 50*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond)))
	}
}
