// Package controller decides how jobs are kept running: when the placement of each of a job's containers is requested,
// at which scheduler, and what follows an answer, the end of a container, a lost connection and a restart of the
// controller itself. The machine that a container runs on is the schedulers' decision.
//
// Its invariants: work that must not run twice has one copy at most, so a container that may run is looked up at the
// scheduler that was sent its request, or fenced, before another is started; a copy of idempotent work that may be left
// at a scheduler that was lost is recorded as an orphan until it has surely ended; of other work, a key under which
// something ran is not requested again.
//
// The package is pure: no I/O, clock or goroutine. Handle takes events and returns actions; the caller stores the
// records before it sends the requests.
//
// # Components
//
// Controller dispatches events and wires the components. Each owns its state: jobRegistry the jobs and their replicas,
// schedulerSet the connections, requestTable the open requests, timerQueue the timers, orphanTable the orphans, outbox
// the actions of a call. lifecycle has a method for each event about a replica, and is the only one that changes
// replicas.
//
// # States of a replica
//
// A replica is a container that a job wants, or one that is terminating. Its state changes in replica.transition alone,
// by the table below. Where an event may lead to several states the facts of the replica decide: whether its work is
// idempotent, whether it may run, and whether its job wants it. An event that is not listed changes no state: an answer
// to an earlier request, or a job that does not want what ends anyway. A change that the table does not have is a
// *statemachine.TransitionError; it is returned as the action TransitionRejected, and the replica keeps its state.
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
// What is stored of a replica is a Container, with the states of the API.
package controller
