package server

import "glenport/internal/controller"

// The fields of the records below are stored under the names in their tags. Changing a tag makes stored state
// unreadable.

// Kinds of records in a controller's log.
const (
	RecordJob            = "job"       // by job ID
	RecordContainer      = "container" // by container ID
	RecordOrphan         = "stray"     // by scheduler address and idempotency key
	RecordVersionCeiling = "ceiling"   // one int64: no process has assigned a version above it
)

// JobRecord is the stored record of a job.
type JobRecord struct {
	Job           Job    `cbor:"Job"`
	CreationKey   string `cbor:"Made"`    // idempotency key of the request that created the job; empty: none
	RequestDigest []byte `cbor:"Request"` // of that request; a retry with the same digest gets the same answer
}

// ContainerRecord is the stored record of a container.
type ContainerRecord struct {
	Container        controller.Container `cbor:"Container"` // its field Scheduler is the number at the time of storing
	SchedulerAddress string               `cbor:"Door"`      // identifies that scheduler; empty: none
}

// OrphanRecord is the stored record of an orphan: idempotent work that may still run through a scheduler whose
// connection was lost.
type OrphanRecord struct {
	SchedulerAddress string `cbor:"Door"`
	IdempotencyKey   string `cbor:"Key"`
}

func (r OrphanRecord) storeKey() string { return r.SchedulerAddress + " " + r.IdempotencyKey }
