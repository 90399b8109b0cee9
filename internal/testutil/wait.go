package testutil

import (
	"testing"
	"time"
)

// Timeout bounds all that a test waits for.
const Timeout = 20 * time.Second

const pollInterval = 100 * time.Microsecond

// WaitUntil waits until a condition holds that no event reports, and ends the test if that takes too long.
func WaitUntil(tb testing.TB, condition string, holds func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(Timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatalf("not in %s: %s", Timeout, condition)
		}
	}
}

// Receive waits for a value, and ends the test if that takes too long.
func Receive[T any](tb testing.TB, from <-chan T) T {
	tb.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(Timeout):
		tb.Fatalf("nothing came in %s", Timeout)
		panic("unreachable")
	}
}
