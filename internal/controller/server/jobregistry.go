package server

import (
	"errors"

	"glenport/internal/controller"
	"glenport/internal/controller/watchcache"
	"glenport/internal/storage/wal"
)

// jobChange is a client's change of one job.
type jobChange struct {
	job    string
	decide jobDecision
	done   func(version int64, err error) // called once, on the loop
}

// jobDecision returns the record and the event of a change, given the job as it is (nil where there is none), or the
// error that rejects it. A nil record deletes the job.
type jobDecision func(current *Job) (*JobRecord, controller.Event, error)

// jobRegistry makes the changes of jobs, those of one job one after another.
type jobRegistry struct {
	specs     specReader
	cache     *watchcache.Cache
	publisher *publisher
	storage   storage
	addEvent  func(controller.Event)
	underWay  map[string][]*jobChange // by job with a change under way: the changes that wait for it
}

// start stores a change; once it is on disk, clients see it and the controller acts on it. A change of a job that has
// another under way waits for it, so that each is decided on what the last one left.
func (g *jobRegistry) start(change *jobChange) {
	if waiting, busy := g.underWay[change.job]; busy {
		g.underWay[change.job] = append(waiting, change)
		return
	}
	current := g.current(change.job)
	record, event, err := change.decide(current)
	if err != nil {
		rejectJobChange(change, err)
		return
	}
	g.underWay[change.job] = nil // busy from here on
	published := g.publish(change.job, current, record)
	stored := wal.Change{Kind: RecordJob, Key: change.job}
	if record != nil {
		stored = wal.Put(RecordJob, change.job, record)
	}
	g.storage.persist([]wal.Change{stored}, synced, func(err error) {
		if err != nil {
			err = &NotPersistedError{err}
			g.publisher.discard(published)
		} else {
			g.addEvent(event)
			g.storage.rememberJob(change.job, record)
			g.publisher.release(published)
		}
		change.done(published.object.Version, err)
		g.startWaiting(change.job)
	})
}

// publish queues the new state of a job, or its deletion, until it is stored. The record gets its version.
func (g *jobRegistry) publish(id string, current *Job, record *JobRecord) *publication {
	published := &publication{object: watchcache.Object{Kind: KindJobs, ID: id}}
	object := &published.object
	if record == nil {
		object.Value, object.Deleted = *current, true
		g.publisher.add(published)
		return published
	}
	g.publisher.add(published)
	record.Job.Version = object.Version
	object.Value = record.Job
	return published
}

// startWaiting starts the changes of a job that waited for the last one.
func (g *jobRegistry) startWaiting(job string) {
	waiting := g.underWay[job]
	delete(g.underWay, job)
	for _, change := range waiting {
		g.start(change)
	}
}

// current returns a copy of a job with its version, nil where there is none.
func (g *jobRegistry) current(id string) *Job {
	o := g.cache.Get(KindJobs, id)
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

// rejectCreation returns why a job that exists is not created again.
func (g *jobRegistry) rejectCreation(current *Job, token CreationToken) error {
	if g.storage.wasCreatedBy(current.ID, token) {
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
