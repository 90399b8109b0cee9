// Package testutil holds what the tests of several packages share. Only tests import it.
package testutil

import (
	"testing"
	"time"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 100 * time.Microsecond
)

// WaitUntil waits until a condition holds that no event reports, and ends the test if that takes too long.
func WaitUntil(tb testing.TB, condition string, holds func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatalf("not in %s: %s", waitTimeout, condition)
		}
	}
}
