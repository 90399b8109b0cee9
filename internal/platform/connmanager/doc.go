// Package connmanager manages the connections of a scheduler on the platform, where file descriptors are scarce. Each
// file holds one group of decisions:
//
//   - admission.go: which client connections stay open;
//   - notifications.go: which client is notified that a running container has ended;
//   - pool.go: how many connections each machine may have, and how long an idle one stays open;
//   - cancels.go: when an order to end a container is resent;
//   - shutdown.go: how long the scheduler drains before it exits.
//
// The package performs no I/O and reads no clock: the process passes in events with the current time and carries out
// the returned actions.
//
// # States of a client
//
// A client is admitted as unserved. The table gives the next state for each state and event. "-" marks an illegal
// event: it leaves the state unchanged, and ReportError reports it with a *statemachine.TransitionError.
//
//	| state        | message sent | connection ended | close decided |
//	| unserved     | served       | disconnected     | closing       |
//	| served       | served       | disconnected     | closing       |
//	| closing      | closing      | disconnected     | -             |
//	| disconnected | -            | -                | -             |
//
// In addition to its state, each client has a level of evidence that it owns containers. The level never decreases:
// none, reclaimed, proven, acknowledged.
package connmanager
