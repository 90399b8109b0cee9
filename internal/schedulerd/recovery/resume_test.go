package recovery

import (
	"testing"

	"glenport/scheduler"
)

func TestResumeNeverRequestsWhatMayRun(t *testing.T) {
	for _, tc := range []struct {
		phase ContainerPhase
		n     int
		want  ResumeStep
		after scheduler.Time
	}{
		{PhasePending, 0, StepRequest, 0},
		{PhasePending, 4000, StepRequest, 2 * sec},
		{PhaseRequested, 0, StepLookup, 0},
		{PhaseRunning, 2000, StepLookup, sec},
		{PhaseFencing, 0, StepFence, 0},
		{PhaseFinished, 9, StepNone, 0},
	} {
		if got, after := Resume(tc.phase, tc.n); got != tc.want || after != tc.after {
			t.Errorf("%d, %d: %d after %d", tc.phase, tc.n, got, after)
		}
	}
}
