package faults

import (
	"slices"
	"testing"
)

// Scenario files and recorded days name the kinds.
func TestFaultKindsKeepTheirNames(t *testing.T) {
	want := []string{
		"answers lost",
		"asked again",
		"burst",
		"crash",
		"customer turned away",
		"drain",
		"fleet grows",
		"half-open links",
		"hall cut off",
		"hall restarts cold",
		"late network",
		"list away",
		"list stale",
		"memory swells",
		"placers killed",
		"resets",
		"rolling deploy",
		"silence",
		"silence, then cold",
		"slow",
		"workload unanswered",
	}
	if got := Kinds(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
