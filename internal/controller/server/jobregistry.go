package server

import (
	"errors"

	"glenport/internal/controller"
	"glenport/internal/controller/watchcache"
	"glenport/internal/storage/wal"
)

// jobChange is a change of one job that a client requested.
type jobChange struct {
	job    string
	decide jobDecision
	done   func(version int64, err error) // called once, on the loop
}

// jobDecision decides a change. It gets the current job, nil if it does not exist, and returns the new record and the
// event for the controller, or the error that rejects the change. A nil record deletes the job.
type jobDecision func(current *Job) (*JobRecord, controller.Event, error)

// jobRegistry applies changes of jobs. Changes of the same job are serialized.
type jobRegistry struct {
	specs          specReader
	cache          *watchcache.Cache
	publisher      *publisher
	storage        storage
	addEvent       func(controller.Event)
	waitingChanges map[string][]*jobChange // changes that wait, by job; a job with a change in progress has an entry
}

// start decides and stores a change. Once the change is on disk, it is published to clients and the controller acts on
// it. While another change of the same job is in progress, the change waits, so that the decision is based on the
// result of the other change.
func (r *jobRegistry) start(change *jobChange) {
	if waiting, busy := r.waitingChanges[change.job]; busy {
		r.waitingChanges[change.job] = append(waiting, change)
		return
	}
	current := r.current(change.job)
	record, event, err := change.decide(current)
	if err != nil {
		rejectJobChange(change, err)
		return
	}
	r.waitingChanges[change.job] = nil // marks the job as busy
	published := r.publish(change.job, current, record)
	stored := wal.Change{Kind: RecordJob, Key: change.job}
	if record != nil {
		stored = wal.Put(RecordJob, change.job, record)
	}
	r.storage.persist([]wal.Change{stored}, durabilitySync, func(err error) {
		if err != nil {
			err = &NotPersistedError{err}
			r.publisher.discard(published)
		} else {
			r.addEvent(event)
			r.storage.setJobRecord(change.job, record)
			r.publisher.release(published)
		}
		change.done(published.object.Version, err)
		r.startWaiting(change.job)
	})
}

// publish assigns a version to the new state of a job or to its deletion, sets the version in the record, and queues
// the publication until the record is stored.
func (r *jobRegistry) publish(id string, current *Job, record *JobRecord) *publication {
	published := &publication{object: watchcache.Object{Kind: KindJobs, ID: id}}
	object := &published.object
	if record == nil {
		object.Value, object.Deleted = *current, true
		r.publisher.add(published)
		return published
	}
	r.publisher.add(published)
	record.Job.Version = object.Version
	object.Value = record.Job
	return published
}

// startWaiting starts the changes that waited for the completed change of a job.
func (r *jobRegistry) startWaiting(job string) {
	waiting := r.waitingChanges[job]
	delete(r.waitingChanges, job)
	for _, change := range waiting {
		r.start(change)
	}
}

// current returns a copy of a job with its version, or nil if it does not exist.
func (r *jobRegistry) current(id string) *Job {
	o := r.cache.Get(KindJobs, id)
	if o == nil {
		return nil
	}
	job, ok := o.Value.(Job)
	if !ok {
		return nil
	}
	job.Version = o.Version
	return &job
}

// rejectCreation returns the error for creating a job that exists.
func (r *jobRegistry) rejectCreation(current *Job, token CreationToken) error {
	if r.storage.wasCreatedBy(current.ID, token) {
		return &alreadyCreatedError{current.Version}
	}
	return &ConflictError{current.ID, current.Version, "it exists already"}
}

func rejectJobChange(change *jobChange, err error) {
	if created, ok := errors.AsType[*alreadyCreatedError](err); ok {
		change.done(created.version, nil)
		return
	}
	change.done(0, err)
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
