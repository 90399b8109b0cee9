package emulator

import (
	"time"

	"glenport/internal/protocol"
)

// host is the machine to which a component belongs.
type host interface {
	// post has the machine's goroutine run a task.
	post(task func())
	// after has it run a task later, unless the machine goes down first.
	after(delay time.Duration, task func())
	// sendTo sends a frame to the container's scheduler, if that is connected.
	sendTo(c *container, frame protocol.Frame)
	// report is what frames tell schedulers of the machine's load.
	report() map[string]float64
	// startPace is the part of its full pace at which the machine starts containers.
	startPace() float64
	// containerStopped is called for each container that ran.
	containerStopped(id string)
	// refusesOffers reports whether the machine drains.
	refusesOffers() bool
	// powerOff ends the machine.
	powerOff(cause machineEvent)
}
