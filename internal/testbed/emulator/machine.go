package emulator

import (
	"fmt"
	"net"
	"sync"
	"time"

	"glenport/internal/testbed/loopback"
)

const evacuationInterval = 100 * time.Millisecond // between the containers that an evacuating machine ends

// StartMode selects whether a machine goes through slow start.
type StartMode bool

// The start modes.
const (
	StartCold StartMode = false // with slow start
	StartWarm StartMode = true  // at the full pace
)

// Machine is one emulated machine. Its components are used only on the goroutine of its task loop.
type Machine struct {
	MachineSpec
	OnEnd func(container string, at time.Time) // called when a container that ran has ended; may be nil

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

// NewMachine returns a machine that is stopped.
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

// Start starts the machine at the address of its earlier starts. It does nothing if the machine is up or overwhelmed.
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

// Crash stops the machine, its connections and its containers, also if the machine is frozen.
func (m *Machine) Crash() {
	m.loop.change(loopThawEvent)
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

// Close crashes the machine permanently and waits for its goroutines.
func (m *Machine) Close() {
	m.Crash()
	m.loop.change(loopCloseEvent)
	m.background.Wait()
	m.endpoint.release()
}

// Drain makes the machine reject offers until EndDrain. Running containers are kept.
func (m *Machine) Drain() { m.changeDrain(drainRequested) }

// Evacuate makes the machine reject offers and end its containers one by one, until EndDrain.
func (m *Machine) Evacuate() { m.changeDrain(evacuationRequested) }

// EndDrain makes the machine accept offers again.
func (m *Machine) EndDrain() { m.changeDrain(drainRevoked) }

func (m *Machine) changeDrain(event machineEvent) {
	m.do(func() {
		m.life.applyOrLog(event)
		m.scheduleEvacuation()
	})
}

func (m *Machine) scheduleEvacuation() {
	if m.life.state == machineEvacuating {
		m.after(evacuationInterval, m.evacuateOne)
	}
}

func (m *Machine) evacuateOne() {
	if m.life.state == machineEvacuating {
		m.runtime.evacuateOne()
	}
	m.scheduleEvacuation()
}
