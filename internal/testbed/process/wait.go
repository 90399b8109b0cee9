package process

import (
	"fmt"
	"time"
)

// WaitUntil waits until a condition holds, for a time at most.
func WaitUntil(what string, atMost time.Duration, holds func() bool) error {
	return Poll(10*time.Millisecond, atMost, what, holds)
}

// Poll does so and looks at the condition at an interval.
func Poll(interval, atMost time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(atMost); !holds(); time.Sleep(interval) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", atMost, what)
		}
	}
	return nil
}
