package platformcheck

import "time"

// worldParams is what differs between the worlds of two seeds beside their events and their chance: the settings that the
// process is given.
type worldParams struct {
	machines    int           // at the begin
	descriptors int           // that the process may have
	deadline    time.Duration // the longest time that clients wait
	spread      []spreadLimit // by workload class
	slowStart   slowStart
}

// deadlines are the longest times that clients wait, one of them in each run.
var deadlines = [...]time.Duration{300 * ms, 1500 * ms, 4000 * ms}

// spreadChoices are the limits of the classes, one row of them in each run.
var spreadChoices = [...][]spreadLimit{
	{{}, {}, {}},
	{{scopeMachine, 1}, {scopeMachine, 1}, {scopeMachine, 1}},
	{{scopeRackGroup, 1}, {scopeRackGroup, 2}, {scopeRackGroup, 2}},
	{{scopeZone, 2}, {scopeZone, 2}, {scopeZone, 3}},
	{{scopeMachine, 2}, {scopeRackGroup, 1}, {scopeZone, 1}},
}

// slowStartChoices are the settings of slow start, one of them in each run. With a short window, connections come up
// within a sixteenth of it, so that an eighth covers an offer's way; the last form is as sites have it.
var slowStartChoices = [...]slowStart{
	{schedulers: 1, budget: 30, window: 3000 * ms, period: 2000 * ms, connectTimeout: 250 * ms},
	{schedulers: 1, budget: 1, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 1, budget: 3, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 3, index: 1, budget: 4, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 5, index: 2, budget: 3, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 2, index: 1, budget: 5, window: 800 * ms, period: 5000 * ms, connectTimeout: 50 * ms},
	{schedulers: 1, budget: 1, window: 1500 * ms, period: 8000 * ms, connectTimeout: 250 * ms},
}

// descriptorLimits are how many descriptors the process may have, one of them in each run.
var descriptorLimits = [...]int{96, 64}

const (
	fewMachines  = 6
	manyMachines = 300
	manyOneIn    = 11 // runs that begin with manyMachines

	// paramCombinations is the number of forms. Seeds that differ by it have the same one.
	paramCombinations = len(deadlines) * len(spreadChoices) * len(slowStartChoices) * len(descriptorLimits) * manyOneIn
)

// paramsOf is the form of a seed. The numbers of its parts have no common divisor, so that each meets each.
func paramsOf(seed uint64) worldParams {
	machines := fewMachines
	if seed%manyOneIn == manyOneIn-1 {
		machines = manyMachines
	}
	return worldParams{
		machines:    machines,
		descriptors: descriptorLimits[seed%uint64(len(descriptorLimits))],
		deadline:    deadlines[seed%uint64(len(deadlines))],
		spread:      spreadChoices[seed%uint64(len(spreadChoices))],
		slowStart:   slowStartChoices[seed%uint64(len(slowStartChoices))],
	}
}
