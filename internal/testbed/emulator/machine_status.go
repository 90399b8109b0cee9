package emulator

import (
	"time"

	"glenport/internal/protocol"
)

const statusTimeout = 200 * time.Millisecond

// MachineStatus is a machine's own account of itself, for the machine list and the checks of a trial.
type MachineStatus struct {
	Up, Overwhelmed, Draining bool
	Incarnation               uint64
	StartedAt                 time.Time
	FreeCores, FreeMemory     float64
	Addr                      string
	Running, TotalRan         int
}

// Status reads the state on the machine's goroutine; ok is false while it is frozen or does not answer in time.
func (m *Machine) Status() (status MachineStatus, ok bool) {
	return query(m.loop, statusTimeout, func() MachineStatus {
		free := m.runtime.free()
		return MachineStatus{
			Up:          m.life.isUp(),
			Overwhelmed: m.life.state == machineOverwhelmed,
			Draining:    m.life.refusesOffers(),
			Incarnation: m.life.incarnation,
			StartedAt:   m.life.startedAt,
			FreeCores:   free.cores,
			FreeMemory:  free.memory,
			Addr:        m.Addr(),
			Running:     len(m.runtime.runningSpecs()),
			TotalRan:    m.runtime.totalRan,
		}
	})
}

// RunningContainers lists what runs; nil while the machine is frozen or does not answer in time.
func (m *Machine) RunningContainers() []protocol.ContainerSpec {
	specs, _ := query(m.loop, statusTimeout, m.runtime.runningSpecs)
	return specs
}

// Addr is where the machine listens, or did; empty before its first start.
func (m *Machine) Addr() string { return m.endpoint.address() }
