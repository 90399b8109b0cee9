// Package testutil provides helpers for the tests of several packages: assertions, waiting with a time limit, files,
// and listeners and connections on the loopback interface. Only tests import it.
package testutil

import (
	"reflect"
	"slices"
	"strings"
)

// TB is the subset of testing.TB that rapid.T implements too.
type TB interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// NoError ends the test if err is not nil.
func NoError(tb TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// ExpectNoError reports an error if err is not nil, and the test continues. Any goroutine may call it.
func ExpectNoError(tb TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Error(err)
	}
}

// Expect reports an error if a condition does not hold, and the test continues.
//
//nolint:revive // flag-parameter: an assertion takes the condition that it checks
func Expect(tb TB, condition bool, format string, args ...any) {
	tb.Helper()
	if !condition {
		tb.Errorf(format, args...)
	}
}

// Require ends the test if a condition does not hold.
//
//nolint:revive // flag-parameter: an assertion takes the condition that it checks
func Require(tb TB, condition bool, format string, args ...any) {
	tb.Helper()
	if !condition {
		tb.Fatalf(format, args...)
	}
}

// Equal reports an error if two values differ, and the test continues. The optional text what describes the values and
// begins the report.
func Equal[T comparable](tb TB, got, want T, what ...string) {
	tb.Helper()
	if got != want {
		tb.Errorf("%sgot %v, want %v", prefix(what), got, want)
	}
}

func prefix(what []string) string {
	if len(what) == 0 {
		return ""
	}
	return strings.Join(what, " ") + ": "
}

// DeepEqual reports an error if two values differ by reflect.DeepEqual, and the test continues.
func DeepEqual(tb TB, got, want any) {
	tb.Helper()
	Expect(tb, reflect.DeepEqual(got, want), "got %+v, want %+v", got, want)
}

// SlicesEqual reports an error if two slices differ, and the test continues.
func SlicesEqual[S ~[]E, E comparable](tb TB, got, want S) {
	tb.Helper()
	Expect(tb, slices.Equal(got, want), "got %v, want %v", got, want)
}
