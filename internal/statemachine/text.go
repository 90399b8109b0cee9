package statemachine

import (
	"fmt"
	"slices"
	"strings"
)

// Transition is one transition as text.
type Transition struct {
	From  string
	Event string // empty for Successors
	To    string
}

// Machine lists the transitions of a Table, of Choices or of Successors.
type Machine interface {
	Transitions() []Transition
}

// Markdown is a machine as a table with a row for each state and event, and with the states that may follow.
func Markdown(machine Machine) string {
	lines := []string{"| state | event | next state |", "| --- | --- | --- |"}
	for _, row := range rows(machine.Transitions()) {
		lines = append(lines, fmt.Sprintf("| %s | %s | %s |", row.from, row.event, strings.Join(row.next, ", ")))
	}
	return strings.Join(lines, "\n")
}

type tableRow struct {
	from, event string
	next        []string
}

func rows(transitions []Transition) []tableRow {
	var all []tableRow
	for _, t := range transitions {
		if last := len(all) - 1; last >= 0 && all[last].from == t.From && all[last].event == t.Event {
			all[last].next = append(all[last].next, t.To)
			continue
		}
		all = append(all, tableRow{t.From, t.Event, []string{t.To}})
	}
	return all
}

// Diagram is a machine as a mermaid state diagram, without the fence. It begins in one of the initial states and goes
// on in the order in which they lead to others; a state that leads to no other is final.
func Diagram[State any](machine Machine, initial ...State) string {
	var starts []string
	for _, state := range initial {
		starts = append(starts, text(state))
	}
	edges := mergedEdges(machine.Transitions())
	states := statesInOrder(edges, starts)
	lines := []string{"stateDiagram-v2"}
	for _, state := range states {
		if id := identifier(state); id != state {
			lines = append(lines, fmt.Sprintf("    state %q as %s", state, id))
		}
	}
	for _, state := range starts {
		lines = append(lines, "    [*] --> "+identifier(state))
	}
	for _, state := range states {
		lines = append(lines, leaving(edges, state)...)
	}
	return strings.Join(lines, "\n")
}

// edge joins two states by all events that lead from one to the other.
type edge struct {
	from, to string
	events   []string
}

func mergedEdges(transitions []Transition) []edge {
	var edges []edge
	for _, t := range transitions {
		i := slices.IndexFunc(edges, func(e edge) bool { return e.from == t.From && e.to == t.To })
		if i < 0 {
			edges = append(edges, edge{t.From, t.To, nil})
			i = len(edges) - 1
		}
		if t.Event != "" {
			edges[i].events = append(edges[i].events, t.Event)
		}
	}
	return edges
}

// statesInOrder lists the states breadth first from the initial ones, and then those that these do not lead to.
func statesInOrder(edges []edge, starts []string) []string {
	var states []string
	for next := starts; len(next) > 0; {
		state := next[0]
		next = next[1:]
		if slices.Contains(states, state) {
			continue
		}
		states = append(states, state)
		for _, e := range edges {
			if e.from == state {
				next = append(next, e.to)
			}
		}
	}
	for _, e := range edges {
		if !slices.Contains(states, e.from) {
			states = append(states, e.from)
		}
	}
	return states
}

// leaving are the lines of a diagram that leave a state.
func leaving(edges []edge, state string) []string {
	var lines []string
	isFinal := true
	for _, e := range edges {
		if e.from != state {
			continue
		}
		line := fmt.Sprintf("    %s --> %s", identifier(e.from), identifier(e.to))
		if len(e.events) > 0 {
			line += ": " + strings.Join(e.events, ", ")
		}
		lines = append(lines, line)
		isFinal = isFinal && e.to == state
	}
	if isFinal {
		lines = append(lines, fmt.Sprintf("    %s --> [*]", identifier(state)))
	}
	return lines
}

// identifier is the name of a state in a diagram, where neither spaces nor hyphens may stand.
func identifier(state string) string { return strings.NewReplacer(" ", "_", "-", "_").Replace(state) }

// States lists the states of a machine in alphabetical order.
func States(machine Machine) []string {
	var states []string
	for _, t := range machine.Transitions() {
		states = append(states, t.From, t.To)
	}
	slices.Sort(states)
	return slices.Compact(states)
}
