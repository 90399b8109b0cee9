package process

import (
	"fmt"
	"time"
)

// WaitUntil polls a condition until it holds. It returns an error after atMost.
func WaitUntil(condition string, atMost time.Duration, holds func() bool) error {
	return Poll(10*time.Millisecond, atMost, condition, holds)
}

// Poll is WaitUntil with a given polling interval.
func Poll(interval, atMost time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(atMost); !holds(); time.Sleep(interval) {
		if time.Now().After(end) {
			return fmt.Errorf("condition not met within %v: %s", atMost, condition)
		}
	}
	return nil
}
