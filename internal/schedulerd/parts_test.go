package schedulerd

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"glenport/internal/adoptions"
	"glenport/internal/testutil"
)

// An adoption makes the queued attempts of the same service stale that were decided before the adoption.
func TestAdoptionsAreTrackedWhileAttemptsAreQueued(t *testing.T) {
	var tracker adoptions.Tracker
	queue := attemptQueue{adoptions: &tracker}
	tracker.Adopted("s")
	before := tracker.Count()
	first, second := &attempt{number: 1}, &attempt{number: 2}
	queue.add(first)
	testutil.Expect(t, !queue.adoptedSince("s", before), "an adoption counts that precedes the decision")
	tracker.Adopted("s")
	queue.add(second)
	testutil.Expect(t, queue.adoptedSince("s", before) && !queue.adoptedSince("other", before),
		"an adoption of the service does not count, or an adoption of another service does")
	testutil.Expect(t, queue.remove(first) && !queue.remove(first), "an attempt is not removed exactly once")
	left := queue.takeAll()
	testutil.Expect(t, len(left) == 1 && left[0] == second && queue.empty(), "%d attempts taken", len(left))
	testutil.Expect(t, !queue.adoptedSince("s", before), "adoptions are recorded although no attempt is queued")
}

// Only the first of consecutive failures is logged, and the success after them.
func TestSnapshotWriterLogsTheFirstFailureAndTheEnd(t *testing.T) {
	var log bytes.Buffer
	p := &process{log: slog.New(slog.NewTextHandler(&log, nil))}
	writer := &snapshotWriter{process: p, state: writerSaved}
	fault := errors.New("disk full")
	for _, err := range []error{nil, fault, fault, nil, nil} {
		writer.transition(writeStarted)
		writer.handleResult(err)
	}
	got := log.String()
	if strings.Count(got, "snapshot not saved") != 1 ||
		strings.Count(got, "snapshot saved after earlier failures") != 1 || strings.Count(got, "\n") != 2 {
		t.Errorf("logged %s", got)
	}
}

// The scheduler does not recognize a restart of a machine whose incarnation does not increase. A warning tells
// operators.
func TestEarlierIncarnationOfMachineIsLogged(t *testing.T) {
	var log bytes.Buffer
	registry := &machineRegistry{process: &process{log: slog.New(slog.NewTextHandler(&log, nil))}}
	m := &machine{registry: registry, id: "a", machineListing: machineListing{incarnation: 5}}
	for _, incarnation := range []uint64{5, 4} {
		registry.handleSelfReport(m, incarnation)
	}
	got := log.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, "machine=a reported=4 known=5") {
		t.Errorf("logged %s", got)
	}
	testutil.Expect(t, m.incarnation == 5, "the known incarnation is %d", m.incarnation)
}
