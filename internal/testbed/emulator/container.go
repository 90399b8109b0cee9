package emulator

import (
	"time"

	"glenport/internal/protocol"
	"glenport/internal/statemachine"
)

// containerState is the state of a container on a machine.
type containerState string

const (
	containerOffered  containerState = "offered"  // the container waits for admission
	containerAccepted containerState = "accepted" // resources are reserved, the start is pending or under way
	containerRunning  containerState = "running"
	containerEnded    containerState = "ended" // also after a reject
)

// containerEvent is an event of a container.
type containerEvent string

const (
	offerAccepted       containerEvent = "offer accepted"
	startCompleted      containerEvent = "start completed"
	containerTerminated containerEvent = "ended"
)

var containerTransitions = statemachine.Table[containerState, containerEvent]{
	containerOffered:  {offerAccepted: containerAccepted, containerTerminated: containerEnded},
	containerAccepted: {startCompleted: containerRunning, containerTerminated: containerEnded},
	containerRunning:  {containerTerminated: containerEnded},
	containerEnded:    {},
}

// attemptKey identifies a container on a machine by the attempt of a scheduler incarnation that placed it there.
type attemptKey struct {
	scheduler   string
	incarnation uint64
	attemptID   uint64
}

// container is one container on a machine, from its offer to its end.
type container struct {
	stateMachine[containerState, containerEvent]
	key       attemptKey
	spec      protocol.ContainerSpec
	deadline  time.Time // end of the timeout of the attempt
	memoryUse float64   // fraction of the requested memory
}

func newContainer(key attemptKey, offer *protocol.Offer, memoryUse float64) *container {
	return &container{
		stateMachine: stateMachine[containerState, containerEvent]{
			"container " + offer.Spec.ContainerID, containerTransitions, containerOffered,
		},
		key:       key,
		spec:      offer.Spec,
		deadline:  time.Now().Add(fromProtocol(offer.Timeout)),
		memoryUse: memoryUse,
	}
}

func (c *container) isRunning() bool { return c.state == containerRunning }

func (c *container) hasEnded() bool { return c.state == containerEnded }

// holdsResources reports whether cores and memory are reserved for the container.
func (c *container) holdsResources() bool {
	return c.state == containerAccepted || c.state == containerRunning
}

// runtime returns how long the container runs.
func (c *container) runtime() time.Duration {
	if d := fromProtocol(c.spec.ExpectedRuntime); d > 0 {
		return d
	}
	return defaultRuntime
}
