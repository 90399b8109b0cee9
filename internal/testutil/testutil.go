// Package testutil holds what the tests of several packages share: checks of one line, waiting with a time limit,
// files, listeners and connections on the loopback interface. Only tests import it.
package testutil

import (
	"reflect"
	"slices"
	"strings"
)

// TB is the part of testing.TB that rapid.T has too.
type TB interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// NoError ends the test if a step that has to succeed failed.
func NoError(tb TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// ExpectNoError reports an error, and the test goes on. Any goroutine may call it.
func ExpectNoError(tb TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Error(err)
	}
}

// Expect reports a condition that does not hold, and the test goes on.
//
//nolint:revive // flag-parameter: the condition is what is checked
func Expect(tb TB, condition bool, format string, args ...any) {
	tb.Helper()
	if !condition {
		tb.Errorf(format, args...)
	}
}

// Require ends the test if a condition does not hold.
//
//nolint:revive // flag-parameter: the condition is what is checked
func Require(tb TB, condition bool, format string, args ...any) {
	tb.Helper()
	if !condition {
		tb.Fatalf(format, args...)
	}
}

// Equal reports two values that differ, and the test goes on. The report begins with what they are, where that is said.
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

// DeepEqual reports two values that reflect.DeepEqual tells apart, and the test goes on.
func DeepEqual(tb TB, got, want any) {
	tb.Helper()
	Expect(tb, reflect.DeepEqual(got, want), "got %+v, want %+v", got, want)
}

// SlicesEqual reports two slices that differ in an element, and the test goes on.
func SlicesEqual[S ~[]E, E comparable](tb TB, got, want S) {
	tb.Helper()
	Expect(tb, slices.Equal(got, want), "got %v, want %v", got, want)
}
