package reconcile

import (
	"fmt"

	"glenport/scheduler"
)

// UnknownClassError says that a request names a workload class that is not configured.
type UnknownClassError struct{ Class int }

// Error is the text that clients are given.
func (e *UnknownClassError) Error() string { return fmt.Sprintf("there is no workload %d", e.Class) }

// DuplicateContainerError says that a request has the id of another container.
type DuplicateContainerError struct{ ID scheduler.ContainerID }

// Error is the text that clients are given.
func (e *DuplicateContainerError) Error() string {
	return fmt.Sprintf("container %s is known already", e.ID)
}

// KeyState is what becomes of a container whose idempotency key is in use.
type KeyState uint8

// States of a key in use.
const (
	KeyTerminating KeyState = iota + 1 // an earlier attempt is being ended
	KeyPlacing                         // its container is being placed
	KeyUnsettled                       // one of the two
)

// KeyInUseError says that the container under an idempotency key neither runs nor is gone.
type KeyInUseError struct {
	Key   string
	ID    scheduler.ContainerID
	State KeyState
}

// Error is the text that clients are given.
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
