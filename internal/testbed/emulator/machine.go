package emulator

import (
	"fmt"
	"net"
	"sync"
	"time"

	"glenport/internal/testbed/loopback"
)

const evacuationInterval = 100 * time.Millisecond // between the containers that a draining machine sends away

// StartMode says in what condition a machine starts.
type StartMode bool

// The start modes.
const (
	StartCold StartMode = false // in slow start
	StartWarm StartMode = true  // at its full pace
)

// Machine is one emulated machine. Its components belong to the goroutine of its task loop.
type Machine struct {
	MachineSpec
	OnEnd func(container string, at time.Time) // called for each container that ran; may be nil

	loop       *taskLoop
	endpoint   endpoint
	background sync.WaitGroup

	life      lifecycle
	slowStart slowStart
	behavior  *behavior
	runtime   *containerRuntime
	admission *admission
	server    *schedulerServer
}

// NewMachine returns a machine that is down.
func NewMachine(spec MachineSpec, group *DedupGroup, seed uint64) *Machine {
	m := &Machine{
		MachineSpec: spec,
		loop:        newTaskLoop(spec.Name),
		life:        newLifecycle(spec.Name),
		behavior:    newBehavior(seed),
	}
	m.slowStart.spec = &m.MachineSpec
	m.runtime = newContainerRuntime(m, &m.MachineSpec, m.behavior, group)
	m.admission = &admission{host: m, spec: &m.MachineSpec, behavior: m.behavior, runtime: m.runtime}
	m.server = &schedulerServer{
		spec:       &m.MachineSpec,
		host:       m,
		background: &m.background,
		life:       &m.life,
		slowStart:  &m.slowStart,
		behavior:   m.behavior,
		admission:  m.admission,
		runtime:    m.runtime,
		conns:      map[string]*schedulerConn{},
	}
	m.background.Go(m.loop.run)
	return m
}

// Start starts the machine. It listens where it listened before. A machine that is up, or that was overwhelmed, stays
// as it is.
func (m *Machine) Start(mode StartMode) error {
	var err error
	closed := m.loop.runAndWait(func() {
		if m.life.state == machineStopped {
			err = m.powerOn(mode)
		}
	})
	if closed != nil {
		return closed
	}
	return err
}

func (m *Machine) powerOn(mode StartMode) error {
	if err := m.endpoint.open(); err != nil {
		return fmt.Errorf("machine %s: %w", m.Name, err)
	}
	startedAt := time.Now()
	if mode == StartWarm {
		startedAt = startedAt.Add(-m.SlowStartPeriod)
	}
	if err := m.life.start(startedAt); err != nil {
		m.endpoint.close()
		return err
	}
	m.slowStart.reset()
	listener := m.endpoint.listener
	m.background.Go(func() {
		loopback.AcceptAll(listener, func(conn net.Conn) { m.background.Go(func() { m.server.serve(conn) }) })
	})
	m.after(memoryDriftInterval, m.runtime.driftMemory)
	return nil
}

// Crash ends the machine, its connections and everything that it runs, frozen or not.
func (m *Machine) Crash() {
	m.loop.change(loopWasThawed)
	m.do(func() {
		if m.life.isUp() {
			m.powerOff(machineCrashed)
		}
	})
}

func (m *Machine) powerOff(cause machineEvent) {
	m.life.applyOrLog(cause)
	m.endpoint.close()
	m.server.closeAll()
	m.admission.reset()
	m.runtime.discardAll()
}

// Close crashes the machine for good and waits for its goroutines.
func (m *Machine) Close() {
	m.Crash()
	m.loop.change(loopWasClosed)
	m.background.Wait()
	m.endpoint.release()
}

// Drain has the machine refuse offers, until EndDrain. It keeps what runs.
func (m *Machine) Drain() { m.changeDrain(drainRequested) }

// Evacuate has the machine refuse offers and end its containers one by one, until EndDrain.
func (m *Machine) Evacuate() { m.changeDrain(evacuationRequested) }

// EndDrain has the machine take offers again.
func (m *Machine) EndDrain() { m.changeDrain(drainRevoked) }

func (m *Machine) changeDrain(event machineEvent) {
	m.do(func() {
		m.life.applyOrLog(event)
		m.evacuateLater()
	})
}

func (m *Machine) evacuateLater() {
	if m.life.state == machineEvacuating {
		m.after(evacuationInterval, m.evacuateOne)
	}
}

func (m *Machine) evacuateOne() {
	if m.life.state == machineEvacuating {
		m.runtime.evacuateOne()
	}
	m.evacuateLater()
}
