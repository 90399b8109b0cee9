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
	faults
)

// sequenceOptions are the parameters of a sequence.
type sequenceOptions struct {
	config           Config
	machines         int
	services         int
	arrival          Time    // mean time between requests
	size             float64 // mean cores of a request
	runtime          Time    // mean runtime of a container
	faults           []simulatedFault
	faultyRatio      float64 // share of machines with a fault
	unansweredRatio  float64 // share of attempts without any outcome
	churn            Time    // mean time between fleet changes
	restarts         bool    // the scheduler restarts
	invalid          bool    // the sequence has invalid events
	retryRatio       float64 // share of rejected requests that the client retries
	listFailureRatio float64 // share of polls that fail
	oneClass         bool    // machines that fail a class all fail the same one

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
	ids            []ContainerID // of all containers so far
	version        int64
	incarnation    int // of the scheduler; attempts and timers of earlier ones are dropped
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
	class, tenant int // failed by failsOneClass and failsOneTenant
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

// step runs the steps that are due next in one batch, sometimes together with those that follow shortly after.
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

// afterUnlessRestarted schedules a step that is dropped if the scheduler restarts before.
func (w *simulatedCluster) afterUnlessRestarted(span Time, run func() []Event) {
	incarnation := w.incarnation
	w.after(span, func() []Event {
		if w.incarnation != incarnation {
			return nil
		}
		return run()
	})
}
