package statemachine

import (
	"fmt"
	"slices"
	"strings"
)

// Transition is a transition in text form.
type Transition struct {
	From  string
	Event string // empty for Successors
	To    string
}

// Machine is a state machine: a Table, Choices or Successors.
type Machine interface {
	// Transitions lists the transitions, ordered by state and event.
	Transitions() []Transition
}

// Markdown returns a Markdown table of a machine, with one row for each state and event. The last column lists the
// possible next states.
func Markdown(machine Machine) string {
	lines := []string{"| state | event | next state |", "| --- | --- | --- |"}
	for _, row := range tableRows(machine.Transitions()) {
		lines = append(lines, fmt.Sprintf("| %s | %s | %s |", row.from, row.event, strings.Join(row.next, ", ")))
	}
	return strings.Join(lines, "\n")
}

// tableRow is a row of the Markdown table.
type tableRow struct {
	from, event string
	next        []string
}

func tableRows(transitions []Transition) []tableRow {
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

// Diagram returns a Mermaid state diagram of a machine, without the code fence. States are listed breadth first from
// the initial states. A state that leads to no other state is final.
func Diagram[State any](machine Machine, initial ...State) string {
	var starts []string
	for _, state := range initial {
		starts = append(starts, text(state))
	}
	edges := mergeEdges(machine.Transitions())
	states := statesInOrder(edges, starts)
	lines := []string{"stateDiagram-v2"}
	for _, state := range states {
		if id := diagramID(state); id != state {
			lines = append(lines, fmt.Sprintf("    state %q as %s", state, id))
		}
	}
	for _, state := range starts {
		lines = append(lines, "    [*] --> "+diagramID(state))
	}
	for _, state := range states {
		lines = append(lines, outgoingLines(edges, state)...)
	}
	return strings.Join(lines, "\n")
}

// edge is an arrow of the diagram, labelled with all events that lead from one state to the other.
type edge struct {
	from, to string
	events   []string
}

func mergeEdges(transitions []Transition) []edge {
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

// statesInOrder lists the states breadth first from the initial ones, followed by states that cannot be reached from
// these.
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

// outgoingLines returns the lines of a diagram for the transitions that leave a state.
func outgoingLines(edges []edge, state string) []string {
	var lines []string
	isFinal := true
	for _, e := range edges {
		if e.from != state {
			continue
		}
		line := fmt.Sprintf("    %s --> %s", diagramID(e.from), diagramID(e.to))
		if len(e.events) > 0 {
			line += ": " + strings.Join(e.events, ", ")
		}
		lines = append(lines, line)
		isFinal = isFinal && e.to == state
	}
	if isFinal {
		lines = append(lines, fmt.Sprintf("    %s --> [*]", diagramID(state)))
	}
	return lines
}

// diagramID returns the ID of a state in a diagram, in which spaces and hyphens are not allowed.
func diagramID(state string) string { return strings.NewReplacer(" ", "_", "-", "_").Replace(state) }

// States lists the states of a machine in alphabetical order.
func States(machine Machine) []string {
	var states []string
	for _, t := range machine.Transitions() {
		states = append(states, t.From, t.To)
	}
	slices.Sort(states)
	return slices.Compact(states)
}
