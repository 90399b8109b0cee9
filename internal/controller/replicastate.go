package controller

import (
	"fmt"

	"glenport/internal/statemachine"
)

// replicaState is where a replica is in its life.
type replicaState uint8

const (
	replicaCreated    replicaState = iota // no step was taken about it yet
	replicaPending                        // its placement is requested, or it is looked up, when its time comes
	replicaPlacing                        // a scheduler has a placement request for it
	replicaLookingUp                      // its scheduler is asked whether it runs
	replicaCancelling                     // its scheduler is asked to end what may run
	replicaRunning                        // a machine runs it
	replicaFencing                        // it may run: nothing is requested until the fencing delay is over
	replicaUnobserved                     // it ran, or may have, when its scheduler was lost
	replicaCompleted                      // it is not started again
	replicaRemoved                        // it has ended, and its job does not want it
)

func (s replicaState) String() string {
	return [...]string{
		"created", "pending", "placing", "lookingUp", "cancelling", "running", "fencing", "unobserved", "completed",
		"removed",
	}[s]
}

// stored is the state in the record of a replica. A lookup and a cancel are stored as a request: a restarted controller
// looks up what any of them was for. Replicas that are created or removed have no record.
func (s replicaState) stored() ContainerState {
	switch s {
	case replicaPlacing, replicaLookingUp, replicaCancelling:
		return StatePlacing
	case replicaRunning:
		return StateRunning
	case replicaFencing:
		return StateFencing
	case replicaUnobserved:
		return StateUnobserved
	case replicaCompleted, replicaRemoved:
		return StateCompleted
	case replicaCreated, replicaPending:
	}
	return StatePending
}

// replicaEvent is what happened to a replica.
type replicaEvent uint8

const (
	eventCreated            replicaEvent = iota // its job wants one more container
	eventRestored                               // an earlier incarnation of the controller has stored it
	eventTimerFired                             // the delay of its state is over
	eventAccepted                               // a machine runs it
	eventRejected                               // nothing of it runs
	eventFailed                                 // no machine accepted in time
	eventRefused                                // the request was not admitted, or nobody is sure whether it runs
	eventEnded                                  // its container has ended, or was lost with its machine
	eventSchedulerConnected                     // its scheduler is connected again, or any is
	eventSchedulerLost                          // the connection to its scheduler was lost
	eventScaledDown                             // its job does not want it any more
)

func (e replicaEvent) String() string {
	return [...]string{
		"Created", "Restored", "TimerFired", "Accepted", "Rejected", "Failed", "Refused", "Ended",
		"SchedulerConnected", "SchedulerLost", "ScaledDown",
	}[e]
}

// transitions holds the states that an event may lead to. Where there are several the facts of the replica decide: the
// idempotency of its work, whether it may run, and whether its job wants it.
var transitions = statemachine.Choices[replicaState, replicaEvent]{
	replicaCreated: {
		eventCreated:  {replicaPending},
		eventRestored: {replicaPending, replicaFencing, replicaUnobserved, replicaCompleted},
	},
	replicaPending: {
		eventTimerFired:         {replicaPending, replicaPlacing, replicaLookingUp},
		eventSchedulerConnected: {replicaPending},
		eventScaledDown:         {replicaCancelling, replicaUnobserved, replicaRemoved},
	},
	replicaPlacing: {
		eventAccepted:      {replicaRunning},
		eventRejected:      {replicaPending, replicaRemoved},
		eventFailed:        {replicaPending, replicaFencing, replicaRemoved},
		eventRefused:       {replicaPending, replicaRemoved},
		eventEnded:         {replicaFencing, replicaRemoved},
		eventSchedulerLost: {replicaPending, replicaFencing, replicaRemoved},
	},
	replicaLookingUp: mayRunTransitions,
	replicaCancelling: {
		eventAccepted:      {replicaRunning},
		eventRejected:      {replicaPending, replicaCompleted, replicaRemoved},
		eventFailed:        {replicaPending, replicaFencing, replicaCompleted, replicaRemoved},
		eventRefused:       {replicaPending, replicaFencing},
		eventEnded:         {replicaPending, replicaFencing, replicaCompleted, replicaRemoved},
		eventSchedulerLost: {replicaPending, replicaFencing, replicaRemoved},
	},
	replicaRunning: {
		eventEnded:         {replicaPending, replicaFencing, replicaCompleted, replicaRemoved},
		eventSchedulerLost: {replicaUnobserved},
	},
	replicaFencing: {
		eventTimerFired: {replicaPending, replicaCancelling, replicaUnobserved},
	},
	replicaUnobserved: {
		eventTimerFired:         {replicaPending},
		eventEnded:              {replicaPending, replicaFencing, replicaCompleted, replicaRemoved},
		eventSchedulerConnected: {replicaPending, replicaCancelling},
	},
	replicaCompleted: {
		eventScaledDown: {replicaRemoved},
	},
	replicaRemoved: {},
}

// mayRunTransitions are those while a scheduler is asked whether it runs.
var mayRunTransitions = map[replicaEvent][]replicaState{
	eventAccepted:      {replicaRunning},
	eventRejected:      {replicaPending, replicaCompleted, replicaRemoved},
	eventFailed:        {replicaPending, replicaFencing, replicaCompleted, replicaRemoved},
	eventRefused:       {replicaPending, replicaFencing},
	eventEnded:         {replicaFencing, replicaRemoved},
	eventSchedulerLost: {replicaPending, replicaFencing, replicaRemoved},
}

// transition is the one place where the state of a replica changes. An event that must not lead to a state is reported
// as a *statemachine.TransitionError, and the state stays.
func (r *replica) transition(event replicaEvent, to replicaState) error {
	return transitions.Apply(r, &r.state, event, to)
}

// String names a replica in errors.
func (r *replica) String() string { return fmt.Sprintf("container %d of job %s", r.index, r.job.id) }
