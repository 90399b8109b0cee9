package server

import (
	"errors"
	"reflect"
	"testing"

	"glenport/internal/controller"
	"glenport/internal/storage/wal"
	"glenport/internal/testutil"
)

func TestFailedChangesAreRetriedUnlessSupersededOrOfAJob(t *testing.T) {
	s := openServer(t)
	st := &stateStore{loop: s.loop, unwrittenChanges: map[string]wal.Change{}}
	change := func(kind, key, value string) wal.Change {
		return wal.Change{Kind: kind, Key: key, Value: []byte(value)}
	}
	st.scheduleRetry(
		[]wal.Change{change(RecordOrphan, "o", "1"), change(RecordContainer, "b", "1"), change(RecordJob, "j", "1")},
	)
	st.scheduleRetry([]wal.Change{change(RecordContainer, "b", "older"), change(RecordContainer, "a", "1")})
	want := []wal.Change{
		change(RecordContainer, "a", "1"),
		change(RecordContainer, "b", "1"),
		change(RecordOrphan, "o", "1"),
	}
	if got := st.takeUnwritten(); !reflect.DeepEqual(got, want) {
		t.Errorf("got the changes %v to retry, want %v", got, want)
	}
	if got := st.takeUnwritten(); len(got) != 0 {
		t.Errorf("the changes %v are retried twice", got)
	}
}

func TestPlacementRequestWithoutStoredRecordIsNotSent(t *testing.T) {
	s := openServer(t)
	s.sendRequest(controller.SubmitRequest{RequestID: "reports/0#1"}, errors.New("no space"))
	testutil.Require(t, len(s.events) == 1, "%d events, want one", len(s.events))
	answer, ok := s.events[0].(controller.PlacementAnswered)
	if !ok || answer.RequestID != "reports/0#1" || answer.Verdict != controller.VerdictRefused ||
		answer.RetryAfter == 0 {
		t.Errorf("the controller gets %+v, want an answer that refuses its request", s.events[0])
	}
}

// A change that is decided while another change of the same job is in progress would be decided on an outdated job.
func TestChangesOfAJobAreSerialized(t *testing.T) {
	s := openServer(t)
	s.jobs.waitingChanges["reports"] = nil // a change is in progress
	var decidedOn []*Job
	change := &jobChange{job: "reports", decide: func(current *Job) (*JobRecord, controller.Event, error) {
		decidedOn = append(decidedOn, current)
		return &JobRecord{Job: validJob()}, controller.JobSet{Job: "reports"}, nil
	}, done: func(_ int64, err error) { testutil.ExpectNoError(t, err) }}
	s.jobs.start(change)
	s.jobs.start(change)
	testutil.Require(t, len(decidedOn) == 0, "decided while another change is in progress")
	s.jobs.startWaiting("reports")
	if len(decidedOn) != 2 || decidedOn[0] != nil || decidedOn[1] == nil || decidedOn[1].Version != 1 ||
		len(s.events) != 2 {
		t.Errorf("decided on %v with %d events, want the second change to see the first", decidedOn, len(s.events))
	}
	_, busy := s.jobs.waitingChanges["reports"]
	testutil.Expect(t, !busy, "the job counts as busy after its last change")
}
