package scheduler

import (
	"log/slog"
	"testing"

	"glenport/internal/testutil"
)

func TestLogTextHasItsAttributes(t *testing.T) {
	attributes := []slog.Attr{slog.String("machine", "a"), roundedAttr("log_odds", 4.969)}
	for _, tc := range []struct {
		log  Log
		want string
	}{
		{Log{}, ""},
		{Log{Message: "constant text"}, "constant text"},
		{Log{Message: "machine ejected", Attributes: attributes}, "machine ejected machine=a log_odds=4.97"},
	} {
		testutil.Equal(t, tc.log.String(), tc.want)
	}
}

func TestEjectionIsLoggedWithItsMachine(t *testing.T) {
	actions := &actionBuffer{}
	d, m := &outlierDetector{actions: actions}, &machine{id: "a"}
	d.recordFailure(m, 0)
	d.recordFailure(m, 0)
	got, ok := lastAction(actions.batchActions()).(Log)
	if !ok || got.String() != "machine ejected machine=a log_odds=4.97" {
		t.Errorf("%v", actions.batchActions())
	}
}
