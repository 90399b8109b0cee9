package recovery

import "glenport/scheduler"

// Attempt is the placement of a container on a machine by one incarnation of the scheduler. It is stored in the
// scheduler's log.
type Attempt struct {
	Request     scheduler.PlacementRequest `cbor:"Ask"`
	Machine     scheduler.MachineID        `cbor:"Machine"`
	Incarnation uint64                     `cbor:"Life"` // incarnation of the scheduler
	Number      uint64                     `cbor:"Bid"`  // unique over all incarnations
	Running     bool                       `cbor:"Running"`
}

// LogCoverage tells which attempts of earlier incarnations the scheduler's log is known to hold.
type LogCoverage uint8

// Levels of coverage. They are stored as numbers.
const (
	LogNone   LogCoverage = iota
	LogSynced             // each at-most-once attempt was on disk before it was sent
	// each attempt that is not idempotent was written, and the operating system has not restarted since
	LogComplete
)

// String returns the form used in log lines.
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

// MustPersist reports whether an attempt must be written to the log before it is sent, and whether the log must be
// synced to disk as well. Only at-most-once attempts justify the cost of a sync. Attempts that are idempotent with a
// key are only written: the record survives the death of the process, and after a restart of the operating system such
// attempts are retried only once every machine has reported.
func MustPersist(i scheduler.Idempotency) (write, sync bool) {
	return i != scheduler.Idempotent, i == scheduler.AtMostOnce
}
