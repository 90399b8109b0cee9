package testutil

import "testing"

// RunUntilEnd calls run in a separate goroutine. At the end of the test it calls stop, waits for run to return, and
// reports the error of run.
func RunUntilEnd(tb testing.TB, run func() error, stop func()) {
	tb.Helper()
	returned := make(chan error, 1)
	go func() { returned <- run() }()
	tb.Cleanup(func() {
		stop()
		ExpectNoError(tb, <-returned)
	})
}
