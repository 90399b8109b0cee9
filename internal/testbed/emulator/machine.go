// Package emulator holds the laboratory's stand-ins for what a placer meets: machines, the list and owners. They
// speak the link protocol over TCP on loopback and live in real time. Their model is glenport's own and plain:
// it is there to give a placer trouble, not to foretell any real system.
package emulator

import (
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"time"

	"glenport/internal/protocol"
)

// MachineSpec is what a machine is and how it behaves.
type MachineSpec struct {
	Name, Zone, RackGroup, MachineType          string
	ZoneIndex, RackGroupIndex, MachineTypeIndex int
	Cores, Memory                               float64
	AcceptCores, AcceptMemory                   float64       // multiples of its size
	AdmissionTime                               time.Duration // to look at one offer
	MaxQueuedOffers                             int           // offers that may wait for that
	ConcurrentStarts                            int           // at a time
	StartTime                                   time.Duration // of a container whose program is there
	ImageMissFactor                             float64       // times that where it is not
	CachedImages                                int           // programs kept after their last container
	SlowStartPeriod                             time.Duration
	SlowStartInitialPace                        float64 // part of its pace just after its start
	SlowStartWindow                             time.Duration
	SlowStartCapacity                           int // offers in a window beyond which it falls over; 0: any
	AcceptMeansRunning                          bool
	UsageReports                                bool
	RequiredMachineType                         []int // kind that each workload needs, -1 any
	EvictionRank                                []int // of each workload; the lowest is evicted first
	MemoryDrift                                 float64
}

// DedupGroup drops repeats of numbered work among its machines.
type DedupGroup struct {
	mu   sync.Mutex
	keys map[string]*claim // emptied a while after the window
}

type claim struct {
	holder    *container
	expiresAt time.Time
}

// claim claims a key for a container; false where another copy stands or stood within the window.
func (g *DedupGroup) claim(r *container, window time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys == nil {
		g.keys = map[string]*claim{}
	}
	now := time.Now()
	for k, c := range g.keys {
		if c.holder == nil && now.After(c.expiresAt) {
			delete(g.keys, k)
		}
	}
	if c := g.keys[r.spec.IdempotencyKey]; c != nil && c.holder != r && (c.holder != nil || now.Before(c.expiresAt)) {
		return false
	}
	g.keys[r.spec.IdempotencyKey] = &claim{r, now.Add(window)}
	return true
}

// release ends a claim: at once where the container never ran, after the window where it did.
func (g *DedupGroup) release(r *container, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.keys[r.spec.IdempotencyKey]; c != nil && c.holder == r {
		if c.holder = nil; !ran {
			delete(g.keys, r.spec.IdempotencyKey)
		}
	}
}

// Machine is one stand-in machine. Its state belongs to one goroutine; a frozen machine does nothing until it
// is thawed, as a stopped process would.
type Machine struct {
	MachineSpec
	DedupGroup *DedupGroup
	OnEnd      func(container string, at time.Time) // of one that ran; may be nil
	addr       string

	mu         sync.Mutex
	wake       *sync.Cond
	tasks      []func()
	frozen     bool
	closed     bool
	background sync.WaitGroup

	up               bool
	overwhelmed      bool
	incarnation      uint64
	started          time.Time
	listener         net.Listener
	conns            map[string]*schedulerConn // by placer
	queue            []*container
	admitting        bool
	starting         int
	accepted         []*container // accepted, not yet being started
	containers       map[attemptKey]*container
	reserved         struct{ cores, memory float64 }
	imageCache       []string // kept, the last used first
	runningByService map[string]int
	draining         bool
	evacuating       bool
	slowdown         float64
	memoryFactor     float64      // times the memory that containers use
	ignoredWorkloads map[int]bool // workloads that it leaves unanswered
	throttledTenants map[int]bool // customers that it turns away without a reason
	recentOffers     []time.Time
	totalRan         int
	rng              *rand.Rand
}

type attemptKey struct {
	scheduler   string
	incarnation uint64
	attemptID   uint64
}

type container struct {
	key       attemptKey
	spec      protocol.ContainerSpec
	deadline  time.Time // it lapses when it is not running by then
	accepted  bool
	running   bool
	ended     bool
	memoryUse float64 // of the memory asked
}

type schedulerConn struct {
	net.Conn
	scheduler   string
	incarnation uint64
	frames      chan []byte
}

// NewMachine makes a machine that is down.
func NewMachine(s MachineSpec, g *DedupGroup, seed uint64) *Machine {
	m := &Machine{MachineSpec: s, DedupGroup: g, slowdown: 1, memoryFactor: 1, ignoredWorkloads: map[int]bool{}, throttledTenants: map[int]bool{}, rng: rand.New(rand.NewPCG(seed, 77)), conns: map[string]*schedulerConn{},
		containers: map[attemptKey]*container{}, runningByService: map[string]int{}}
	m.wake = sync.NewCond(&m.mu)
	m.background.Go(m.runTasks)
	return m
}

// runTasks runs what is posted, one after another.
func (m *Machine) runTasks() {
	for {
		m.mu.Lock()
		for (len(m.tasks) == 0 || m.frozen) && !m.closed {
			m.wake.Wait()
		}
		if m.closed {
			m.mu.Unlock()
			return
		}
		f := m.tasks[0]
		m.tasks = m.tasks[1:]
		m.mu.Unlock()
		f()
	}
}

func (m *Machine) post(f func()) {
	m.mu.Lock()
	if !m.closed {
		m.tasks = append(m.tasks, f)
		m.wake.Signal()
	}
	m.mu.Unlock()
}

func (m *Machine) postAndWait(f func()) {
	done := make(chan struct{})
	m.post(func() { f(); close(done) })
	<-done
}

// SetFrozen stops everything the machine does; Thaw lets it go on.
func (m *Machine) SetFrozen(on bool) {
	m.mu.Lock()
	m.frozen = on
	m.wake.Broadcast()
	m.mu.Unlock()
}

// After posts f to the machine later, unless it was restarted meanwhile.
func (m *Machine) after(d time.Duration, f func()) {
	life := m.incarnation
	time.AfterFunc(d, func() {
		m.post(func() {
			if m.up && m.incarnation == life {
				f()
			}
		})
	})
}

// Start starts the machine, cold unless warm is set. It listens where it listened before.
func (m *Machine) Start(warm bool) (err error) {
	m.postAndWait(func() {
		if m.up || m.overwhelmed {
			return
		}
		at := m.addr
		if at == "" {
			at = "127.0.0.1:0"
		}
		for range 50 { // the port may be held for a moment
			if m.listener, err = net.Listen("tcp", at); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err != nil {
			return
		}
		m.mu.Lock()
		m.addr = m.listener.Addr().String()
		m.mu.Unlock()
		m.up, m.draining, m.evacuating = true, false, false
		m.incarnation++
		m.started = time.Now()
		if warm {
			m.started = m.started.Add(-m.SlowStartPeriod)
		}
		m.recentOffers = nil
		l := m.listener
		m.background.Go(func() { m.listen(l) })
		m.after(500*time.Millisecond, m.driftMemory)
	})
	return err
}

// Crash ends everything it runs. With quiet set nobody is told: the links just fall silent.
func (m *Machine) Crash() {
	m.SetFrozen(false)
	m.postAndWait(m.crash)
}

func (m *Machine) crash() {
	if !m.up {
		return
	}
	m.up = false
	m.listener.Close()
	for _, c := range m.conns {
		c.Close()
	}
	for _, r := range m.containers {
		r.ended = true
		if r.running && m.OnEnd != nil {
			m.OnEnd(r.spec.ContainerID, time.Now())
		}
		m.DedupGroup.release(r, r.running)
	}
	m.conns, m.containers, m.runningByService = map[string]*schedulerConn{}, map[attemptKey]*container{}, map[string]int{}
	m.queue, m.accepted, m.imageCache, m.starting, m.admitting = nil, nil, nil, 0, false
	m.reserved.cores, m.reserved.memory = 0, 0
}

// Close ends the machine for good.
func (m *Machine) Close() {
	m.Crash()
	m.mu.Lock()
	m.closed = true
	m.wake.Broadcast()
	m.mu.Unlock()
	m.background.Wait()
}

// SetDraining takes nothing new; with evacuating it sends its containers away bit by bit.
func (m *Machine) SetDraining(on, sendAway bool) {
	m.postAndWait(func() {
		m.draining, m.evacuating = on, on && sendAway
		if m.evacuating {
			m.after(100*time.Millisecond, m.evacuateOne)
		}
	})
}

func (m *Machine) evacuateOne() {
	if !m.evacuating {
		return
	}
	for _, r := range m.sortedContainers() {
		if r.running {
			m.end(r, protocol.OutcomeLost, protocol.ReasonDrained)
			break
		}
	}
	m.after(100*time.Millisecond, m.evacuateOne)
}

// SetSlowdown makes everything take so many times as long.
func (m *Machine) SetSlowdown(times float64) { m.postAndWait(func() { m.slowdown = times }) }

// SetMemoryFactor makes containers use so many times the memory.
func (m *Machine) SetMemoryFactor(times float64) { m.postAndWait(func() { m.memoryFactor = times }) }

// SetIgnoredWorkload leaves a workload's offers unanswered; Throttle turns a customer's away without a reason.
func (m *Machine) SetIgnoredWorkload(workload int, on bool) {
	m.postAndWait(func() { m.ignoredWorkloads[workload] = on })
}
func (m *Machine) SetThrottledTenant(customer int, on bool) {
	m.postAndWait(func() { m.throttledTenants[customer] = on })
}

// ResetConns resets every link.
func (m *Machine) ResetConns() {
	m.postAndWait(func() {
		for _, c := range m.conns {
			if t, ok := c.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
		}
	})
}

// MachineStatus is a machine's own account, for the list and the judge of a trial.
type MachineStatus struct {
	Up, Overwhelmed, Draining bool
	Incarnation               uint64
	Started                   time.Time
	FreeCores, FreeMemory     float64
	Addr                      string
	Running, TotalRan         int
}

// Status waits for the machine's goroutine; ok is false while it is frozen.
func (m *Machine) Status() (s MachineStatus, ok bool) {
	m.mu.Lock()
	frozen := m.frozen || m.closed
	m.mu.Unlock()
	if frozen {
		return s, false
	}
	got := make(chan MachineStatus, 1)
	m.post(func() {
		s := MachineStatus{Up: m.up, Overwhelmed: m.overwhelmed, Draining: m.draining, Incarnation: m.incarnation, Started: m.started,
			FreeCores: m.Cores - m.reserved.cores, FreeMemory: m.Memory - m.reserved.memory, Addr: m.addr, TotalRan: m.totalRan}
		for _, r := range m.containers {
			if r.running {
				s.Running++
			}
		}
		got <- s
	})
	select {
	case s = <-got:
		return s, true
	case <-time.After(200 * time.Millisecond):
		return s, false
	}
}

// RunningContainers is the work that runs, or nothing while the machine is frozen.
func (m *Machine) RunningContainers() []protocol.ContainerSpec {
	m.mu.Lock()
	idle := m.frozen || m.closed
	m.mu.Unlock()
	if idle {
		return nil
	}
	got := make(chan []protocol.ContainerSpec, 1)
	m.post(func() {
		var all []protocol.ContainerSpec
		for _, r := range m.containers {
			if r.running {
				all = append(all, r.spec)
			}
		}
		got <- all
	})
	select {
	case all := <-got:
		return all
	case <-time.After(200 * time.Millisecond):
		return nil
	}
}

func (m *Machine) listen(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		m.background.Go(func() { m.serve(c) })
	}
}

// serve reads one placer's link.
func (m *Machine) serve(conn net.Conn) {
	defer conn.Close()
	f, err := protocol.ReadFrame(conn, 1024)
	hello, ok := f.(*protocol.Hello)
	if err != nil || !ok || hello.Role != protocol.RoleScheduler {
		return
	}
	c := &schedulerConn{Conn: conn, scheduler: hello.Name, incarnation: hello.Incarnation, frames: make(chan []byte, 4096)}
	stop := make(chan struct{})
	defer close(stop)
	m.background.Go(func() { c.writeAll(stop) })
	m.post(func() { m.register(c) })
	for {
		f, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			m.post(func() { m.unregister(c) })
			return
		}
		m.post(func() { m.handleFrame(c, f) })
	}
}

// writeAll writes what is queued; whoever does not read for ten seconds is dropped.
func (c *schedulerConn) writeAll(stop chan struct{}) {
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	hello, _ := protocol.Append(nil, &protocol.Heartbeat{})
	greeted := false
	for {
		var p []byte
		select {
		case p = <-c.frames:
			greeted = true
		case <-beat.C:
			if !greeted {
				continue
			}
			p = hello
		case <-stop:
			return
		}
		c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Write(p); err != nil {
			c.Close()
			return
		}
	}
}

func (c *schedulerConn) send(f protocol.Frame) {
	p, err := protocol.Append(nil, f)
	if err != nil {
		panic(err) // a stand-in that cannot say what it means is a fault of the laboratory
	}
	select {
	case c.frames <- p:
	default:
		c.Close()
	}
}

func (m *Machine) register(c *schedulerConn) {
	if !m.up {
		c.Close()
		return
	}
	if old := m.conns[c.scheduler]; old != nil {
		old.Close()
		m.removeQueued(c.scheduler)
	}
	m.conns[c.scheduler] = c
	holds := &protocol.Inventory{MachineIncarnation: m.incarnation}
	for _, r := range m.sortedContainers() {
		if r.key.scheduler == c.scheduler && r.accepted {
			holds.Containers = append(holds.Containers, protocol.InventoryItem{SchedulerIncarnation: r.key.incarnation, AttemptID: r.key.attemptID, Running: r.running, Spec: r.spec})
		}
	}
	c.send(protocol.NewHello(protocol.RoleMachine, m.Name, m.incarnation))
	c.send(holds)
}

func (m *Machine) unregister(c *schedulerConn) {
	if m.conns[c.scheduler] == c {
		delete(m.conns, c.scheduler)
		m.removeQueued(c.scheduler)
	}
}

// removeQueued lets go of offers that nobody waits for any more.
func (m *Machine) removeQueued(placer string) {
	for _, r := range append([]*container(nil), m.queue...) {
		if r.key.scheduler == placer {
			m.remove(r)
		}
	}
}

func (m *Machine) sortedContainers() []*container {
	all := make([]*container, 0, len(m.containers))
	for _, r := range m.containers {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key.attemptID < all[j].key.attemptID })
	return all
}

func (m *Machine) handleFrame(c *schedulerConn, f protocol.Frame) {
	if m.conns[c.scheduler] != c || !m.up {
		return
	}
	switch f := f.(type) {
	case *protocol.Offer:
		m.handleOffer(c, f)
	case *protocol.CancelAttempt:
		id := attemptKey{c.scheduler, f.SchedulerIncarnation, f.AttemptID}
		if r := m.containers[id]; r != nil {
			m.end(r, protocol.OutcomeStopped, 0)
		}
	case *protocol.Probe:
		if m.exceedsSlowStartCapacity() {
			return
		}
		m.after(m.jitter(m.AdmissionTime/2), func() { c.send(&protocol.ProbeReply{Seq: f.Seq, Report: m.report()}) })
	}
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * m.slowdown * (0.7 + 0.6*m.rng.Float64()))
}

func (m *Machine) report() map[string]float64 {
	return map[string]float64{"x0": m.Cores - m.reserved.cores, "x1": m.Memory - m.reserved.memory,
		"queue": float64(len(m.queue) + len(m.accepted)), "util": min(1, m.reserved.cores/m.Cores)}
}

// pace is the part of its full pace that a machine starts at; it grows with its age.
func (m *Machine) pace() float64 {
	age := time.Since(m.started)
	if age >= m.SlowStartPeriod {
		return 1
	}
	return m.SlowStartInitialPace + (1-m.SlowStartInitialPace)*float64(age)/float64(m.SlowStartPeriod)
}

// exceedsSlowStartCapacity counts an offer and tells whether the machine falls over: it is cold and was offered more in a
// window than it bears.
func (m *Machine) exceedsSlowStartCapacity() bool {
	now := time.Now()
	if m.SlowStartCapacity == 0 || now.Sub(m.started) >= m.SlowStartPeriod {
		m.recentOffers = nil
		return false
	}
	m.recentOffers = append(m.recentOffers, now)
	for len(m.recentOffers) > 0 && now.Sub(m.recentOffers[0]) > m.SlowStartWindow {
		m.recentOffers = m.recentOffers[1:]
	}
	if len(m.recentOffers) <= m.SlowStartCapacity {
		return false
	}
	m.overwhelmed = true
	m.crash()
	return true
}

func (m *Machine) handleOffer(c *schedulerConn, f *protocol.Offer) {
	if m.exceedsSlowStartCapacity() {
		return
	}
	if m.ignoredWorkloads[f.Spec.WorkloadClass] {
		return
	}
	r := &container{key: attemptKey{c.scheduler, c.incarnation, f.AttemptID}, spec: f.Spec, memoryUse: 0.4 + 0.4*m.rng.Float64(),
		deadline: time.Now().Add(time.Duration(f.Timeout) * 100 * time.Microsecond)}
	m.containers[r.key] = r
	if m.throttledTenants[f.Spec.Tenant] {
		m.end(r, protocol.OutcomeFull, 0)
		return
	}
	if len(m.queue) >= m.MaxQueuedOffers {
		m.end(r, protocol.OutcomeFull, protocol.ReasonQueueTooLong)
		return
	}
	m.queue = append(m.queue, r)
	m.admitNext()
}

// admitNext examines offers one at a time.
func (m *Machine) admitNext() {
	if m.admitting || len(m.queue) == 0 {
		return
	}
	m.admitting = true
	m.after(m.jitter(m.AdmissionTime), func() {
		m.admitting = false
		if len(m.queue) > 0 {
			r := m.queue[0]
			m.queue = m.queue[1:]
			m.admit(r)
		}
		m.admitNext()
	})
}

func (m *Machine) admit(r *container) {
	if r.ended {
		return
	}
	w := &r.spec
	no := protocol.ReasonNone
	switch {
	case m.draining || time.Now().After(r.deadline) || w.WorkloadClass >= len(m.RequiredMachineType),
		m.RequiredMachineType[w.WorkloadClass] >= 0 && m.RequiredMachineType[w.WorkloadClass] != m.MachineTypeIndex:
		no = protocol.ReasonWrongMachine
	case m.reserved.cores+w.Cores > m.Cores*m.AcceptCores:
		no = protocol.ReasonNoCores
	case m.reserved.memory+w.Memory > m.Memory*m.AcceptMemory:
		no = protocol.ReasonNoMemory
	case w.DedupWindow > 0 && !m.DedupGroup.claim(r, time.Duration(w.DedupWindow)*100*time.Microsecond):
		no = protocol.ReasonWrongMachine
	}
	if no != 0 {
		m.end(r, protocol.OutcomeFull, no)
		return
	}
	r.accepted = true
	m.reserved.cores += w.Cores
	m.reserved.memory += w.Memory
	if !m.AcceptMeansRunning {
		m.sendTo(r, &protocol.Accept{AttemptID: r.key.attemptID})
	}
	m.accepted = append(m.accepted, r)
	m.startNext()
}

func (m *Machine) startNext() {
	for m.starting < max(1, m.ConcurrentStarts) && len(m.accepted) > 0 {
		r := m.accepted[0]
		m.accepted = m.accepted[1:]
		if r.ended {
			continue
		}
		took := float64(m.jitter(m.StartTime)) / m.pace()
		if !m.imageCached(r.spec.Service) {
			took *= max(1, m.ImageMissFactor)
		}
		m.touchImage(r.spec.Service)
		m.starting++
		m.after(time.Duration(took), func() {
			m.starting--
			if !r.ended {
				m.markRunning(r)
			}
			m.startNext()
		})
	}
}

func (m *Machine) imageCached(service string) bool {
	for _, p := range m.imageCache {
		if p == service {
			return true
		}
	}
	return m.runningByService[service] > 0
}

func (m *Machine) touchImage(service string) {
	for i, p := range m.imageCache {
		if p == service {
			m.imageCache = append(m.imageCache[:i], m.imageCache[i+1:]...)
			break
		}
	}
	m.imageCache = append([]string{service}, m.imageCache...)
	m.imageCache = m.imageCache[:min(len(m.imageCache), max(1, m.CachedImages))]
}

// markRunning makes a container run, unless its placer has stopped waiting for it.
func (m *Machine) markRunning(r *container) {
	if time.Now().After(r.deadline) && m.AcceptMeansRunning {
		m.end(r, protocol.OutcomeFull, protocol.ReasonWrongMachine)
		return
	}
	r.running = true
	m.totalRan++
	m.runningByService[r.spec.Service]++
	m.sendTo(r, &protocol.Accept{AttemptID: r.key.attemptID, Running: true})
	life := time.Duration(r.spec.ExpectedRuntime) * 100 * time.Microsecond
	if life <= 0 {
		life = time.Second
	}
	m.after(life, func() {
		if !r.ended {
			m.end(r, protocol.OutcomeFinished, 0)
		}
	})
}

// remove forgets a container that never ran, without a word.
func (m *Machine) remove(r *container) {
	r.ended = true
	delete(m.containers, r.key)
	for i, q := range m.queue {
		if q == r {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			break
		}
	}
}

// end ends a container and tells its placer.
func (m *Machine) end(r *container, o protocol.Outcome, why protocol.Reason) {
	m.remove(r)
	if r.accepted {
		m.reserved.cores -= r.spec.Cores
		m.reserved.memory -= r.spec.Memory
		if r.running {
			if m.OnEnd != nil {
				m.OnEnd(r.spec.ContainerID, time.Now())
			}
			if m.runningByService[r.spec.Service]--; m.runningByService[r.spec.Service] <= 0 {
				delete(m.runningByService, r.spec.Service)
			}
		}
		if r.spec.DedupWindow > 0 {
			m.DedupGroup.release(r, r.running)
		}
	}
	m.sendTo(r, &protocol.Result{AttemptID: r.key.attemptID, Outcome: o, Reason: why, Report: m.report()})
}

func (m *Machine) sendTo(r *container, f protocol.Frame) {
	if c := m.conns[r.key.scheduler]; c != nil {
		c.send(f)
	}
}

// driftMemory changes what containers use, and evicts for memory, lowest rank first.
func (m *Machine) driftMemory() {
	m.after(500*time.Millisecond, m.driftMemory)
	used := 0.0
	all := m.sortedContainers()
	for _, r := range all {
		if !r.running {
			continue
		}
		r.memoryUse = min(max(0.2, r.memoryUse+m.MemoryDrift*(m.rng.Float64()-0.5)), 1.6)
		used += r.memoryUse * m.memoryFactor * r.spec.Memory
		if m.UsageReports {
			m.sendTo(r, &protocol.UsageReport{AttemptID: r.key.attemptID, Metric: 3, Value: r.memoryUse * m.memoryFactor * r.spec.Memory})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return m.evictionRank(all[i]) < m.evictionRank(all[j]) })
	for _, r := range all {
		if used <= m.Memory {
			return
		}
		if r.running {
			used -= r.memoryUse * m.memoryFactor * r.spec.Memory
			m.end(r, protocol.OutcomeLost, protocol.ReasonOutOfMemory)
		}
	}
}

func (m *Machine) evictionRank(r *container) int {
	if r.spec.WorkloadClass < len(m.EvictionRank) {
		return m.EvictionRank[r.spec.WorkloadClass]
	}
	return 0
}

// Addr is where the machine listens, or did.
func (m *Machine) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addr
}
