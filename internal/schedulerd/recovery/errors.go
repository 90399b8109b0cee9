package recovery

import (
	"fmt"

	"glenport/scheduler"
)

// MayRunError reports that an attempt under an idempotency key may run on a machine that has not reported.
type MayRunError struct {
	Key       string
	Machine   scheduler.MachineID
	SilentFor scheduler.Time // time since the attempt became unresolved; negative: left out of the text
}

// Error returns the text that is sent to clients with a rejection.
func (e *MayRunError) Error() string {
	text := fmt.Sprintf("key %s may run on machine %s, which has not told", e.Key, e.Machine)
	if e.SilentFor < 0 {
		return text
	}
	return fmt.Sprintf("%s since %d ms", text, e.SilentFor/scheduler.Millisecond)
}

// RecoveringError reports that the scheduler has started too recently to know which containers run.
type RecoveringError struct{ Uptime scheduler.Time }

// Error returns the text that is sent to clients with a rejection.
func (e *RecoveringError) Error() string {
	return fmt.Sprintf("this placer came up %d ms ago and does not know yet what runs", e.Uptime/scheduler.Millisecond)
}
