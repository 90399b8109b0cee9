package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	evacuationInterval = 100 * time.Millisecond // between the containers that a draining machine sends away
	statusTimeout      = 200 * time.Millisecond
	listenRetryDelay   = 10 * time.Millisecond
	maxListenRetries   = 50
)

// MachineSpec says what a machine is and how it behaves. Slices are indexed by workload class.
type MachineSpec struct {
	Name, Zone, RackGroup, MachineType          string
	ZoneIndex, RackGroupIndex, MachineTypeIndex int
	Cores, Memory                               float64
	AcceptCores, AcceptMemory                   float64       // multiples of its size up to which it accepts
	AdmissionTime                               time.Duration // to examine one offer
	MaxQueuedOffers                             int           // offers that may wait for that
	ConcurrentStarts                            int
	StartTime                                   time.Duration // of a container whose image is cached
	ImageMissFactor                             float64       // by which a start takes longer without a cached image
	CachedImages                                int           // images kept after their last container
	SlowStartPeriod                             time.Duration // after a start
	SlowStartInitialPace                        float64       // part of the full pace just after a start
	SlowStartWindow                             time.Duration
	// offers in a window beyond which it crashes in slow start; 0: no limit
	SlowStartCapacity   int
	AcceptMeansRunning  bool  // it accepts once the container runs, not before
	UsageReports        bool  // it reports the memory in use
	RequiredMachineType []int // -1: any
	EvictionRank        []int // the lowest is evicted first
	MemoryDrift         float64
}

// Machine is one emulated machine. Its state belongs to one goroutine, which runs posted tasks one after another; a
// frozen machine runs none, as a stopped process would.
type Machine struct {
	MachineSpec
	DedupGroup *DedupGroup
	OnEnd      func(container string, at time.Time) // called for each container that ran; may be nil

	mu         sync.Mutex // guards the fields down to background
	addr       string
	wake       *sync.Cond
	tasks      []func()
	frozen     bool
	closed     bool
	background sync.WaitGroup

	up               bool
	overwhelmed      bool // it has crashed from too many offers in slow start, for good
	incarnation      uint64
	startedAt        time.Time
	listener         net.Listener
	conns            map[string]*schedulerConn // by scheduler name
	queue            []*container              // offers that wait to be examined
	admitting        bool
	accepted         []*container // not yet being started
	starting         int
	containers       map[attemptKey]*container
	reserved         struct{ cores, memory float64 }
	imageCache       []string // services, the last used first
	runningByService map[string]int
	draining         bool
	evacuating       bool
	slowdown         float64
	memoryFactor     float64
	ignoredWorkloads map[int]bool
	throttledTenants map[int]bool
	recentOffers     []time.Time
	totalRan         int
	rng              *rand.Rand
}

// NewMachine returns a machine that is down.
func NewMachine(spec MachineSpec, group *DedupGroup, seed uint64) *Machine {
	m := &Machine{
		MachineSpec:      spec,
		DedupGroup:       group,
		slowdown:         1,
		memoryFactor:     1,
		ignoredWorkloads: map[int]bool{},
		throttledTenants: map[int]bool{},
		rng:              rand.New(rand.NewPCG(seed, 77)),
		conns:            map[string]*schedulerConn{},
		containers:       map[attemptKey]*container{},
		runningByService: map[string]int{},
	}
	m.wake = sync.NewCond(&m.mu)
	m.background.Go(m.runTasks)
	return m
}

func (m *Machine) runTasks() {
	for {
		task := m.nextTask()
		if task == nil {
			return
		}
		task()
	}
}

// nextTask waits for a task; nil once the machine is closed.
func (m *Machine) nextTask() func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for (len(m.tasks) == 0 || m.frozen) && !m.closed {
		m.wake.Wait()
	}
	if m.closed {
		return nil
	}
	task := m.tasks[0]
	m.tasks = m.tasks[1:]
	return task
}

func (m *Machine) post(task func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.tasks = append(m.tasks, task)
		m.wake.Signal()
	}
}

func (m *Machine) postAndWait(task func()) {
	done := make(chan struct{})
	m.post(func() {
		task()
		close(done)
	})
	<-done
}

// after posts a task later, which runs unless the machine was restarted meanwhile.
func (m *Machine) after(delay time.Duration, task func()) {
	incarnation := m.incarnation
	time.AfterFunc(delay, func() {
		m.post(func() {
			if m.up && m.incarnation == incarnation {
				task()
			}
		})
	})
}

// SetFrozen stops everything that the machine does, or lets it go on.
func (m *Machine) SetFrozen(frozen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen = frozen
	m.wake.Broadcast()
}

// Start starts the machine, in slow start unless warm is set. It listens where it listened before. A machine that is
// up, or that was overwhelmed, stays as it is.
func (m *Machine) Start(warm bool) (err error) {
	m.postAndWait(func() {
		if !m.up && !m.overwhelmed {
			err = m.start(warm)
		}
	})
	return err
}

func (m *Machine) start(warm bool) error {
	listener, err := m.reopenListener()
	if err != nil {
		return err
	}
	m.listener = listener
	m.up, m.draining, m.evacuating = true, false, false
	m.incarnation++
	m.startedAt = time.Now()
	if warm {
		m.startedAt = m.startedAt.Add(-m.SlowStartPeriod)
	}
	m.recentOffers = nil
	m.background.Go(func() {
		loopback.AcceptAll(listener, func(conn net.Conn) { m.background.Go(func() { m.serve(conn) }) })
	})
	m.after(memoryDriftInterval, m.driftMemory)
	return nil
}

// reopenListener tries for a while, as the port of the incarnation before may still be taken.
func (m *Machine) reopenListener() (net.Listener, error) {
	addr := m.Addr()
	if addr == "" {
		addr = loopback.AnyPort
	}
	var lastErr error
	for range maxListenRetries {
		listener, err := loopback.Listen(addr)
		if err == nil {
			m.mu.Lock()
			m.addr = listener.Addr().String()
			m.mu.Unlock()
			return listener, nil
		}
		lastErr = err
		time.Sleep(listenRetryDelay)
	}
	return nil, fmt.Errorf("machine %s: %w", m.Name, lastErr)
}

// Crash ends the machine, its connections and everything that it runs, frozen or not.
func (m *Machine) Crash() {
	m.SetFrozen(false)
	m.postAndWait(m.crash)
}

func (m *Machine) crash() {
	if !m.up {
		return
	}
	m.up = false
	loopback.CloseQuietly(m.listener)
	for _, conn := range m.conns {
		loopback.CloseQuietly(conn)
	}
	for _, c := range m.containers {
		c.ended = true
		if c.running && m.OnEnd != nil {
			m.OnEnd(c.spec.ContainerID, time.Now())
		}
		m.DedupGroup.release(c, c.running)
	}
	m.conns = map[string]*schedulerConn{}
	m.containers = map[attemptKey]*container{}
	m.runningByService = map[string]int{}
	m.queue, m.accepted, m.imageCache = nil, nil, nil
	m.starting, m.admitting = 0, false
	m.reserved.cores, m.reserved.memory = 0, 0
}

// Close crashes the machine for good and waits for its goroutines.
func (m *Machine) Close() {
	m.Crash()
	m.mu.Lock()
	m.closed = true
	m.wake.Broadcast()
	m.mu.Unlock()
	m.background.Wait()
}

// SetDraining has the machine refuse offers or take them again; with evacuate set it also ends its containers one by
// one.
func (m *Machine) SetDraining(draining, evacuate bool) {
	m.postAndWait(func() {
		m.draining, m.evacuating = draining, draining && evacuate
		if m.evacuating {
			m.after(evacuationInterval, m.evacuateOne)
		}
	})
}

func (m *Machine) evacuateOne() {
	if !m.evacuating {
		return
	}
	for _, c := range m.sortedContainers() {
		if c.running {
			m.end(c, protocol.OutcomeLost, protocol.ReasonDrained)
			break
		}
	}
	m.after(evacuationInterval, m.evacuateOne)
}

// SetSlowdown makes everything that the machine does take so many times as long.
func (m *Machine) SetSlowdown(factor float64) { m.postAndWait(func() { m.slowdown = factor }) }

// SetMemoryFactor makes containers use so many times the memory.
func (m *Machine) SetMemoryFactor(factor float64) { m.postAndWait(func() { m.memoryFactor = factor }) }

// SetIgnoredWorkload leaves offers of a workload class unanswered, or answers them again.
func (m *Machine) SetIgnoredWorkload(workload int, ignored bool) {
	m.postAndWait(func() { m.ignoredWorkloads[workload] = ignored })
}

// SetThrottledTenant refuses a tenant's offers without a reason, or examines them again.
func (m *Machine) SetThrottledTenant(tenant int, throttled bool) {
	m.postAndWait(func() { m.throttledTenants[tenant] = throttled })
}

// ResetConns resets every connection of the machine.
func (m *Machine) ResetConns() {
	m.postAndWait(func() {
		for _, conn := range m.conns {
			loopback.Reset(conn.Conn)
		}
	})
}

// MachineStatus is a machine's own account of itself, for the machine list and the checks of a trial.
type MachineStatus struct {
	Up, Overwhelmed, Draining bool
	Incarnation               uint64
	StartedAt                 time.Time
	FreeCores, FreeMemory     float64
	Addr                      string
	Running, TotalRan         int
}

// Status asks the machine's goroutine; ok is false while it is frozen or does not answer in time.
func (m *Machine) Status() (status MachineStatus, ok bool) {
	return query(m, func() MachineStatus {
		return MachineStatus{
			Up:          m.up,
			Overwhelmed: m.overwhelmed,
			Draining:    m.draining,
			Incarnation: m.incarnation,
			StartedAt:   m.startedAt,
			FreeCores:   m.Cores - m.reserved.cores,
			FreeMemory:  m.Memory - m.reserved.memory,
			Addr:        m.Addr(),
			Running:     len(m.runningSpecs()),
			TotalRan:    m.totalRan,
		}
	})
}

// RunningContainers lists what runs; nil while the machine is frozen or does not answer in time.
func (m *Machine) RunningContainers() []protocol.ContainerSpec {
	specs, _ := query(m, m.runningSpecs)
	return specs
}

func (m *Machine) runningSpecs() []protocol.ContainerSpec {
	var specs []protocol.ContainerSpec
	for _, c := range m.containers {
		if c.running {
			specs = append(specs, c.spec)
		}
	}
	return specs
}

// query has the machine's goroutine read its state, and waits for it within a limit.
func query[T any](m *Machine, read func() T) (value T, ok bool) {
	m.mu.Lock()
	idle := m.frozen || m.closed
	m.mu.Unlock()
	if idle {
		return value, false
	}
	answer := make(chan T, 1)
	m.post(func() { answer <- read() })
	select {
	case value = <-answer:
		return value, true
	case <-time.After(statusTimeout):
		return value, false
	}
}

// Addr is where the machine listens, or did; empty before its first start.
func (m *Machine) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addr
}
