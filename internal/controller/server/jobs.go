package server

import (
	"time"

	"glenport/internal/controller"
)

// loopTimeout is how long a client waits for a reply from the event loop.
const loopTimeout = 10 * time.Second

// MustNotExist is the precondition that the job does not exist.
const MustNotExist = -1

// CreationToken identifies the request that creates a job, to distinguish a retry of it from a different request.
type CreationToken struct {
	Key           string // the client's idempotency key; empty: none
	RequestDigest []byte
}

// SetJob creates or changes a job and returns its version once the change is on disk. A precondition above 0 is the
// version that the job must have; 0 means no precondition. With MustNotExist, a retry of the request that created the
// job returns the job's version instead of a conflict. Errors are *InvalidFieldError, *ConflictError,
// *NotPersistedError, ErrNotFound and ErrStopped.
func (s *Server) SetJob(job Job, precondition int64, token CreationToken) (version int64, err error) {
	spec, err := s.specs.read(&job)
	if err != nil {
		return 0, err
	}
	return s.changeJob(job.ID, func(current *Job) (*JobRecord, controller.Event, error) {
		if precondition < 0 && current != nil {
			return nil, nil, s.jobs.rejectCreation(current, token)
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

// DeleteJob deletes a job and ends its containers. It returns once the deletion is on disk. Precondition and errors are
// the same as for SetJob.
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

// changeJob starts a change on the event loop and waits until it is done.
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
	if !s.loop.Post(func() { s.jobs.start(change) }) {
		return 0, ErrStopped
	}
	r, err := receive(results, loopTimeout)
	if err != nil {
		return 0, err
	}
	return r.version, r.err
}

// receive waits for a reply from the event loop. It returns ErrStopped if none arrives within the timeout.
func receive[T any](replies <-chan T, timeout time.Duration) (reply T, err error) {
	select {
	case reply = <-replies:
		return reply, nil
	case <-time.After(timeout):
		return reply, ErrStopped
	}
}
