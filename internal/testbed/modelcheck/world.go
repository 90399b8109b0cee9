package modelcheck

import (
	"strings"

	"glenport/scheduler"
)

// Decider is a scheduler's decisions, or a wrapper that breaks a rule.
type Decider interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

// Step is how far each event advances the clock.
const Step = 20 * scheduler.Millisecond

// World describes a tiny fleet with its schedulers.
type World struct {
	Config       scheduler.Config
	Schedulers   int
	DrainGrace   scheduler.Time
	Machines     []scheduler.MachineEntry
	Requests     []scheduler.PlacementRequest // each Deadline is relative to the arrival of the request
	Events       []string                     // the events to order, written as the eventKind constants describe
	Batches      bool                         // two events may also be delivered in one batch
	NewScheduler func(config scheduler.Config) Decider
}

// Result is the result of playing all sequences.
type Result struct {
	Sequences, Events, Attempts int
	FailingSequence             string   // the first sequence that breaks a rule, in the format of Replay
	Violations                  []string // of that sequence
}

// Run plays every sequence of up to depth events. It stops at the first that breaks a rule.
func Run(world World, depth int) Result {
	var result Result
	EnumeratePaths(depth, func(path []int) ([]int, bool) {
		s := newSimulation(world)
		widths, played, violations := s.playPath(path)
		result.Sequences++
		result.Events += len(played)
		result.Attempts += s.checker.attemptsChecked
		if len(violations) > 0 {
			result.FailingSequence, result.Violations = strings.Join(played, sequenceSeparator), violations
		}
		return widths, len(violations) == 0
	})
	return result
}

// EnumeratePaths calls play for every path of up to depth choices, until play returns false. play also returns how many
// choices there were at each step.
func EnumeratePaths(depth int, play func(path []int) (widths []int, proceed bool)) {
	path := make([]int, depth)
	for {
		widths, proceed := play(path)
		last := len(widths) - 1
		for last >= 0 && path[last]+1 >= widths[last] {
			last--
		}
		if !proceed || last < 0 {
			return
		}
		path[last]++
		clear(path[last+1:])
	}
}

// Replay plays one sequence in the format of Result.FailingSequence, and returns its violations.
func Replay(world World, sequence string) []string {
	s := newSimulation(world)
	for text := range strings.SplitSeq(sequence, sequenceSeparator) {
		s.apply(parseEvent(text))
	}
	s.finish()
	return s.checker.Violations
}
