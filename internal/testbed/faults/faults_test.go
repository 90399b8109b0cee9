package faults

import (
	"slices"
	"testing"
)

// Scenario files name the kinds.
func TestFaultKindsKeepTheirNames(t *testing.T) {
	want := []Kind{
		"burst",
		"client retries",
		"connection resets",
		"crash",
		"drain",
		"fleet growth",
		"freeze",
		"freeze and restart",
		"half-open connections",
		"lost accepts",
		"machine list stale",
		"machine list unavailable",
		"memory growth",
		"network delay",
		"rolling deploy",
		"schedulers killed",
		"slow",
		"tenant throttled",
		"workload ignored",
		"zone partition",
		"zone restart",
	}
	if got := Kinds(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
