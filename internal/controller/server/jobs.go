package server

import (
	"bytes"
	"errors"
	"time"

	"glenport/internal/controller"
	"glenport/internal/storage/wal"
)

// loopTimeout bounds how long a client waits for the loop.
const loopTimeout = 10 * time.Second

// MustNotExist is the precondition that there is no such job yet.
const MustNotExist = -1

// CreationToken identifies the request that creates a job, so that a retry of it is told from another request.
type CreationToken struct {
	Key           string // the client's idempotency key; empty: none
	RequestDigest []byte
}

// jobChange is a client's change of one job.
type jobChange struct {
	job    string
	decide jobDecision
	done   func(version int64, err error) // called once, on the loop
}

// jobDecision returns the record and the event of a change, given the job as it is (nil where there is none), or the
// error that rejects it. A nil record deletes the job.
type jobDecision func(current *Job) (*JobRecord, controller.Event, error)

// SetJob creates or changes a job and returns its version once that is on disk. A precondition above 0 is the version
// that the job must have, 0 is none; with MustNotExist a retry of the request that created the job gets its version,
// and no conflict. Errors are *InvalidFieldError, *ConflictError, *NotPersistedError, ErrNotFound and ErrStopped.
func (s *Server) SetJob(job Job, precondition int64, token CreationToken) (version int64, err error) {
	spec, err := s.specOf(&job)
	if err != nil {
		return 0, err
	}
	return s.changeJob(job.ID, func(current *Job) (*JobRecord, controller.Event, error) {
		if precondition < 0 && current != nil {
			return nil, nil, s.rejectCreation(current, token)
		}
		if precondition > 0 {
			if err := checkVersion(current, precondition); err != nil {
				return nil, nil, err
			}
		}
		record := &JobRecord{Job: job, CreationKey: token.Key, RequestDigest: token.RequestDigest}
		return record, controller.JobSet{Job: job.ID, Count: job.Count, Spec: spec}, nil
	})
}

// DeleteJob ends a job and its containers. It returns once that is on disk; precondition and errors are as those of
// SetJob.
func (s *Server) DeleteJob(id string, precondition int64) error {
	_, err := s.changeJob(id, func(current *Job) (*JobRecord, controller.Event, error) {
		if current == nil {
			return nil, nil, ErrNotFound
		}
		if precondition > 0 {
			if err := checkVersion(current, precondition); err != nil {
				return nil, nil, err
			}
		}
		return nil, controller.JobDeleted{Job: id}, nil
	})
	return err
}

// rejectCreation returns why a job that exists is not created again.
func (s *Server) rejectCreation(current *Job, token CreationToken) error {
	if s.store != nil && token.Key != "" {
		created := s.store.jobs[current.ID]
		if created.CreationKey == token.Key && bytes.Equal(created.RequestDigest, token.RequestDigest) {
			return &alreadyCreatedError{current.Version}
		}
	}
	return &ConflictError{current.ID, current.Version, "it exists already"}
}

func checkVersion(current *Job, precondition int64) error {
	switch {
	case current == nil:
		return ErrNotFound
	case current.Version != precondition:
		return &ConflictError{current.ID, current.Version, "it was changed meanwhile"}
	}
	return nil
}

// changeJob makes a change on the loop and waits for it.
func (s *Server) changeJob(id string, decide jobDecision) (int64, error) {
	type result struct {
		version int64
		err     error
	}
	results := make(chan result, 1)
	change := &jobChange{
		job:    id,
		decide: decide,
		done:   func(version int64, err error) { results <- result{version, err} },
	}
	if !s.loop.Post(func() { s.startJobChange(change) }) {
		return 0, ErrStopped
	}
	r, err := receive(results, loopTimeout)
	if err != nil {
		return 0, err
	}
	return r.version, r.err
}

// receive waits for a reply from the loop. It returns ErrStopped where none comes in time.
func receive[T any](replies <-chan T, timeout time.Duration) (reply T, err error) {
	select {
	case reply = <-replies:
		return reply, nil
	case <-time.After(timeout):
		return reply, ErrStopped
	}
}

// startJobChange stores a change; once it is on disk, clients see it and the controller acts on it. A change of a job
// that has another under way waits for it, so that each is decided on what the last one left.
func (s *Server) startJobChange(change *jobChange) {
	if waiting, busy := s.jobChanges[change.job]; busy {
		s.jobChanges[change.job] = append(waiting, change)
		return
	}
	current := s.currentJob(change.job)
	record, event, err := change.decide(current)
	if err != nil {
		rejectJobChange(change, err)
		return
	}
	s.jobChanges[change.job] = nil // busy from here on
	published := &publication{kind: KindJobs, id: change.job}
	stored := wal.Change{Kind: RecordJob, Key: change.job}
	if record == nil {
		published.value, published.deleted = *current, true
		s.publisher.add(published)
	} else {
		s.publisher.add(published)
		record.Job.Version = published.version
		published.value = record.Job
		stored = wal.Put(RecordJob, change.job, record)
	}
	s.persist([]wal.Change{stored}, true, func(err error) {
		if err == nil {
			s.events = append(s.events, event)
			s.rememberJob(change.job, record)
		} else {
			err = &NotPersistedError{err}
		}
		s.publisher.complete(published, err == nil)
		change.done(published.version, err)
		s.startWaitingChanges(change.job)
	})
}

func rejectJobChange(change *jobChange, err error) {
	var created *alreadyCreatedError
	if errors.As(err, &created) {
		change.done(created.version, nil)
		return
	}
	change.done(0, err)
}

// startWaitingChanges starts the changes of a job that waited for the last one.
func (s *Server) startWaitingChanges(job string) {
	waiting := s.jobChanges[job]
	delete(s.jobChanges, job)
	for _, change := range waiting {
		s.startJobChange(change)
	}
}

// currentJob returns a copy of a job with its version, nil where there is none.
func (s *Server) currentJob(id string) *Job {
	o := s.Cache.Get(KindJobs, id)
	if o == nil {
		return nil
	}
	job := o.Value.(Job)
	job.Version = o.Version
	return &job
}

// rememberJob keeps the record of a job that is on disk, for retries of the request that created it.
func (s *Server) rememberJob(id string, record *JobRecord) {
	switch {
	case s.store == nil:
	case record == nil:
		delete(s.store.jobs, id)
	default:
		s.store.jobs[id] = *record
	}
}
