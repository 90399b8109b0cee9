// Package connmanager decides on the connections of a scheduler on the platform, where file descriptors are few. It has
// five jobs, a file each: which client connections stay open (admission.go), which client is notified of the end of a
// running container (notifications.go), how many connections a machine may have and for how long (pool.go), when the
// cancel of a copy is sent again (cancels.go), and how long a scheduler drains at shutdown (shutdown.go).
//
// It does no I/O and has no clock: the process passes in events with the time and carries out the actions.
//
// # States of a client
//
// A client is admitted as unserved. The table gives the state that follows an event; a pair without one is illegal: it
// is reported by ReportError with a *statemachine.TransitionError, and changes nothing.
//
//	| state        | message sent | connection ended | close decided |
//	| unserved     | served       | disconnected     | closing       |
//	| served       | served       | disconnected     | closing       |
//	| closing      | closing      | disconnected     | -             |
//	| disconnected | -            | -                | -             |
//
// Beside its state, a client has the evidence that it owns containers, which only grows: none, reclaimed, proven,
// acknowledged.
package connmanager
