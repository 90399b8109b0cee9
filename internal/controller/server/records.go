package server

import "glenport/internal/controller"

// The records below are stored under the names in their tags: a name that changes there makes stored state unreadable.

// Kinds of what a keeper's log holds.
const (
	RecordJob            = "job"       // by id, with its version
	RecordContainer      = "container" // by id, as the keeper last had it
	RecordOrphan         = "stray"     // by door and key: what may run at a placer that was lost
	RecordVersionCeiling = "ceiling"   // a version that no life has given out, and the next begins with
)

// JobRecord is a job as the log has it.
type JobRecord struct {
	Job           Job    `cbor:"Job"`
	CreationKey   string `cbor:"Made"` // the key with which it was made, and a digest of that request: a repeat gets the same answer
	RequestDigest []byte `cbor:"Request"`
}

// ContainerRecord is a container as the log has it.
type ContainerRecord struct {
	Container        controller.Container `cbor:"Container"`
	SchedulerAddress string               `cbor:"Door"` // the address of the placer that was asked
}

// OrphanRecord is a stray as the log has it.
type OrphanRecord struct {
	SchedulerAddress string `cbor:"Door"`
	IdempotencyKey   string `cbor:"Key"`
}
