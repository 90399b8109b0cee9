// Package statemachinetest compares the state machines of a package with the tables in its package comment and with
// docs/state-machines.md. Only tests import it.
package statemachinetest

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/testutil"
)

// Machines maps the beginning of the paragraph above a table in the package comment to the state machine of the table.
type Machines map[string]statemachine.Machine

// CheckComment compares the tables in doc.go of the package under test with the machines of the code. There must be
// exactly one table for each machine.
func CheckComment(t *testing.T, machines Machines) {
	t.Helper()
	tables := CommentTables(t)
	if len(tables) != len(machines) {
		t.Errorf("doc.go has %d state tables, want %d", len(tables), len(machines))
	}
	for start, machine := range machines {
		i := slices.IndexFunc(tables, func(c CommentTable) bool { return strings.HasPrefix(c.Paragraph, start) })
		if i < 0 {
			t.Errorf("doc.go lacks the table below %q:\n%s", start, statemachine.Markdown(machine))
			continue
		}
		tables[i].check(t, machine)
	}
}

// PageMachine is a machine and its diagram as expected in docs/state-machines.md.
type PageMachine struct {
	machine statemachine.Machine
	diagram string
}

// NewPageMachine returns a machine as expected on the page, given the states in which it may begin.
func NewPageMachine[State any](machine statemachine.Machine, initial ...State) PageMachine {
	return PageMachine{machine, statemachine.Diagram(machine, initial...)}
}

// CheckPage compares a chapter of docs/state-machines.md with the machines of the code, which are given by the headings
// of their sections. It compares the diagram of each section, and the table if there is one. Arrows of Successors,
// which have no events, may have any label. There must be exactly one section for each machine.
func CheckPage(t *testing.T, chapter string, machines map[string]PageMachine) {
	t.Helper()
	sections := readChapter(t, chapter)
	for heading := range sections {
		if _, known := machines[heading]; !known {
			t.Errorf("%s, %s: the code has no machine for the section %q", page, chapter, heading)
		}
	}
	for heading, machine := range machines {
		machine.check(t, chapter+", "+heading, sections[heading])
	}
}

func (m PageMachine) check(t *testing.T, heading string, text section) {
	t.Helper()
	got := text.diagram()
	if !m.hasEvents() {
		got = arrowLabel.ReplaceAllString(got, "")
	}
	if got != m.diagram {
		t.Errorf("%s, %s: the diagram is\n%s\nthe code has\n%s", page, heading, got, m.diagram)
	}
	if got, want := text.table(), statemachine.Markdown(m.machine); got != "" && got != want {
		t.Errorf("%s, %s: the table is\n%s\nthe code has\n%s", page, heading, got, want)
	}
}

func (m PageMachine) hasEvents() bool { return m.machine.Transitions()[0].Event != "" }

const page = "docs/state-machines.md"

// section is the text of the page below a third-level heading.
type section string

// readChapter returns the sections below a second-level heading, by their own heading.
func readChapter(t *testing.T, chapter string) map[string]section {
	t.Helper()
	text := string(testutil.ReadFile(t, filepath.Join(repositoryRoot(t), page)))
	_, rest, found := strings.Cut(text, "\n## "+chapter+"\n")
	if !found {
		t.Fatalf("%s lacks the heading %q", page, chapter)
	}
	text, _, _ = strings.Cut(rest, "\n## ")
	sections := map[string]section{}
	for _, part := range strings.Split(text, "\n### ")[1:] {
		heading, body, _ := strings.Cut(part, "\n")
		sections[heading] = section(body)
	}
	return sections
}

// diagram returns the first Mermaid diagram of a section.
func (s section) diagram() string {
	_, rest, _ := strings.Cut(string(s), "```mermaid\n")
	text, _, _ := strings.Cut(rest, "\n```")
	return text
}

var arrowLabel = regexp.MustCompile(`(?m): .*$`)

// table returns the lines of a section that belong to a table.
func (s section) table() string {
	var rows []string
	for line := range strings.SplitSeq(string(s), "\n") {
		if strings.HasPrefix(line, "|") {
			rows = append(rows, line)
		}
	}
	return strings.Join(rows, "\n")
}

func repositoryRoot(t *testing.T) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for ; ; folder = filepath.Dir(folder) {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		if folder == filepath.Dir(folder) {
			t.Fatal("no go.mod above the package")
		}
	}
}
