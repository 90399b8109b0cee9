package testutil

import (
	"testing"
	"time"
)

// Timeout is the time limit of every wait in a test.
const Timeout = 20 * time.Second

const pollInterval = 100 * time.Microsecond

// WaitUntil polls a condition until it holds, and ends the test after Timeout. It serves conditions that no event
// reports.
func WaitUntil(tb testing.TB, condition string, holds func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(Timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met within %s: %s", Timeout, condition)
		}
	}
}

// Receive receives a value from a channel, and ends the test after Timeout.
func Receive[T any](tb testing.TB, from <-chan T) T {
	tb.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(Timeout):
		tb.Fatalf("received nothing within %s", Timeout)
		panic("unreachable")
	}
}
