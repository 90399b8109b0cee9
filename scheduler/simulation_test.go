package scheduler

import "slices"

// random is a SplitMix64 generator. The sequences must not depend on the scheduler's own generator.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	x := r.state
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *random) below(n int) int            { return int(r.next() % uint64(n)) }
func (r *random) float() float64             { return float64(r.next()>>11) / (1 << 53) }
func (r *random) chance(p float64) bool      { return r.float() < p }
func (r *random) span(least, most Time) Time { return least + Time(r.float()*float64(most-least)) }

func pick[T any](r *random, from ...T) T { return from[r.below(len(from))] }

// simulatedFault is the faulty behavior of a simulated machine.
type simulatedFault uint8

const (
	healthy simulatedFault = iota
	unreachable
	silent
	erroring
	failsOneClass  // no answer to one workload class
	failsOneTenant // "full" without a reason to one tenant
	resetting      // accepts, then loses its containers
	drainingItself // refuses containers and sends them away before the machine list shows a drain
	refusing       // always full
	faultCount
)

// sequenceOptions are the parameters of a sequence.
type sequenceOptions struct {
	config            Config
	machines          int
	services          int
	arrivalInterval   Time    // mean time between requests
	size              float64 // mean cores of a request
	runtime           Time    // mean runtime of a container
	faults            []simulatedFault
	faultyRatio       float64 // share of machines with a fault
	unansweredRatio   float64 // share of attempts without any outcome
	changeInterval    Time    // mean time between fleet changes
	restarts          bool    // the scheduler restarts
	withInvalidEvents bool    // the sequence has invalid events
	retryRatio        float64 // share of rejected requests that the client retries
	listFailureRatio  float64 // share of polls that fail
	sameFailingClass  bool    // all machines with the fault failsOneClass fail the same class

	selfReports bool // machines report their starts themselves
}

// simulatedCluster simulates the machines and clients of a scheduler, and answers its actions.
type simulatedCluster struct {
	*sequenceOptions
	random         *random
	digest         *digest
	scheduler      *Scheduler
	now            Time
	queue          []scheduledStep
	scheduledCount int
	machines       []*simulatedMachine
	byID           map[MachineID]*simulatedMachine
	containers     map[ContainerID]*simulatedContainer
	ids            []ContainerID // IDs of all containers so far
	version        int64
	incarnation    int // incarnation of the scheduler; attempts and timers of earlier incarnations are dropped
}

// scheduledStep is a step of the simulation at a time. It returns events and may change the cluster.
type scheduledStep struct {
	at     Time
	number int
	run    func() []Event
}

type simulatedMachine struct {
	entry         MachineEntry
	fault         simulatedFault
	class, tenant int // class and tenant that fail with failsOneClass and failsOneTenant
	usedCores     float64
	usedMemory    float64
}

type simulatedContainer struct {
	request PlacementRequest
	attempt int
	machine *simulatedMachine
	running bool
	ended   bool
}

func runSequence(d *digest, seed uint64, g goldenGroup) {
	r := &random{seed}
	o := drawOptions(r)
	g.adjust(r, o)
	d.timers = map[string]uint64{}
	sim := &simulatedCluster{
		sequenceOptions: o,
		random:          r,
		digest:          d,
		scheduler:       New(o.config),
		now:             pick(r, 0, Time(r.below(1_000_000))),
		byID:            map[MachineID]*simulatedMachine{},
		containers:      map[ContainerID]*simulatedContainer{},
	}
	for range o.machines {
		sim.addMachine(0)
	}
	sim.start()
	sim.after(0, sim.arrive)
	sim.after(r.span(0, 2*o.changeInterval), sim.change)
	if o.restarts {
		sim.after(r.span(Second, 10*Second), sim.restart)
	}
	if o.withInvalidEvents {
		sim.after(Second/10, sim.invalidEvents)
	}
	end := sim.now + pick(r,
		r.span(Second, 4*Second), r.span(Second, 4*Second), r.span(Second, 4*Second), r.span(6*Second, 16*Second))
	for len(sim.queue) > 0 && sim.queue[0].at < end {
		sim.step()
	}
	sim.digest.fold(snapshotOrdinal, sim.scheduler.Snapshot())
}

// step runs the steps that are due next in one batch, sometimes together with steps that are due shortly after.
func (sim *simulatedCluster) step() {
	sim.now = max(sim.now, sim.queue[0].at)
	if sim.random.chance(0.2) {
		sim.now += sim.random.span(0, 20*Millisecond)
	}
	var events []Event
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		events = append(events, next.run()...)
	}
	sim.handle(events)
	switch {
	case sim.random.chance(0.03):
		sim.digest.fold(explanationOrdinal, sim.scheduler.Explain(sim.request()))
	case sim.random.chance(0.01):
		sim.digest.fold(snapshotOrdinal, sim.scheduler.Snapshot())
	}
}

func (sim *simulatedCluster) handle(events []Event) {
	actions := sim.scheduler.Handle(sim.now, events)
	sim.digest.batch(sim.now, actions)
	for _, a := range actions {
		sim.applyAction(a)
	}
}

func (sim *simulatedCluster) after(span Time, run func() []Event) {
	s := scheduledStep{sim.now + max(0, span), sim.scheduledCount, run}
	sim.scheduledCount++
	i, _ := slices.BinarySearchFunc(sim.queue, s, func(a, b scheduledStep) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.number - b.number
	})
	sim.queue = slices.Insert(sim.queue, i, s)
}

// afterUnlessRestarted schedules a step that is dropped if the scheduler restarts before.
func (sim *simulatedCluster) afterUnlessRestarted(span Time, run func() []Event) {
	incarnation := sim.incarnation
	sim.after(span, func() []Event {
		if sim.incarnation != incarnation {
			return nil
		}
		return run()
	})
}
