package reconcile

import (
	"fmt"

	"glenport/scheduler"
)

// UnknownClassError reports that a request names a workload class that is not configured.
type UnknownClassError struct{ Class int }

// Error returns the text that is sent to clients.
func (e *UnknownClassError) Error() string { return fmt.Sprintf("there is no workload %d", e.Class) }

// DuplicateContainerError reports that a request has the id of another container.
type DuplicateContainerError struct{ ID scheduler.ContainerID }

// Error returns the text that is sent to clients.
func (e *DuplicateContainerError) Error() string {
	return fmt.Sprintf("container %s is known already", e.ID)
}

// KeyState is the state of the container that holds an idempotency key.
type KeyState uint8

// States of a container that holds an idempotency key and does not run.
const (
	KeyTerminating          KeyState = iota + 1 // an earlier attempt is being cancelled
	KeyPlacing                                  // the container is being placed
	KeyPlacingOrTerminating                     // either of these states: a lookup does not distinguish them
)

// KeyInUseError reports that the container that holds an idempotency key is being placed or terminated.
type KeyInUseError struct {
	Key   string
	ID    scheduler.ContainerID
	State KeyState
}

// Error returns the text that is sent to clients.
func (e *KeyInUseError) Error() string {
	switch e.State {
	case KeyTerminating:
		return fmt.Sprintf("an earlier bid of key %s is being called off", e.Key)
	case KeyPlacing:
		return fmt.Sprintf("key %s is being placed as %s", e.Key, e.ID)
	default:
		return fmt.Sprintf("key %s is being placed, or ended, as %s", e.Key, e.ID)
	}
}
