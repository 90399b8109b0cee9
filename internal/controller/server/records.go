package server

import "glenport/internal/controller"

// The records below are stored under the names in their tags: a name that changes there makes stored state unreadable.

// Kinds of records in a controller's log.
const (
	RecordJob            = "job"       // by job ID
	RecordContainer      = "container" // by container ID
	RecordOrphan         = "stray"     // by scheduler address and idempotency key
	RecordVersionCeiling = "ceiling"   // one int64: no process has given out a version above it
)

// JobRecord is a job as the log has it.
type JobRecord struct {
	Job           Job    `cbor:"Job"`
	CreationKey   string `cbor:"Made"`    // idempotency key of the request that created it; empty: it had none
	RequestDigest []byte `cbor:"Request"` // of that request: a retry of it gets the first answer
}

// ContainerRecord is a container as the log has it.
type ContainerRecord struct {
	Container        controller.Container `cbor:"Container"` // its Scheduler is a number of that time
	SchedulerAddress string               `cbor:"Door"`      // identifies that scheduler; empty: none was asked
}

// OrphanRecord is an orphan as the log has it: idempotent work that may run behind a scheduler whose connection was
// lost.
type OrphanRecord struct {
	SchedulerAddress string `cbor:"Door"`
	IdempotencyKey   string `cbor:"Key"`
}

func (r OrphanRecord) storeKey() string { return r.SchedulerAddress + " " + r.IdempotencyKey }
