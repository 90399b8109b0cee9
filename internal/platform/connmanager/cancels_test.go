package connmanager

import (
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

// cancelTries has a cancel tried whenever it is due, each time on a connection of its own, until a time. It returns the
// tenths of a second at which it was tried.
func cancelTries(c *Cancels, cancel Cancel, until Time, happens func(tenth Time, conn MachineConnID)) []Time {
	var tries []Time
	conn := MachineConnID(0)
	for now := Time(0); now <= until; now += Second / 10 {
		if len(c.Due(now)) > 0 {
			conn++
			c.Tried(now, cancel, conn)
			tries = append(tries, now/(Second/10))
		}
		happens(now/(Second/10), conn)
	}
	return tries
}

// A cancel is sent again after its connection has failed, at growing intervals and so many times at most, until it is
// certain that its machine has read it.
func TestCancelIsRepeatedUntilCertain(t *testing.T) {
	x := Cancel{"a", "x"}
	for _, tc := range []struct {
		name    string
		happens func(c *Cancels, tenth Time, conn MachineConnID)
		want    []Time
	}{
		{"its connection stays up", func(*Cancels, Time, MachineConnID) {}, []Time{0}},
		{
			"every connection fails at once", func(c *Cancels, _ Time, conn MachineConnID) { c.ConnFailed(conn) },
			[]Time{0, 3, 8, 18, 38, 58, 78, 98},
		},
		{"its connection fails in time", func(c *Cancels, tenth Time, _ MachineConnID) {
			if tenth == 64 {
				c.ConnFailed(1)
			}
		}, []Time{0, 65}},
		{"its connection fails once it is certain", func(c *Cancels, tenth Time, _ MachineConnID) {
			if tenth == 65 {
				c.ConnFailed(1)
			}
		}, []Time{0}},
		{"another connection fails", func(c *Cancels, _ Time, _ MachineConnID) { c.ConnFailed(9) }, []Time{0}},
		{"its connection is closed here", func(c *Cancels, _ Time, conn MachineConnID) {
			c.ConnClosedHere(conn)
			c.ConnFailed(conn)
		}, []Time{0}},
		{"its machine reports the end", func(c *Cancels, _ Time, conn MachineConnID) {
			c.Settle(x)
			c.ConnFailed(conn)
		}, []Time{0}},
		{"its machine starts anew", func(c *Cancels, _ Time, conn MachineConnID) {
			c.MachineGone("a")
			c.ConnFailed(conn)
		}, []Time{0}},
		{"another container ends, another machine is gone", func(c *Cancels, tenth Time, conn MachineConnID) {
			c.Settle(Cancel{"a", "y"})
			c.Settle(Cancel{"b", "x"})
			c.MachineGone("b")
			if tenth == 0 {
				c.ConnFailed(conn)
			}
		}, []Time{0, 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &Cancels{}
			c.Add(0, x)
			tries := cancelTries(c, x, 30*Second, func(tenth Time, conn MachineConnID) { tc.happens(c, tenth, conn) })
			testutil.SlicesEqual(t, tries, tc.want)
			testutil.Expect(t, !c.Holds(x), "held at the end: %+v", c.pending)
		})
	}
}

// So many cancels are held at most, the latest ones, and each once.
func TestCancelsAreBounded(t *testing.T) {
	c := &Cancels{}
	for i := range 2*maxCancels + 3 {
		c.Add(Time(i), Cancel{"a", strconv.Itoa(i / 2)})
	}
	due := c.Due(Second)
	testutil.Equal(t, len(due), maxCancels)
	testutil.Equal(t, due[maxCancels-1].RequestID, strconv.Itoa(maxCancels+1))
}
