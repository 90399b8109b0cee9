package connmanager

import (
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

// connOutcome is what becomes of the connections that carry a termination.
type connOutcome uint8

const (
	noConn connOutcome = iota
	connFails
	connForgotten // stays up, and the machine reports nothing
	connClosedHere
)

// terminationTries tries a termination whenever it is due, for 20 s, and returns the times in tenths of a second.
func terminationTries(outcome connOutcome) (tries []Time) {
	c := &Cancels{}
	x := Cancel{"a", "x"}
	c.AddTermination(0, x, 16)
	for now := Time(0); now < 20*Second; now += tenth {
		for range c.Due(now) {
			tries = append(tries, now/tenth)
			conn := MachineConnID(len(tries))
			switch outcome {
			case noConn:
				c.RecordTry(now, x, 0)
			case connFails:
				c.RecordTry(now, x, conn)
				c.ConnFailed(conn)
			case connForgotten:
				c.RecordTry(now, x, conn)
			case connClosedHere:
				c.RecordTry(now, x, conn)
				c.ConnClosedLocally(conn)
			}
		}
	}
	return tries
}

// A termination is sent again until its container has ended, at once after the first connection failure, and at a
// bounded pace: guards against one that counts as delivered because it was written.
func TestTerminationIsTriedUntilTheContainerHasEnded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome connOutcome
		tries   []Time
	}{
		{"no connection", noConn, []Time{0, 3, 8, 18, 38, 58, 78, 98, 118, 138, 158, 178, 198}},
		{"each connection fails", connFails, []Time{0, 1, 4, 9, 19, 39, 59, 79, 99, 119, 139, 159, 179, 199}},
		{"no report on an open connection", connForgotten, []Time{0, 10, 30, 70, 150}},
		{"connection closed here before the report", connClosedHere, []Time{0, 10, 30, 70, 150}},
	} {
		t.Run(tc.name, func(t *testing.T) { testutil.SlicesEqual(t, terminationTries(tc.outcome), tc.tries) })
	}
}

// Another try of a termination that is still unconfirmed on an open connection avoids that connection.
func TestTerminationAvoidsTheConnectionWithoutReport(t *testing.T) {
	c := &Cancels{}
	x := Cancel{"a", "x"}
	c.AddTermination(0, x, 16)
	testutil.SlicesEqual(t, c.Due(0), []DueCancel{{x, 0}})
	c.RecordTry(0, x, 7)
	testutil.SlicesEqual(t, c.Due(firstReportTimeout-1), []DueCancel{})
	testutil.SlicesEqual(t, c.Due(firstReportTimeout), []DueCancel{{x, 7}})
	testutil.Expect(t, c.ConnFailed(7), "the failed connection carried no termination")
	testutil.SlicesEqual(t, c.Due(firstReportTimeout), []DueCancel{{x, 0}})
}

// A client that repeats its order hastens the next try, and cannot make it more frequent than minTerminationInterval.
func TestRepeatedOrderHastensTheTermination(t *testing.T) {
	c := &Cancels{}
	x := Cancel{"a", "x"}
	c.AddTermination(0, x, 16)
	c.RecordTry(0, x, 1)
	c.Repeat(tenth, x)
	testutil.SlicesEqual(t, c.Due(minTerminationInterval-1), []DueCancel{})
	testutil.SlicesEqual(t, c.Due(minTerminationInterval), []DueCancel{{x, 1}})
	c.RecordTry(minTerminationInterval, x, 2)
	c.Repeat(Second, x)
	testutil.SlicesEqual(t, c.Due(Second), []DueCancel{{x, 2}})
}

// Cancels of copies drop no termination, however many there are, and a termination keeps its cause.
func TestCancelsOfCopiesDropNoTermination(t *testing.T) {
	c := &Cancels{}
	x := Cancel{"a", "x"}
	c.AddTermination(0, x, 31)
	for i := range 2 * maxCancels {
		c.Add(0, Cancel{"a", strconv.Itoa(i)})
	}
	testutil.Equal(t, len(c.Due(0)), maxCancels+1)
	cause, ok := c.Termination(x)
	testutil.Expect(t, ok && cause == 31, "cause %d, pending: %t", cause, ok)
	c.Discard(x)
	testutil.Equal(t, len(c.Due(0)), maxCancels)
}
