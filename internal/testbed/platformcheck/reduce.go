package platformcheck

import (
	"math/rand/v2"
	"slices"
)

// variations is how many variations of the others are tried before an event counts as needed: what it does may be no
// more than to shift the chance of the rest.
const variations = 40

// Reduce returns the run with the shortest list of events that it finds by which the same rule is broken first; its
// seed may be another one, and so may be the amounts of its events. Without violations the run did not fail at all. It
// is delta debugging: halves, quarters and so on are left out, down to single events.
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

// withoutPart returns the failure without the first of its parts that it can do without; false where it needs them
// all.
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

// varied returns the run with another seed of the same form, and another amount in one event.
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
