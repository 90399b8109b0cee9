// Package simulation runs the decisions of schedulers on a virtual clock, with simple models of machines and clients.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"glenport/scheduler"
)

// Simulation is a cluster on a virtual clock. It runs the real decisions and concurrency limiters of many schedulers
// with simple models of machines, connections and clients. The outcome is determined by the seed.
type Simulation struct {
	Seed            uint64
	Schedulers      int
	Machines        int
	Rate            float64 // first tries per second, of all clients
	Length          scheduler.Time
	Damping         Damping
	IgnoringClients float64 // fraction of the containers whose client ignores retry-after and does not back off
	// Restart is how many machines go down together at RestartAt. They come back, in slow start, after DownFor.
	Restart   int
	RestartAt scheduler.Time
	DownFor   scheduler.Time
	// SchedulersRestartAt is when all schedulers restart; 0: they do not restart. With DropLimiterState, they restart
	// without the state of their limiters.
	SchedulersRestartAt scheduler.Time
	DropLimiterState    bool

	now       scheduler.Time
	seq       uint64
	events    simEvents
	rng       *rand.Rand
	config    scheduler.Config
	instances []*simScheduler
	fleet     []*simMachine
	byID      map[scheduler.MachineID]*simMachine
	nextID    int

	Seconds []SimSecond
	Actions int
	// ScheduledRetries counts the tries that came at the time that a limiter gave. AdmittedRetries counts how many of
	// these tries were admitted.
	ScheduledRetries, AdmittedRetries int
}

// Damping selects how schedulers and clients limit overload.
type Damping uint8

const (
	// NoDamping means that clients retry after a short random delay.
	NoDamping Damping = iota
	// Exponential means that clients back off exponentially, with jitter.
	Exponential
	// Limited means that schedulers limit concurrency and clients obey the retry-after that they are given.
	Limited
)

func (d Damping) String() string { return [...]string{"none", "exponential", "glenport"}[d] }

// SimSecond counts, for the containers whose first try was in one second, the results of all their tries. Retried and
// Placed are counted in the second in which they happen.
type SimSecond struct {
	Submitted, Retried, InTime, Late, Shed, Rejected, Failed, Abandoned int
	// Placed counts the containers placed in this second within the latency objective, whenever their first try was.
	Placed int
}

// simEvent is a function to call at a virtual time.
type simEvent struct {
	at  scheduler.Time
	seq uint64
	do  func()
}

// simEvents is a heap of events with the earliest on top.
type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any) {
	event, _ := x.(simEvent) // schedule pushes no other type
	*h = append(*h, event)
}

func (h *simEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// schedule calls do after a span of virtual time. Calls due at the same time are made in the order of scheduling.
func (sim *Simulation) schedule(span scheduler.Time, do func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{sim.now + max(0, span), sim.seq, do})
}

const (
	simLatency         = 5 // latency of a message, in tenths of a millisecond
	simServices        = 60
	simCores           = 0.5 // cores of a container
	simSlowStartBudget = 60  // slow-start budget of a machine in a window, from all schedulers
)

// The workload classes of simConfig.
const (
	simIdempotent = iota
	simIdempotentWithKey
	simAtMostOnce
)

// simConfig is the configuration of a small site.
func simConfig(schedulers int) scheduler.Config {
	const objective, timeout, anyMachine = 300 * scheduler.Millisecond, 4 * scheduler.Second, -1
	return scheduler.Config{
		SchedulerCount:     schedulers,
		CoresOvercommit:    2,
		MemoryOvercommit:   1.5,
		MeanCores:          1,
		MeanMemory:         2,
		AcceptMeansRunning: true,
		ListTracksRequests: false,
		ProbesAllowed:      true,
		MaxAttempts:        4,
		AnswerGrace:        50 * scheduler.Millisecond,
		ResyncInterval:     10 * scheduler.Second,
		SlowStartPeriod:    10 * scheduler.Second,
		SlowStartWindow:    scheduler.Second,
		SlowStartBudget:    simSlowStartBudget,
		MachineTypes:       []scheduler.MachineType{{Cores: 48, Memory: 120}},
		WorkloadClasses: []scheduler.WorkloadClass{
			simIdempotent: {
				Idempotency:      scheduler.Idempotent,
				LatencyObjective: objective,
				PlacementTimeout: timeout,
				MachineType:      anyMachine,
				PriorityWeight:   1,
			},
			simIdempotentWithKey: {
				Idempotency:      scheduler.IdempotentWithKey,
				DedupScope:       scheduler.ScopeZone,
				DedupWindow:      4 * scheduler.Second,
				LatencyObjective: objective,
				PlacementTimeout: timeout,
				MachineType:      anyMachine,
				PriorityWeight:   2,
			},
			simAtMostOnce: {
				Idempotency:      scheduler.AtMostOnce,
				LatencyObjective: 500 * scheduler.Millisecond,
				PlacementTimeout: timeout,
				MachineType:      anyMachine,
				PriorityWeight:   4,
			},
		},
	}
}

// Run runs the simulation to its end.
func (sim *Simulation) Run() {
	sim.rng = rand.New(rand.NewPCG(sim.Seed, 41))
	sim.config = simConfig(sim.Schedulers)
	sim.byID = map[scheduler.MachineID]*simMachine{}
	sim.Seconds = make([]SimSecond, int(sim.Length/scheduler.Second)+1)
	for i := range sim.Machines {
		m := &simMachine{simulation: sim, id: scheduler.MachineID(fmt.Sprintf("m%05d", i)), up: true, incarnation: 1}
		sim.fleet, sim.byID[m.id] = append(sim.fleet, m), m
	}
	for i := range sim.Schedulers {
		config := sim.config
		config.SchedulerIndex, config.Seed = i, sim.Seed*1000+uint64(i)
		instance := &simScheduler{simulation: sim, config: config}
		sim.instances = append(sim.instances, instance)
		instance.start()
	}
	if sim.SchedulersRestartAt > 0 {
		sim.schedule(sim.SchedulersRestartAt, func() {
			for _, instance := range sim.instances {
				instance.restart()
			}
		})
	}
	sim.schedule(0, sim.submitNext)
	if sim.Restart > 0 {
		sim.schedule(sim.RestartAt, func() { sim.restartMachines() })
	}
	for len(sim.events) > 0 && sim.events[0].at <= sim.Length {
		e, _ := heap.Pop(&sim.events).(simEvent) // the heap holds no other type
		sim.now = e.at
		e.do()
	}
}

// machineList returns the machine-list entries of some machines, or of all if only is nil.
func (sim *Simulation) machineList(only map[scheduler.MachineID]bool) []scheduler.MachineEntry {
	var all []scheduler.MachineEntry
	for i, m := range sim.fleet {
		if only != nil && !only[m.id] {
			continue
		}
		s := scheduler.MachineServing
		if !m.up {
			s = scheduler.MachineGone
		}
		all = append(
			all,
			scheduler.MachineEntry{Machine: m.id, Zone: i % 3, RackGroup: i / 4, State: s, StartedAt: m.startedAt},
		)
	}
	return all
}

// restartMachines takes machines down together and brings them back. The machine list reports both with a delay.
func (sim *Simulation) restartMachines() {
	crashed := map[scheduler.MachineID]bool{}
	for i := range min(sim.Restart, len(sim.fleet)) {
		m := sim.fleet[i]
		crashed[m.id] = true
		m.crash()
	}
	report := func() {
		for _, instance := range sim.instances {
			instance.handle(scheduler.MachineListUpdate{Mode: scheduler.DeltaUpdate, Entries: sim.machineList(crashed)})
		}
	}
	sim.schedule(scheduler.Second, report)
	sim.schedule(sim.DownFor, func() {
		for i := range min(sim.Restart, len(sim.fleet)) {
			m := sim.fleet[i]
			m.up, m.startedAt = true, sim.now
			m.incarnation++
		}
		sim.schedule(scheduler.Second/4, report)
	})
}

// Goodput returns how many containers were placed within the latency objective in each whole second.
func (sim *Simulation) Goodput() []float64 {
	var perSecond []float64
	for _, s := range sim.Seconds[:len(sim.Seconds)-1] {
		perSecond = append(perSecond, float64(s.Placed))
	}
	return perSecond
}
