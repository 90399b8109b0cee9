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
				c.RecordSent(x)
			case connClosedHere:
				c.RecordTry(now, x, conn)
				c.RecordSent(x)
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

// Each further try of a termination needs a connection that was opened after those of the earlier tries.
func TestTerminationMovesToALaterConnection(t *testing.T) {
	c := &Cancels{}
	x := Cancel{"a", "x"}
	c.AddTermination(tenth, x, 16)
	testutil.SlicesEqual(t, c.Due(tenth), []DueCancel{{x, 0}})
	c.RecordTry(tenth, x, 7)
	testutil.SlicesEqual(t, c.Due(tenth+firstReportTimeout-1), []DueCancel{})
	testutil.SlicesEqual(t, c.Due(tenth+firstReportTimeout), []DueCancel{{x, tenth}})
	testutil.Expect(t, c.ConnFailed(7), "the failed connection carried no termination")
	testutil.SlicesEqual(t, c.Due(tenth), []DueCancel{{x, tenth}})
	c.RecordTry(2*tenth, x, 0)
	testutil.SlicesEqual(t, c.Due(2*Second), []DueCancel{{x, 2 * tenth}})
}

// A client that repeats its order hastens the next try, and cannot make it more frequent than minTerminationInterval.
func TestRepeatedOrderHastensTheTermination(t *testing.T) {
	c := &Cancels{}
	x := Cancel{"a", "x"}
	c.AddTermination(0, x, 16)
	c.RecordTry(0, x, 1)
	c.Repeat(tenth, x)
	testutil.SlicesEqual(t, c.Due(minTerminationInterval-1), []DueCancel{})
	testutil.SlicesEqual(t, c.Due(minTerminationInterval), []DueCancel{{x, 0}})
	c.RecordTry(minTerminationInterval, x, 2)
	c.Repeat(Second, x)
	testutil.SlicesEqual(t, c.Due(Second), []DueCancel{{x, minTerminationInterval}})
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

// A termination whose container counts as lost is tried for as long as its machine cannot be reached, at a bounded
// pace.
func TestTerminationOfLostContainerIsTriedUntilTheMachineIsReachable(t *testing.T) {
	x := Cancel{"a", "x"}
	c := &Cancels{}
	c.AddTermination(0, x, 16)
	c.Release(x)
	tries := 0
	for now := Time(0); now < 60*Second; now += tenth {
		for range c.Due(now) {
			tries++
			c.RecordTry(now, x, 0)
		}
	}
	testutil.Expect(t, c.IsPending(x), "given up")
	testutil.Expect(t, tries >= 30 && tries <= 34, "%d tries in a minute", tries) // one every 2 s, after the backoff
}

// sendWhenDue sends a termination whenever it is due, each time on a connection that stays open, until it is not
// pending any more. It returns the number of sends and the time of the end. Unconfirmed must return the termination at
// the end if it is owned, and never otherwise.
func sendWhenDue(t *testing.T, c *Cancels, x Cancel, owned bool) (sends int, end Time) {
	t.Helper()
	for now := Time(0); now < 100*Second; now += tenth {
		if unconfirmed := c.Unconfirmed(now); len(unconfirmed) > 0 {
			testutil.Expect(t, owned, "%v is unconfirmed and not owned", unconfirmed)
			return sends, now
		}
		for range c.Due(now) {
			sends++
			c.RecordTry(now, x, MachineConnID(1000+sends))
			c.RecordSent(x)
		}
		if !c.IsPending(x) {
			testutil.Expect(t, !owned, "removed without a word to its owner")
			return sends, now
		}
	}
	t.Fatal("still pending")
	return 0, 0
}

// A termination is given up once its machine has let maxExpiredReports times expire. Sends that are lost with their
// connection do not count.
func TestTerminationEndsWithoutReport(t *testing.T) {
	x := Cancel{"a", "x"}
	for _, owned := range []bool{true, false} {
		c := &Cancels{}
		c.AddTermination(0, x, 16)
		if !owned {
			c.Release(x)
		}
		for conn := range MachineConnID(2 * maxExpiredReports) {
			c.RecordTry(0, x, conn+1)
			c.RecordSent(x)
			c.ConnFailed(conn + 1)
		}
		sends, end := sendWhenDue(t, c, x, owned)
		testutil.Equal(t, sends, maxExpiredReports+1)
		testutil.Expect(t, end >= 40*Second, "given up after %d tenths of a second", end/tenth)
	}
}

// When a machine leaves or restarts, the terminations of lost containers that cannot be running any more are dropped.
func TestMachineChangeDropsTerminationsOfLostContainers(t *testing.T) {
	before, after, running := Cancel{"a", "before"}, Cancel{"a", "after"}, Cancel{"a", "running"}
	c := &Cancels{}
	c.AddTermination(Second, before, 16)
	c.AddTermination(Second, running, 16)
	c.AddTermination(3*Second, after, 16)
	c.Release(before)
	c.Release(after)
	c.MachineRestarted("a", 2*Second)
	c.MachineRestarted("b", 4*Second)
	testutil.SlicesEqual(t, c.Due(3*Second), []DueCancel{{running, 0}, {after, 0}})
	c.MachineGone("a")
	testutil.SlicesEqual(t, c.Due(3*Second), []DueCancel{{running, 0}})
}

// Terminations of lost containers are bounded: the oldest is dropped.
func TestTerminationsOfLostContainersAreBounded(t *testing.T) {
	c := &Cancels{}
	for i := range maxCancels + 1 {
		x := Cancel{"a", strconv.Itoa(i)}
		c.AddTermination(0, x, 16)
		c.Release(x)
	}
	due := c.Due(0)
	testutil.Equal(t, len(due), maxCancels)
	testutil.Equal(t, due[0].RequestID, "1")
}

// A termination that waits for a connection is due once its machine accepts one, and a reset after that is not held
// against the machine as failed connections are.
func TestTerminationIsDueOnceTheMachineIsReachable(t *testing.T) {
	c := &Cancels{}
	x := Cancel{"a", "x"}
	c.AddTermination(0, x, 16)
	for conn := range MachineConnID(8) { // the backoff reaches its limit
		c.RecordTry(Second, x, conn+1)
		c.ConnFailed(conn + 1)
	}
	testutil.SlicesEqual(t, c.Due(Second+lastCancelInterval-1), []DueCancel{})
	testutil.Expect(t, !c.MachineReachable(2*Second, "b"), "machine b has a termination")
	testutil.SlicesEqual(t, c.Due(2*Second), []DueCancel{})
	testutil.Expect(t, c.MachineReachable(2*Second, "a"), "machine a has none")
	testutil.SlicesEqual(t, c.Due(2*Second), []DueCancel{{x, Second}})
	c.RecordTry(2*Second, x, 9)
	c.RecordSent(x)
	c.ConnFailed(9)
	testutil.SlicesEqual(t, c.Due(2*Second), []DueCancel{{x, 2 * Second}})
}
