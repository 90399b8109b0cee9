package server

import (
	"bytes"

	"glenport/internal/storage/wal"
)

// durability says how safe a change is once it counts as stored.
type durability uint8

const (
	written durability = iota // it survives the end of the process
	synced                    // it survives a power loss too
)

// storage is where the controller's state is stored.
type storage interface {
	// persist stores changes and then calls done on the loop.
	persist(changes []wal.Change, d durability, done func(error))
	// rememberJob keeps the record of a job that is stored, nil where it is deleted, for retries of the request that
	// created it.
	rememberJob(id string, record *JobRecord)
	// wasCreatedBy says whether the request with a token has created a job.
	wasCreatedBy(id string, token CreationToken) bool
	close() error
}

// noStorage stands for a state folder where none is configured. Nothing survives a restart.
type noStorage struct{}

func (noStorage) persist(_ []wal.Change, _ durability, done func(error)) { done(nil) }

func (noStorage) rememberJob(string, *JobRecord) {}

func (noStorage) wasCreatedBy(string, CreationToken) bool { return false }

func (noStorage) close() error { return nil }

func (st *stateStore) rememberJob(id string, record *JobRecord) {
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
