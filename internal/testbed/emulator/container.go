package emulator

import (
	"time"

	"glenport/internal/protocol"
	"glenport/internal/statemachine"
)

// containerState is a state of a container on a machine.
type containerState string

const (
	containerOffered  containerState = "offered"  // it waits to be examined
	containerAccepted containerState = "accepted" // its resources are reserved, and it is to be started
	containerRunning  containerState = "running"
	containerEnded    containerState = "ended" // or refused
)

// containerEvent is an event of a container.
type containerEvent string

const (
	offerAccepted  containerEvent = "offer accepted"
	startCompleted containerEvent = "start completed"
	containerGone  containerEvent = "ended"
)

var containerTransitions = statemachine.Table[containerState, containerEvent]{
	containerOffered:  {offerAccepted: containerAccepted, containerGone: containerEnded},
	containerAccepted: {startCompleted: containerRunning, containerGone: containerEnded},
	containerRunning:  {containerGone: containerEnded},
	containerEnded:    {},
}

// attemptKey names a container on a machine: the attempt by which a scheduler, in one incarnation, placed it there.
type attemptKey struct {
	scheduler   string
	incarnation uint64
	attemptID   uint64
}

// container is one container on a machine, from its offer to its end.
type container struct {
	stateful[containerState, containerEvent]
	key       attemptKey
	spec      protocol.ContainerSpec
	deadline  time.Time // by which it must run, or the attempt lapses
	memoryUse float64   // part of the requested memory
}

func newContainer(key attemptKey, offer *protocol.Offer, memoryUse float64) *container {
	return &container{
		stateful: stateful[containerState, containerEvent]{
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

// holdsResources reports whether resources are reserved for the container.
func (c *container) holdsResources() bool {
	return c.state == containerAccepted || c.state == containerRunning
}

// runtime is how long the container runs.
func (c *container) runtime() time.Duration {
	if d := fromProtocol(c.spec.ExpectedRuntime); d > 0 {
		return d
	}
	return defaultRuntime
}
