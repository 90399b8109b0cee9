package connmanager

import (
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

const tenth = Second / 10

// cancelTries tries a cancel whenever it is due, each time on a new connection, until the cancel is no longer pending.
// It returns the times of the tries in tenths of a second.
func cancelTries(cancel Cancel, afterStep func(c *Cancels, now Time, conn MachineConnID)) (tries []Time) {
	c := &Cancels{}
	c.Add(0, cancel)
	for now := Time(0); c.IsPending(cancel); now += tenth {
		if len(c.Due(now)) > 0 {
			tries = append(tries, now/tenth)
			c.RecordTry(now, cancel, MachineConnID(len(tries)))
		}
		afterStep(c, now, MachineConnID(len(tries)))
	}
	return tries
}

// A cancel is resent when its connection fails, unless it is certain that the machine has read it.
func TestCancelIsRepeatedUnlessCertain(t *testing.T) {
	x := Cancel{"a", "x"}
	for _, tc := range []struct {
		name   string
		before func(*Cancels) // called before the connection fails
		after  Time           // from the first try to the failure of the connection
		tries  int
	}{
		{"in time", func(*Cancels) {}, cancelCertainAfter - tenth, 2},
		{"late", func(*Cancels) {}, cancelCertainAfter, 1},
		{"after it was closed here", func(c *Cancels) { c.ConnClosedLocally(1) }, tenth, 1},
		{"after its machine has reported the end", func(c *Cancels) { c.Discard(x) }, tenth, 1},
		{"after its machine has restarted", func(c *Cancels) { c.MachineGone("a") }, tenth, 1},
		{"after events of other cancels and machines", func(c *Cancels) {
			c.Discard(Cancel{"a", "y"})
			c.MachineGone("b")
			c.ConnClosedLocally(2)
		}, tenth, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tries := cancelTries(x, func(c *Cancels, now Time, _ MachineConnID) {
				if now == tc.after {
					tc.before(c)
					c.ConnFailed(1)
				}
			})
			testutil.Equal(t, len(tries), tc.tries)
		})
	}
}

// The number of tries is bounded, and so is the number of cancels: the latest are kept, each once.
func TestCancelsAreBounded(t *testing.T) {
	tries := cancelTries(Cancel{"a", "x"}, func(c *Cancels, _ Time, conn MachineConnID) { c.ConnFailed(conn) })
	testutil.SlicesEqual(t, tries, []Time{0, 3, 8, 18, 38, 58, 78, 98})
	c := &Cancels{}
	for i := range 2*maxCancels + 3 {
		c.Add(Time(i), Cancel{"a", strconv.Itoa(i / 2)})
	}
	due := c.Due(Second)
	testutil.Equal(t, len(due), maxCancels)
	testutil.Equal(t, due[maxCancels-1].RequestID, strconv.Itoa(maxCancels+1))
}
