package platformcheck

import (
	"math/rand/v2"
	"slices"
)

// variations is the number of variations of the other events that are tried before an event counts as needed. An event
// may matter only because it shifts the random numbers of the other events.
const variations = 40

// Reduce returns the run with the shortest list of events that it finds whose first violation is of the same rule. Its
// seed and the amounts of its events may differ from those of the original run. The result has no violations if the run
// did not fail. Reduce uses delta debugging: it leaves out halves, quarters and so on, down to single events.
func Reduce(run Run) Failure {
	run.Trace = nil
	found := Failure{run, Play(run)}
	if len(found.Violations) == 0 {
		return found
	}
	for parts := 2; len(found.Run.Events) > 0; {
		count := len(found.Run.Events)
		parts = min(parts, count)
		tries := 1
		if parts == count {
			tries += variations
		}
		shorter, ok := found.withoutPart(parts, tries)
		switch {
		case ok:
			found = shorter
		case parts == count:
			return found
		default:
			parts *= 2
		}
	}
	return found
}

// withoutPart splits the events into parts and returns a failure without the first part that is not needed. It returns
// false if all parts are needed.
func (f Failure) withoutPart(parts, tries int) (Failure, bool) {
	all := f.Run.Events
	size := (len(all) + parts - 1) / parts
	for begin := 0; begin < len(all); begin += size {
		run := f.Run
		run.Events = slices.Concat(all[:begin], all[min(begin+size, len(all)):])
		for try := range tries {
			if violations := Play(run); len(violations) > 0 && violations[0].Rule == f.Violations[0].Rule {
				return Failure{run, violations}, true
			}
			run = run.varied(uint64(try))
		}
	}
	return f, false
}

// varied returns the run with another seed of the same parameters, and with another amount in one event.
func (r Run) varied(number uint64) Run {
	r.Seed += uint64(paramCombinations)
	if len(r.Events) == 0 {
		return r
	}
	random := rand.New(rand.NewPCG(r.Seed, number))
	r.Events = slices.Clone(r.Events)
	r.Events[random.IntN(len(r.Events))].Amount = random.Uint32()
	return r
}
