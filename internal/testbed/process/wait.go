package process

import (
	"fmt"
	"time"
)

// WaitUntil polls a condition until it holds. It returns an error after timeout.
func WaitUntil(condition string, timeout time.Duration, holds func() bool) error {
	return Poll(10*time.Millisecond, timeout, condition, holds)
}

// Poll is WaitUntil with a given polling interval.
func Poll(interval, timeout time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(interval) {
		if time.Now().After(end) {
			return fmt.Errorf("condition not met within %v: %s", timeout, condition)
		}
	}
	return nil
}
