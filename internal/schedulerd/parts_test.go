package schedulerd

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// Adoptions are remembered by service only while an attempt is queued that they may make stale.
func TestAdoptionsAreTrackedWhileAttemptsAreQueued(t *testing.T) {
	tracker := newAdoptionTracker()
	queue := attemptQueue{adoptions: &tracker}
	tracker.adopted("s")
	before := tracker.count()
	first, second := &attempt{number: 1}, &attempt{number: 2}
	queue.add(first)
	testutil.Expect(t, !queue.adoptedSince("s", before), "an adoption before the attempt was decided counts")
	tracker.adopted("s")
	queue.add(second)
	if !queue.adoptedSince("s", before) || queue.adoptedSince("other", before) {
		t.Error("an adoption of the service does not count, or one of another does")
	}
	testutil.Expect(t, queue.remove(first) && !queue.remove(first), "an attempt is removed other than once")
	if left := queue.takeAll(); len(left) != 1 || left[0] != second || !queue.empty() {
		t.Errorf("%d attempts taken", len(left))
	}
	testutil.Expect(t, len(tracker.byService) == 0, "adoptions are remembered though no attempt is queued")
}

// Of several failures the first is logged, and the success after them.
func TestSnapshotWriterLogsTheFirstFailureAndTheEnd(t *testing.T) {
	var log bytes.Buffer
	p := &process{log: slog.New(slog.NewTextHandler(&log, nil))}
	writer := &snapshotWriter{process: p, state: writerSaved}
	fault := errors.New("disk full")
	for _, err := range []error{nil, fault, fault, nil, nil} {
		writer.transition(writeStarted)
		writer.finished(err)
	}
	got := log.String()
	if strings.Count(got, "snapshot not saved") != 1 || strings.Count(got, "snapshot saved again") != 1 ||
		strings.Count(got, "\n") != 2 {
		t.Errorf("logged %s", got)
	}
}
