package server

import (
	"bytes"

	"glenport/internal/storage/wal"
)

// durability is the level of durability at which a change counts as stored.
type durability uint8

const (
	durabilityWrite durability = iota // the change survives the end of the process
	durabilitySync                    // the change survives a power loss too
)

// storage stores the controller's state.
type storage interface {
	// persist stores changes and then calls done on the event loop.
	persist(changes []wal.Change, d durability, done func(error))
	// setJobRecord keeps the stored record of a job for wasCreatedBy. A nil record means that the job is deleted.
	setJobRecord(id string, record *JobRecord)
	// wasCreatedBy reports whether the request with a token created a job.
	wasCreatedBy(id string, token CreationToken) bool
	close() error
}

// noStorage is the storage without a state folder. No state survives a restart.
type noStorage struct{}

func (noStorage) persist(_ []wal.Change, _ durability, done func(error)) { done(nil) }

func (noStorage) setJobRecord(string, *JobRecord) {}

func (noStorage) wasCreatedBy(string, CreationToken) bool { return false }

func (noStorage) close() error { return nil }

func (st *stateStore) setJobRecord(id string, record *JobRecord) {
	if record == nil {
		delete(st.jobs, id)
		return
	}
	st.jobs[id] = *record
}

func (st *stateStore) wasCreatedBy(id string, token CreationToken) bool {
	if token.Key == "" {
		return false
	}
	created := st.jobs[id]
	return created.CreationKey == token.Key && bytes.Equal(created.RequestDigest, token.RequestDigest)
}
