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

// do has the machine's goroutine run a task and waits for it. A closed machine runs nothing, and nothing is owed.
func (m *Machine) do(task func()) { _ = m.loop.runAndWait(task) }

// post is do without the wait.
func (m *Machine) post(task func()) { _ = m.loop.post(task) }

// after posts a task later, which runs unless the machine was restarted meanwhile.
func (m *Machine) after(delay time.Duration, task func()) {
	incarnation := m.life.incarnation
	time.AfterFunc(delay, func() {
		m.post(func() {
			if m.life.isUp() && m.life.incarnation == incarnation {
				task()
			}
		})
	})
}

func (m *Machine) sendTo(c *container, frame protocol.Frame) { m.server.sendTo(c, frame) }

func (m *Machine) report() map[string]float64 {
	free := m.runtime.free()
	return map[string]float64{
		"x0":    free.cores,
		"x1":    free.memory,
		"queue": float64(m.admission.length() + m.runtime.waitingStarts()),
		"util":  m.runtime.utilization(),
	}
}

func (m *Machine) startPace() float64 { return m.slowStart.pace(m.life.startedAt) }

func (m *Machine) containerStopped(id string) {
	if m.OnEnd != nil {
		m.OnEnd(id, time.Now())
	}
}

func (m *Machine) refusesOffers() bool { return m.life.refusesOffers() }
