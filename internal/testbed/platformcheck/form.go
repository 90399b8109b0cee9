package platformcheck

import "time"

// worldForm is what differs between the worlds of two seeds beside their events and their chance: the settings that the
// process is given.
type worldForm struct {
	deadline time.Duration // the longest time that clients wait
	spread   []spreadLimit // by workload class
}

// deadlines are the longest times that clients wait, one of them in each run.
var deadlines = [...]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}

// spreadForms are the limits of the classes, one row of them in each run.
var spreadForms = [...][]spreadLimit{
	{{}, {}, {}},
	{{scopeMachine, 1}, {scopeMachine, 1}, {scopeMachine, 1}},
	{{scopeRackGroup, 1}, {scopeRackGroup, 2}, {scopeRackGroup, 2}},
	{{scopeZone, 2}, {scopeZone, 2}, {scopeZone, 3}},
	{{scopeMachine, 2}, {scopeRackGroup, 1}, {scopeZone, 1}},
}

// formCount is the number of forms. Seeds that differ by it have the same one.
const formCount = len(deadlines) * len(spreadForms)

// formOf is the form of a seed. The numbers of its parts have no common divisor, so that each meets each.
func formOf(seed uint64) worldForm {
	return worldForm{
		deadline: deadlines[seed%uint64(len(deadlines))],
		spread:   spreadForms[seed%uint64(len(spreadForms))],
	}
}
