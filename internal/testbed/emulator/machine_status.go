package emulator

import (
	"time"

	"glenport/internal/protocol"
)

const statusTimeout = 200 * time.Millisecond

// MachineStatus is the state of a machine as the machine list and the checks of a trial read it.
type MachineStatus struct {
	Up, Overwhelmed, Draining bool
	Incarnation               uint64
	StartedAt                 time.Time
	FreeCores, FreeMemory     float64
	Addr                      string
	Running, TotalStarted     int
}

// Status reads the state on the machine's goroutine; ok is false if the machine is frozen or does not answer in time.
func (m *Machine) Status() (status MachineStatus, ok bool) {
	return query(m.loop, statusTimeout, func() MachineStatus {
		free := m.runtime.free()
		return MachineStatus{
			Up:           m.life.isUp(),
			Overwhelmed:  m.life.state == machineOverwhelmed,
			Draining:     m.life.rejectsOffers(),
			Incarnation:  m.life.incarnation,
			StartedAt:    m.life.startedAt,
			FreeCores:    free.cores,
			FreeMemory:   free.memory,
			Addr:         m.Addr(),
			Running:      len(m.runtime.runningSpecs()),
			TotalStarted: m.runtime.totalStarted,
		}
	})
}

// RunningContainers lists the running containers; nil if the machine is frozen or does not answer in time.
func (m *Machine) RunningContainers() []protocol.ContainerSpec {
	specs, _ := query(m.loop, statusTimeout, m.runtime.runningSpecs)
	return specs
}

// Addr returns the address of the machine, which it keeps while it is stopped; empty before its first start.
func (m *Machine) Addr() string { return m.endpoint.address() }
