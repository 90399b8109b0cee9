package scheduler

import (
	"log/slog"
	"testing"
)

func TestLogTextHasItsAttributes(t *testing.T) {
	for _, tc := range []struct {
		log  Log
		want string
	}{
		{Log{}, ""},
		{Log{Message: "constant text"}, "constant text"},
		{Log{Message: "machine ejected", Attributes: []slog.Attr{slog.String("machine", "a"), rounded("log_odds", 4.969)}},
			"machine ejected machine=a log_odds=4.97"},
	} {
		if got := tc.log.String(); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
	}
}

func TestEjectionIsLoggedWithItsMachine(t *testing.T) {
	s := testScheduler(testConfig(Idempotent))
	s.actions.reset()
	for range 2 {
		s.outliers.recordFailure(s.machines.find("a"), s.now)
	}
	if got, ok := lastAction(s.actions.collected()).(Log); !ok || got.String() != "machine ejected machine=a log_odds=4.97" {
		t.Errorf("%v", s.actions.collected())
	}
}
