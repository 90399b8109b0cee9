package connmanager

import (
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

const tenth = Second / 10

// cancelTries has a cancel tried whenever it is due, each time on a connection of its own, until it is over. It returns
// the tenths of a second at which it was tried.
func cancelTries(cancel Cancel, happens func(c *Cancels, now Time, conn MachineConnID)) (tries []Time) {
	c := &Cancels{}
	c.Add(0, cancel)
	for now := Time(0); c.Holds(cancel); now += tenth {
		if len(c.Due(now)) > 0 {
			tries = append(tries, now/tenth)
			c.Tried(now, cancel, MachineConnID(len(tries)))
		}
		happens(c, now, MachineConnID(len(tries)))
	}
	return tries
}

// A cancel is sent again where its connection fails, unless it is certain that its machine has read it.
func TestCancelIsRepeatedUnlessCertain(t *testing.T) {
	x := Cancel{"a", "x"}
	for _, tc := range []struct {
		name   string
		before func(*Cancels) // the connection fails
		after  Time           // it was tried
		tries  int
	}{
		{"in time", func(*Cancels) {}, cancelCertainAfter - tenth, 2},
		{"late", func(*Cancels) {}, cancelCertainAfter, 1},
		{"after it was closed here", func(c *Cancels) { c.ConnClosedHere(1) }, tenth, 1},
		{"after its machine has reported the end", func(c *Cancels) { c.Settle(x) }, tenth, 1},
		{"after its machine has started anew", func(c *Cancels) { c.MachineGone("a") }, tenth, 1},
		{"after events of others", func(c *Cancels) {
			c.Settle(Cancel{"a", "y"})
			c.MachineGone("b")
			c.ConnClosedHere(2)
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

// The tries are bounded, and so are the cancels: the latest are held, each once.
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
