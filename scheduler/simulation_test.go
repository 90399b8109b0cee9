package scheduler

import "slices"

// random is SplitMix64: the sequences must not depend on the scheduler's own generator.
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

// simulatedFault is how a simulated machine treats attempts.
type simulatedFault uint8

const (
	healthy simulatedFault = iota
	unreachable
	silent
	erroring
	failsOneClass  // no answer to one workload class
	failsOneTenant // "full" without a reason to one tenant
	resetting      // accepts, then loses its containers
	drainingItself // refuses and sends away, before the machine list has it
	refusing       // always full
	faults
)

// sequenceOptions say what a sequence is about.
type sequenceOptions struct {
	config           Config
	machines         int
	services         int
	arrival          Time    // mean time between requests
	size             float64 // mean cores of a request
	runtime          Time    // mean
	faults           []simulatedFault
	faultyRatio      float64 // part of the machines with a fault
	unansweredRatio  float64 // part of the attempts without any outcome
	churn            Time    // mean time between changes of the fleet
	restarts         bool    // of the scheduler
	invalid          bool    // invalid events too
	retryRatio       float64 // part of the rejected requests that come again
	listFailureRatio float64 // part of the polls
	oneClass         bool    // the machines fail the same class

	selfReports bool // machines report their starts themselves
}

// simulatedCluster answers the scheduler's actions.
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
	ids            []ContainerID // of all containers so far
	version        int64
	incarnation    int // of the scheduler; attempts and timers of earlier ones are void
}

// scheduledStep is something that happens at a time; besides returning events it may change the world.
type scheduledStep struct {
	at     Time
	number int
	run    func() []Event
}

type simulatedMachine struct {
	entry         MachineEntry
	fault         simulatedFault
	class, tenant int // that it fails
	used          float64
	memory        float64
}

type simulatedContainer struct {
	request PlacementRequest
	attempt int
	at      *simulatedMachine
	running bool
	ended   bool
}

func runSequence(d *digest, seed uint64, g goldenGroup) {
	r := &random{seed}
	o := drawOptions(r)
	g.adjust(r, o)
	d.timers = map[string]uint64{}
	w := &simulatedCluster{
		sequenceOptions: o,
		random:          r,
		digest:          d,
		scheduler:       New(o.config),
		now:             pick(r, 0, Time(r.below(1_000_000))),
		byID:            map[MachineID]*simulatedMachine{},
		containers:      map[ContainerID]*simulatedContainer{},
	}
	for range o.machines {
		w.addMachine(0)
	}
	w.start()
	w.after(0, w.arrive)
	w.after(r.span(0, 2*o.churn), w.change)
	if o.restarts {
		w.after(r.span(Second, 10*Second), w.restart)
	}
	if o.invalid {
		w.after(Second/10, w.invalidEvents)
	}
	end := w.now + pick(r,
		r.span(Second, 4*Second), r.span(Second, 4*Second), r.span(Second, 4*Second), r.span(6*Second, 16*Second))
	for len(w.queue) > 0 && w.queue[0].at < end {
		w.step()
	}
	w.digest.fold(snapshotOrdinal, w.scheduler.Snapshot())
}

// step carries out what is due next, and sometimes what follows soon after in the same batch.
func (w *simulatedCluster) step() {
	w.now = max(w.now, w.queue[0].at)
	if w.random.chance(0.2) {
		w.now += w.random.span(0, 20*Millisecond)
	}
	var events []Event
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		next := w.queue[0]
		w.queue = w.queue[1:]
		events = append(events, next.run()...)
	}
	w.handle(events)
	switch {
	case w.random.chance(0.03):
		w.digest.fold(explanationOrdinal, w.scheduler.Explain(w.request()))
	case w.random.chance(0.01):
		w.digest.fold(snapshotOrdinal, w.scheduler.Snapshot())
	}
}

func (w *simulatedCluster) handle(events []Event) {
	actions := w.scheduler.Handle(w.now, events)
	w.digest.batch(w.now, actions)
	for _, a := range actions {
		w.applyAction(a)
	}
}

func (w *simulatedCluster) after(span Time, run func() []Event) {
	s := scheduledStep{w.now + max(0, span), w.scheduledCount, run}
	w.scheduledCount++
	i, _ := slices.BinarySearchFunc(w.queue, s, func(a, b scheduledStep) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.number - b.number
	})
	w.queue = slices.Insert(w.queue, i, s)
}

// afterUnlessRestarted drops what was meant for an earlier incarnation of the scheduler.
func (w *simulatedCluster) afterUnlessRestarted(span Time, run func() []Event) {
	incarnation := w.incarnation
	w.after(span, func() []Event {
		if w.incarnation != incarnation {
			return nil
		}
		return run()
	})
}
