package controller

import (
	"fmt"

	"glenport/internal/statemachine"
)

// replicaState is the state of a replica in its life cycle.
type replicaState uint8

const (
	replicaCreated    replicaState = iota // new or restored, before its first step
	replicaPending                        // its next placement request or lookup is scheduled
	replicaPlacing                        // a scheduler has a placement request for it
	replicaLookingUp                      // its scheduler has a lookup request for it
	replicaCancelling                     // its scheduler has a cancel request for it, as it may be running
	replicaRunning                        // a machine runs it
	replicaFencing                        // it may be running: nothing is requested until the fencing delay is over
	replicaUnobserved                     // it ran, or may have been running, when its scheduler was lost
	replicaCompleted                      // it is not started again
	replicaRemoved                        // it has ended, and its job did not want it
)

func (s replicaState) String() string {
	return [...]string{
		"created", "pending", "placing", "lookingUp", "cancelling", "running", "fencing", "unobserved", "completed",
		"removed",
	}[s]
}

// containerState returns the state in the record of a replica. A lookup and a cancel are stored like a placement
// request, because a restarted controller looks up the replica in each case. Replicas that are created or removed have
// no record.
func (s replicaState) containerState() ContainerState {
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

// replicaEvent is an event that concerns one replica.
type replicaEvent uint8

const (
	eventCreated            replicaEvent = iota // its job wants one more container
	eventRestored                               // an earlier incarnation of the controller stored it
	eventTimerFired                             // the delay of its state is over
	eventAccepted                               // a machine runs it
	eventRejected                               // its container does not run
	eventFailed                                 // no machine accepted in time
	eventRefused                                // the request was not admitted, or it is unknown whether it runs
	eventEnded                                  // its container has ended, or was lost with its machine
	eventSchedulerConnected                     // its scheduler, or any scheduler if it waited for any, is connected
	eventSchedulerLost                          // the connection to its scheduler was lost
	eventScaledDown                             // its job no longer wants it
)

func (e replicaEvent) String() string {
	return [...]string{
		"Created", "Restored", "TimerFired", "Accepted", "Rejected", "Failed", "Refused", "Ended",
		"SchedulerConnected", "SchedulerLost", "ScaledDown",
	}[e]
}

// transitions holds the states that an event may lead to. If there are several, the choice depends on whether the
// replica's work is idempotent, whether its container may be running, and whether its job wants it.
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
	replicaLookingUp: lookupTransitions,
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

// lookupTransitions are the transitions of a replica that is being looked up.
var lookupTransitions = map[replicaEvent][]replicaState{
	eventAccepted:      {replicaRunning},
	eventRejected:      {replicaPending, replicaCompleted, replicaRemoved},
	eventFailed:        {replicaPending, replicaFencing, replicaCompleted, replicaRemoved},
	eventRefused:       {replicaPending, replicaFencing},
	eventEnded:         {replicaFencing, replicaRemoved},
	eventSchedulerLost: {replicaPending, replicaFencing, replicaRemoved},
}

// transition changes the state of a replica. The state changes nowhere else. If the table does not allow the
// transition, it returns a *statemachine.TransitionError and the state stays.
func (r *replica) transition(event replicaEvent, to replicaState) error {
	return transitions.Apply(r, &r.state, event, to)
}

// String identifies the replica in errors.
func (r *replica) String() string { return fmt.Sprintf("container %d of job %s", r.index, r.job.id) }
