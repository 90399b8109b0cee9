package emulator

import (
	"time"

	"glenport/internal/protocol"
)

// host is the interface of a machine to its components.
type host interface {
	// post queues a task for the goroutine of the machine.
	post(task func())
	// after queues a task after a delay; it is dropped if the machine has stopped or restarted by then.
	after(delay time.Duration, task func())
	// sendTo sends a frame to the scheduler of a container, if it is connected.
	sendTo(c *container, frame protocol.Frame)
	// report returns the load of the machine by metric, as results and probe replies carry it.
	report() map[string]float64
	// startPace returns the pace at which the machine starts containers, as a fraction of the full pace.
	startPace() float64
	// containerStopped is called when a container that ran has ended.
	containerStopped(id string)
	// rejectsOffers reports whether the machine drains and rejects all offers.
	rejectsOffers() bool
	// powerOff stops the machine.
	powerOff(cause machineEvent)
}

// do runs a task on the goroutine of the machine and waits for it. A closed machine ignores the task.
func (m *Machine) do(task func()) { _ = m.loop.runAndWait(task) }

// post queues a task for the goroutine of the machine. A closed machine ignores it.
func (m *Machine) post(task func()) { _ = m.loop.post(task) }

// after queues a task after a delay; it is dropped if the machine has stopped or restarted by then.
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

func (m *Machine) rejectsOffers() bool { return m.life.rejectsOffers() }
