package recovery

import (
	"fmt"

	"glenport/scheduler"
)

// MayRunError says that an attempt under an idempotency key may run on a machine that has not reported.
type MayRunError struct {
	Key       string
	Machine   scheduler.MachineID
	SilentFor scheduler.Time // since the attempt became unresolved; negative where that does not matter
}

// Error is the text that clients are given with a rejection.
func (e *MayRunError) Error() string {
	text := fmt.Sprintf("key %s may run on machine %s, which has not told", e.Key, e.Machine)
	if e.SilentFor < 0 {
		return text
	}
	return fmt.Sprintf("%s since %d ms", text, e.SilentFor/scheduler.Millisecond)
}

// RecoveringError says that the scheduler has started too recently to know what runs.
type RecoveringError struct{ Uptime scheduler.Time }

// Error is the text that clients are given with a rejection.
func (e *RecoveringError) Error() string {
	return fmt.Sprintf("this placer came up %d ms ago and does not know yet what runs", e.Uptime/scheduler.Millisecond)
}
