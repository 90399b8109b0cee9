package recovery

import "glenport/scheduler"

// Attempt is the placement of a container on a machine by one incarnation of the scheduler. It is stored in the
// scheduler's log.
type Attempt struct {
	Request     scheduler.PlacementRequest `cbor:"Ask"`
	Machine     scheduler.MachineID        `cbor:"Machine"`
	Incarnation uint64                     `cbor:"Life"` // of the scheduler
	Number      uint64                     `cbor:"Bid"`  // unique over all incarnations
	Running     bool                       `cbor:"Running"`
}

// LogCoverage is how many of the attempts of earlier incarnations the scheduler's log holds.
type LogCoverage uint8

// Degrees of coverage. They are stored as numbers.
const (
	LogNone   LogCoverage = iota
	LogSynced             // each attempt of at-most-once work was on disk before it was sent
	// each attempt of work that is not idempotent was written, and the system has not restarted since
	LogComplete
)

// String is the form used in logs.
func (c LogCoverage) String() string {
	switch c {
	case LogSynced:
		return "synced"
	case LogComplete:
		return "whole"
	default:
		return "none"
	}
}

// MustPersist reports what must have happened before an attempt of work is sent: whether it must be in the log, and
// whether the log must be synced to disk. At-most-once work is worth a sync. Work that is idempotent with a key is only
// written, which the death of the process does not undo; after a restart of the system every machine reports before
// such work is retried.
func MustPersist(i scheduler.Idempotency) (write, sync bool) {
	return i != scheduler.Idempotent, i == scheduler.AtMostOnce
}
