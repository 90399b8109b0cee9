package statemachine

import (
	"errors"
	"strings"
	"testing"
)

type (
	doorState uint8
	doorEvent uint8
)

const (
	closed doorState = iota + 1
	open
	removed
)

const (
	opened doorEvent = iota + 1
	unhinged
)

func (s doorState) String() string { return [...]string{"", "closed", "open", "removed"}[s] }
func (e doorEvent) String() string { return [...]string{"", "opened", "unhinged"}[e] }

var doorTable = Table[doorState, doorEvent]{closed: {opened: open, unhinged: removed}, open: {unhinged: removed}}

func TestTableAppliesEventOrReturnsTypedError(t *testing.T) {
	state := closed
	if err := doorTable.Apply("door", &state, opened); state != open || err != nil {
		t.Errorf("got %v, %v", state, err)
	}
	err := doorTable.Apply("door", &state, opened)
	checkIllegal(t, err, TransitionError{Subject: "door", From: "open", Event: "opened"})
	if state != open {
		t.Errorf("got %v", state)
	}
	want := strings.Join([]string{
		"| state | event | next state |",
		"| --- | --- | --- |",
		"| closed | opened | open |",
		"| closed | unhinged | removed |",
		"| open | unhinged | removed |",
	}, "\n")
	if got := Markdown(doorTable); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func checkIllegal(t *testing.T, err error, want TransitionError) {
	t.Helper()
	if illegal, ok := errors.AsType[*TransitionError](err); !ok || *illegal != want {
		t.Errorf("got %v, want %v", err, &want)
	}
}

// jobState and jobEvent are strings, in contrast to doorState and doorEvent.
type (
	jobState string
	jobEvent string
)

const (
	toRun   jobState = "to run"
	running jobState = "running"
	done    jobState = "done"

	ended jobEvent = "ended"
)

func TestCallerChoosesAmongTheStatesOfAnEvent(t *testing.T) {
	choices := Choices[jobState, jobEvent]{toRun: {"begun": {running}}, running: {ended: {toRun, done}}}
	for _, to := range []jobState{toRun, done} {
		if state := running; choices.Apply(Unnamed, &state, ended, to) != nil || state != to {
			t.Errorf("got %s, want %s", state, to)
		}
	}
	state := running
	err := choices.Apply(Unnamed, &state, ended, running)
	checkIllegal(t, err, TransitionError{From: "running", Event: "ended", To: "running"})
	if state != running {
		t.Errorf("got %s", state)
	}
	const want = "| running | ended | to run, done |"
	if got := Markdown(choices); !strings.Contains(got, want) {
		t.Errorf("got\n%s\nwithout\n%s", got, want)
	}
}

func TestStateChangesOnlyToSuccessors(t *testing.T) {
	successors := Successors[jobState]{toRun: {toRun, running}, running: {done}}
	state := toRun
	for _, to := range []jobState{toRun, running, done} {
		if err := successors.Apply("job", &state, to); err != nil || state != to {
			t.Errorf("got %s, %v, want %s", state, err, to)
		}
	}
	err := successors.Apply("job", &state, toRun)
	checkIllegal(t, err, TransitionError{Subject: "job", From: "done", To: "to run"})
	if state != done {
		t.Errorf("got %s", state)
	}
}

func TestDiagramMergesEventsAndMarksInitialAndFinalStates(t *testing.T) {
	table := Table[jobState, jobEvent]{
		toRun:   {"begun": running, "canceled": done},
		running: {ended: done, "lost": done, "stopped": toRun},
		done:    {ended: done},
	}
	want := strings.Join([]string{
		"stateDiagram-v2",
		`    state "to run" as to_run`,
		"    [*] --> to_run",
		"    to_run --> running: begun",
		"    to_run --> done: canceled",
		"    running --> done: ended, lost",
		"    running --> to_run: stopped",
		"    done --> done: ended",
		"    done --> [*]",
	}, "\n")
	if got := Diagram(table, "to run"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestTransitionErrorText(t *testing.T) {
	for want, illegal := range map[string]TransitionError{
		`event "ended" is illegal in state "done"`:      {From: "done", Event: "ended"},
		`job: event "ended" is illegal in state "done"`: {Subject: "job", From: "done", Event: "ended"},
		"job 2: ended must not lead from done to lost":  {"job 2", "done", "ended", "lost"},
		"job: no transition from done to running":       {Subject: "job", From: "done", To: "running"},
	} {
		if got := illegal.Error(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func TestLegalTransitionAllocatesNothing(t *testing.T) {
	choices := Choices[doorState, doorEvent]{closed: {opened: {open, removed}}}
	subject := &strings.Builder{}
	allocations := testing.AllocsPerRun(100, func() {
		state := closed
		if doorTable.Apply("door", &state, opened) != nil {
			t.Error("illegal")
		}
		state = closed
		if choices.Apply(subject, &state, opened, removed) != nil {
			t.Error("illegal")
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}

func BenchmarkTransition(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		state := closed
		if doorTable.Apply(Unnamed, &state, opened) != nil {
			b.Fatal("illegal")
		}
	}
}
