package testutil

import "testing"

// RunUntilEnd runs a process on a goroutine of its own until the end of the test, which stops it, waits for run to
// return, and reports its error.
func RunUntilEnd(tb testing.TB, run func() error, stop func()) {
	tb.Helper()
	returned := make(chan error, 1)
	go func() { returned <- run() }()
	tb.Cleanup(func() {
		stop()
		ExpectNoError(tb, <-returned)
	})
}
