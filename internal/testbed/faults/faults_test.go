package faults

import (
	"testing"

	"glenport/internal/testutil"
)

// Scenario files use the texts of the kinds, so that these must not change.
func TestFaultKindsKeepTheirNames(t *testing.T) {
	want := []Kind{
		"burst", "client retries", "connection resets", "crash", "drain", "fleet growth", "freeze",
		"freeze and restart", "half-open connections", "lost accepts", "machine list stale",
		"machine list unavailable", "memory growth", "network delay", "rolling deploy", "schedulers killed",
		"slow", "tenant throttled", "workload ignored", "zone partition", "zone restart",
	}
	testutil.SlicesEqual(t, Kinds(), want)
}
