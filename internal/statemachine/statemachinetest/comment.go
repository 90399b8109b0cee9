package statemachinetest

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/testutil"
)

const (
	columnSeparator = "|"
	stateColumn     = "state" // header of the first column
	eventColumn     = "event" // header of the second column, if there is a row for each state and event
	noState         = "-"     // in place of the next state if the event is illegal
)

// CommentTable is a state table in a package comment. It has either a row for each state and event, with the next state
// in the third column, or a row for each state and a column for each event.
type CommentTable struct {
	Paragraph string // the first line of the paragraph above the table
	Header    []string
	Rows      [][]string
}

// CommentTables returns the state tables in doc.go of the package under test. Columns are separated by bars or by at
// least two spaces. In the latter case, the header of the first column must be "state".
func CommentTables(t *testing.T) []CommentTable {
	t.Helper()
	var tables []CommentTable
	var paragraph string
	var block []string
	paragraphEnded := true
	for line := range strings.Lines(string(testutil.ReadFile(t, "doc.go"))) {
		comment := strings.TrimPrefix(strings.TrimRight(line, "\n"), "//")
		if row, isRow := strings.CutPrefix(comment, "\t"); isRow {
			block = append(block, row)
			continue
		}
		if isTableOfStates(block) {
			tables = append(tables, newCommentTable(paragraph, block))
		}
		block = nil
		if paragraphEnded {
			paragraph = strings.TrimSpace(comment)
		}
		paragraphEnded = comment == ""
	}
	return tables
}

func isTableOfStates(block []string) bool {
	return len(block) > 0 && (strings.HasPrefix(block[0], columnSeparator) || cells(block[0])[0] == stateColumn)
}

func newCommentTable(paragraph string, block []string) CommentTable {
	table := CommentTable{Paragraph: paragraph}
	for _, line := range block {
		table.Rows = append(table.Rows, cells(line))
	}
	if table.Rows[0][0] == stateColumn {
		table.Header, table.Rows = table.Rows[0], table.Rows[1:]
	}
	return table
}

var columnGap = regexp.MustCompile(` {2,}`)

func cells(row string) []string {
	inner, hasBars := strings.CutPrefix(row, columnSeparator)
	if !hasBars {
		return columnGap.Split(row, -1)
	}
	all := strings.Split(strings.TrimSuffix(strings.TrimSpace(inner), columnSeparator), columnSeparator)
	for i := range all {
		all[i] = strings.TrimSpace(all[i])
	}
	return all
}

// hasEventColumns reports whether there is a column for each event.
func (c CommentTable) hasEventColumns() bool { return len(c.Header) > 1 && c.Header[1] != eventColumn }

func (c CommentTable) transitions() []statemachine.Transition {
	var all []statemachine.Transition
	for _, row := range c.Rows {
		if !c.hasEventColumns() {
			all = append(all, transitions(row[0], row[1], row[2])...)
			continue
		}
		for i, next := range row[1:] {
			all = append(all, transitions(row[0], c.Header[i+1], next)...)
		}
	}
	return all
}

// transitions returns the transitions of one cell, which lists one next state, several or none.
func transitions(from, event, next string) []statemachine.Transition {
	if next == noState {
		return nil
	}
	var all []statemachine.Transition
	for to := range strings.SplitSeq(next, ", ") {
		all = append(all, statemachine.Transition{From: from, Event: event, To: to})
	}
	return all
}

func (c CommentTable) check(t *testing.T, machine statemachine.Machine) {
	t.Helper()
	got, want := sortedLines(c.transitions()), sortedLines(machine.Transitions())
	if !slices.Equal(got, want) {
		t.Errorf("doc.go, below %q:\n%s\nthe code has\n%s",
			c.Paragraph, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if c.hasEventColumns() {
		c.checkStates(t, machine)
	}
}

// checkStates compares the rows with the states of a machine, including final states.
func (c CommentTable) checkStates(t *testing.T, machine statemachine.Machine) {
	t.Helper()
	var got []string
	for _, row := range c.Rows {
		got = append(got, row[0])
	}
	slices.Sort(got)
	if want := statemachine.States(machine); !slices.Equal(got, want) {
		t.Errorf("doc.go, below %q: states %q, the code has %q", c.Paragraph, got, want)
	}
}

func sortedLines(all []statemachine.Transition) []string {
	var lines []string
	for _, t := range all {
		lines = append(lines, t.From+" | "+t.Event+" | "+t.To)
	}
	slices.Sort(lines)
	return lines
}
