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

func TestEventFollowsTheTableOrIsATypedError(t *testing.T) {
	table := Table[doorState, doorEvent]{closed: {opened: open, unhinged: removed}, open: {unhinged: removed}}
	if next, err := table.Next(closed, opened); next != open || err != nil {
		t.Errorf("got %v, %v", next, err)
	}
	next, err := table.Next(open, opened)
	var illegal *TransitionError
	if next != open || !errors.As(err, &illegal) || illegal.From != open || illegal.Event != opened {
		t.Errorf("got %v, %v", next, err)
	}
	want := strings.Join([]string{
		"| state   | opened | unhinged |",
		"| closed  | open   | removed  |",
		"| open    | -      | removed  |",
		"| removed | -      | -        |",
	}, "\n")
	if got := table.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
