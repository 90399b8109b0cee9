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
	bar         = "|"
	stateColumn = "state" // head of the first column
	eventColumn = "event" // head of the second column, where there is a row for each state and event
	noState     = "-"     // in place of a next state: the event is illegal
)

// CommentTable is a table of states in a package comment: either with a row for each state and event, which has the
// next state in the third column, or with a row for each state and a column for each event.
type CommentTable struct {
	Paragraph string // the first line of the paragraph above the table
	Head      []string
	Rows      [][]string
}

// CommentTables are the tables of states in doc.go of the package under test. Columns are divided by bars, or by gaps
// of two spaces at least, and then the first is headed "state".
func CommentTables(t *testing.T) []CommentTable {
	t.Helper()
	var tables []CommentTable
	var paragraph string
	var block []string
	paragraphIsOver := true
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
		if paragraphIsOver {
			paragraph = strings.TrimSpace(comment)
		}
		paragraphIsOver = comment == ""
	}
	return tables
}

func isTableOfStates(block []string) bool {
	return len(block) > 0 && (strings.HasPrefix(block[0], bar) || cells(block[0])[0] == stateColumn)
}

func newCommentTable(paragraph string, block []string) CommentTable {
	table := CommentTable{Paragraph: paragraph}
	for _, line := range block {
		table.Rows = append(table.Rows, cells(line))
	}
	if table.Rows[0][0] == stateColumn {
		table.Head, table.Rows = table.Rows[0], table.Rows[1:]
	}
	return table
}

var columnGap = regexp.MustCompile(` {2,}`)

func cells(row string) []string {
	inner, hasBars := strings.CutPrefix(row, bar)
	if !hasBars {
		return columnGap.Split(row, -1)
	}
	all := strings.Split(strings.TrimSuffix(strings.TrimSpace(inner), bar), bar)
	for i := range all {
		all[i] = strings.TrimSpace(all[i])
	}
	return all
}

// hasEventColumns reports whether there is a column for each event.
func (c CommentTable) hasEventColumns() bool { return len(c.Head) > 1 && c.Head[1] != eventColumn }

func (c CommentTable) transitions() []statemachine.Transition {
	var all []statemachine.Transition
	for _, row := range c.Rows {
		if !c.hasEventColumns() {
			all = append(all, transitions(row[0], row[1], row[2])...)
			continue
		}
		for i, next := range row[1:] {
			all = append(all, transitions(row[0], c.Head[i+1], next)...)
		}
	}
	return all
}

// transitions are those of a cell, which names one state, several states or none.
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

// checkStates compares the rows with the states of a machine, those that no event leaves included.
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
	for _, each := range all {
		lines = append(lines, each.From+" | "+each.Event+" | "+each.To)
	}
	slices.Sort(lines)
	return lines
}
