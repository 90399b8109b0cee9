package platformcheck

import "time"

// worldParams holds the parameters of a run that its seed selects, apart from the events and the random numbers: the
// number of machines and the settings and limits of the process.
type worldParams struct {
	machines    int           // at the start of the run
	descriptors int           // limit of the process
	deadline    time.Duration // of the requests of clients
	spread      []spreadLimit // by workload class
	slowStart   slowStart
}

// deadlines are the choices for the deadline of requests.
var deadlines = [...]time.Duration{300 * ms, 1500 * ms, 4000 * ms}

// spreadChoices are the choices for the spread limits, with one limit for each workload class.
var spreadChoices = [...][]spreadLimit{
	{{}, {}, {}},
	{{scopeMachine, 1}, {scopeMachine, 1}, {scopeMachine, 1}},
	{{scopeRackGroup, 1}, {scopeRackGroup, 2}, {scopeRackGroup, 2}},
	{{scopeZone, 2}, {scopeZone, 2}, {scopeZone, 3}},
	{{scopeMachine, 2}, {scopeRackGroup, 1}, {scopeZone, 1}},
}

// slowStartChoices are the choices for the settings of slow start. Where the window is short, the connect timeout is a
// sixteenth of the window, so that an eighth of the window covers the transit of an offer. The last choice has the
// values that sites use.
var slowStartChoices = [...]slowStart{
	{schedulers: 1, budget: 30, window: 3000 * ms, period: 2000 * ms, connectTimeout: 250 * ms},
	{schedulers: 1, budget: 1, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 1, budget: 3, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 3, index: 1, budget: 4, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 5, index: 2, budget: 3, window: 400 * ms, period: 3000 * ms, connectTimeout: 25 * ms},
	{schedulers: 2, index: 1, budget: 5, window: 800 * ms, period: 5000 * ms, connectTimeout: 50 * ms},
	{schedulers: 1, budget: 1, window: 1500 * ms, period: 8000 * ms, connectTimeout: 250 * ms},
}

// descriptorLimits are the choices for the descriptor limit of the process.
var descriptorLimits = [...]int{96, 64}

const (
	fewMachines  = 6
	manyMachines = 300
	manyOneIn    = 11 // one run in so many starts with manyMachines

	// paramCombinations is the number of combinations of parameters. Seeds that differ by it have the same combination.
	paramCombinations = len(deadlines) * len(spreadChoices) * len(slowStartChoices) * len(descriptorLimits) * manyOneIn
)

// paramsOf returns the parameters of a seed. The numbers of choices are pairwise coprime, so that all combinations
// occur.
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
