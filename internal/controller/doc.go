// Package controller decides when, and at which scheduler, the placement of each container of a job is requested. It
// also decides how to react to answers, to ended containers, to lost connections and to its own restart. The schedulers
// choose the machines that containers run on.
//
// It maintains these invariants:
//
//   - Work that must not run twice has at most one copy. A container that may be running is looked up at the scheduler
//     that received its request, or fenced, before another is started.
//   - A copy of idempotent work that may remain at a lost scheduler is recorded as an orphan until it has certainly
//     ended.
//   - For other work, an idempotency key under which a container ran is not requested again.
//
// The package does no I/O, reads no clock and starts no goroutine. Handle takes events and returns actions. The caller
// stores the records before it sends the requests.
//
// # Components
//
// Controller dispatches events and connects the components. Each component owns its state: jobRegistry the jobs and
// their replicas, schedulerSet the connections, requestTable the open requests, timerQueue the timers, orphanTable the
// orphans, and outbox the actions of one call of Handle. lifecycle has a method for each event of a replica, and only
// lifecycle changes replicas.
//
// # States of a replica
//
// A replica is a container that a job wants, or one that is terminating. Only replica.transition changes its state, by
// the table below. If an event may lead to several states, the choice depends on whether the replica's work is
// idempotent, whether its container may be running, and whether its job wants it. An event that is not listed changes
// no state, for example an answer to an earlier request, or scaling down a replica that is already ending. A transition
// that is not in the table is a *statemachine.TransitionError: it is returned in the action TransitionRejected, and the
// replica keeps its state.
//
//	| created    | Created            | pending |
//	| created    | Restored           | pending, fencing, unobserved, completed |
//	| pending    | TimerFired         | pending, placing, lookingUp |
//	| pending    | SchedulerConnected | pending |
//	| pending    | ScaledDown         | cancelling, unobserved, removed |
//	| placing    | Accepted           | running |
//	| placing    | Rejected           | pending, removed |
//	| placing    | Failed             | pending, fencing, removed |
//	| placing    | Refused            | pending, removed |
//	| placing    | Ended              | fencing, removed |
//	| placing    | SchedulerLost      | pending, fencing, removed |
//	| lookingUp  | Accepted           | running |
//	| lookingUp  | Rejected           | pending, completed, removed |
//	| lookingUp  | Failed             | pending, fencing, completed, removed |
//	| lookingUp  | Refused            | pending, fencing |
//	| lookingUp  | Ended              | fencing, removed |
//	| lookingUp  | SchedulerLost      | pending, fencing, removed |
//	| cancelling | Accepted           | running |
//	| cancelling | Rejected           | pending, completed, removed |
//	| cancelling | Failed             | pending, fencing, completed, removed |
//	| cancelling | Refused            | pending, fencing |
//	| cancelling | Ended              | pending, fencing, completed, removed |
//	| cancelling | SchedulerLost      | pending, fencing, removed |
//	| running    | Ended              | pending, fencing, completed, removed |
//	| running    | SchedulerLost      | unobserved |
//	| fencing    | TimerFired         | pending, cancelling, unobserved |
//	| unobserved | TimerFired         | pending |
//	| unobserved | Ended              | pending, fencing, completed, removed |
//	| unobserved | SchedulerConnected | pending, cancelling |
//	| completed  | ScaledDown         | removed |
//
// A replica is stored as a Container. The states of a Container are the states that the API shows.
package controller
