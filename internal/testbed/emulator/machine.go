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

// Shape is what a machine is and how it behaves.
type Shape struct {
	Name, Zone, Cell, Kind    string
	ZoneN, CellN, KindN       int
	Cores, Memory             float64
	AcceptCores, AcceptMemory float64       // multiples of its size
	Admit                     time.Duration // to look at one offer
	Queue                     int           // offers that may wait for that
	Starts                    int           // at a time
	Start                     time.Duration // of a container whose program is there
	Setup                     float64       // times that where it is not
	Kept                      int           // programs kept after their last container
	ColdFor                   time.Duration
	ColdFrom                  float64 // part of its pace just after its start
	ColdWindow                time.Duration
	ColdBears                 int // offers in a window beyond which it falls over; 0: any
	YesRuns                   bool
	TellUse                   bool
	NeedsKind                 []int // kind that each workload needs, -1 any
	Rank                      []int // of each workload; the lowest is evicted first
	Drift                     float64
}

// Group drops repeats of numbered work among its machines.
type Group struct {
	mu   sync.Mutex
	keys map[string]*claim // emptied a while after the window
}

type claim struct {
	by    *run
	until time.Time
}

// take claims a key for a container; false where another copy stands or stood within the window.
func (g *Group) take(r *run, window time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys == nil {
		g.keys = map[string]*claim{}
	}
	now := time.Now()
	for k, c := range g.keys {
		if c.by == nil && now.After(c.until) {
			delete(g.keys, k)
		}
	}
	if c := g.keys[r.work.IdempotencyKey]; c != nil && c.by != r && (c.by != nil || now.Before(c.until)) {
		return false
	}
	g.keys[r.work.IdempotencyKey] = &claim{r, now.Add(window)}
	return true
}

// free ends a claim: at once where the container never ran, after the window where it did.
func (g *Group) free(r *run, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.keys[r.work.IdempotencyKey]; c != nil && c.by == r {
		if c.by = nil; !ran {
			delete(g.keys, r.work.IdempotencyKey)
		}
	}
}

// Machine is one stand-in machine. Its state belongs to one goroutine; a frozen machine does nothing until it
// is thawed, as a stopped process would.
type Machine struct {
	Shape
	Group *Group
	OnEnd func(container string, at time.Time) // of one that ran; may be nil
	addr  string

	mu      sync.Mutex
	gate    *sync.Cond
	mail    []func()
	frozen  bool
	ended   bool
	working sync.WaitGroup

	up          bool
	fell        bool
	incarnation uint64
	started     time.Time
	listener    net.Listener
	callers     map[string]*caller // by placer
	queue       []*run
	looking     bool
	starting    int
	pending     []*run // accepted, not yet being started
	runs        map[runID]*run
	asked       struct{ cores, memory float64 }
	programs    []string // kept, the last used first
	serving     map[string]int
	draining    bool
	sendAway    bool
	slow        float64
	swell       float64      // times the memory that containers use
	shuns       map[int]bool // workloads that it leaves unanswered
	throttled   map[int]bool // customers that it turns away without a reason
	offers      []time.Time
	ran         int
	rng         *rand.Rand
}

type runID struct {
	placer string
	life   uint64
	bid    uint64
}

type run struct {
	id       runID
	work     protocol.ContainerSpec
	until    time.Time // it lapses when it is not running by then
	accepted bool
	running  bool
	over     bool
	use      float64 // of the memory asked
}

type caller struct {
	net.Conn
	placer string
	life   uint64
	out    chan []byte
}

// NewMachine makes a machine that is down.
func NewMachine(s Shape, g *Group, seed uint64) *Machine {
	m := &Machine{Shape: s, Group: g, slow: 1, swell: 1, shuns: map[int]bool{}, throttled: map[int]bool{}, rng: rand.New(rand.NewPCG(seed, 77)), callers: map[string]*caller{},
		runs: map[runID]*run{}, serving: map[string]int{}}
	m.gate = sync.NewCond(&m.mu)
	m.working.Go(m.work)
	return m
}

// work runs what is posted, one after another.
func (m *Machine) work() {
	for {
		m.mu.Lock()
		for (len(m.mail) == 0 || m.frozen) && !m.ended {
			m.gate.Wait()
		}
		if m.ended {
			m.mu.Unlock()
			return
		}
		f := m.mail[0]
		m.mail = m.mail[1:]
		m.mu.Unlock()
		f()
	}
}

func (m *Machine) post(f func()) {
	m.mu.Lock()
	if !m.ended {
		m.mail = append(m.mail, f)
		m.gate.Signal()
	}
	m.mu.Unlock()
}

func (m *Machine) do(f func()) {
	done := make(chan struct{})
	m.post(func() { f(); close(done) })
	<-done
}

// Freeze stops everything the machine does; Thaw lets it go on.
func (m *Machine) Freeze(on bool) {
	m.mu.Lock()
	m.frozen = on
	m.gate.Broadcast()
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

// Up starts the machine, cold unless warm is set. It listens where it listened before.
func (m *Machine) Up(warm bool) (err error) {
	m.do(func() {
		if m.up || m.fell {
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
		m.up, m.draining, m.sendAway = true, false, false
		m.incarnation++
		m.started = time.Now()
		if warm {
			m.started = m.started.Add(-m.ColdFor)
		}
		m.offers = nil
		l := m.listener
		m.working.Go(func() { m.listen(l) })
		m.after(500*time.Millisecond, m.drift)
	})
	return err
}

// Crash ends everything it runs. With quiet set nobody is told: the links just fall silent.
func (m *Machine) Crash() {
	m.Freeze(false)
	m.do(m.crash)
}

func (m *Machine) crash() {
	if !m.up {
		return
	}
	m.up = false
	m.listener.Close()
	for _, c := range m.callers {
		c.Close()
	}
	for _, r := range m.runs {
		r.over = true
		if r.running && m.OnEnd != nil {
			m.OnEnd(r.work.ContainerID, time.Now())
		}
		m.Group.free(r, r.running)
	}
	m.callers, m.runs, m.serving = map[string]*caller{}, map[runID]*run{}, map[string]int{}
	m.queue, m.pending, m.programs, m.starting, m.looking = nil, nil, nil, 0, false
	m.asked.cores, m.asked.memory = 0, 0
}

// Close ends the machine for good.
func (m *Machine) Close() {
	m.Crash()
	m.mu.Lock()
	m.ended = true
	m.gate.Broadcast()
	m.mu.Unlock()
	m.working.Wait()
}

// Drain takes nothing new; with sendAway it sends its containers away bit by bit.
func (m *Machine) Drain(on, sendAway bool) {
	m.do(func() {
		m.draining, m.sendAway = on, on && sendAway
		if m.sendAway {
			m.after(100*time.Millisecond, m.sendOneAway)
		}
	})
}

func (m *Machine) sendOneAway() {
	if !m.sendAway {
		return
	}
	for _, r := range m.ordered() {
		if r.running {
			m.end(r, protocol.OutcomeLost, protocol.ReasonDrained)
			break
		}
	}
	m.after(100*time.Millisecond, m.sendOneAway)
}

// Slow makes everything take so many times as long.
func (m *Machine) Slow(times float64) { m.do(func() { m.slow = times }) }

// Swell makes containers use so many times the memory.
func (m *Machine) Swell(times float64) { m.do(func() { m.swell = times }) }

// Shun leaves a workload's offers unanswered; Throttle turns a customer's away without a reason.
func (m *Machine) Shun(workload int, on bool)     { m.do(func() { m.shuns[workload] = on }) }
func (m *Machine) Throttle(customer int, on bool) { m.do(func() { m.throttled[customer] = on }) }

// Reset resets every link.
func (m *Machine) Reset() {
	m.do(func() {
		for _, c := range m.callers {
			if t, ok := c.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
		}
	})
}

// State is a machine's own account, for the list and the judge of a trial.
type State struct {
	Up, Fell, Draining    bool
	Incarnation           uint64
	Started               time.Time
	FreeCores, FreeMemory float64
	Addr                  string
	Running, Ran          int
}

// State waits for the machine's goroutine; ok is false while it is frozen.
func (m *Machine) State() (s State, ok bool) {
	m.mu.Lock()
	frozen := m.frozen || m.ended
	m.mu.Unlock()
	if frozen {
		return s, false
	}
	got := make(chan State, 1)
	m.post(func() {
		s := State{Up: m.up, Fell: m.fell, Draining: m.draining, Incarnation: m.incarnation, Started: m.started,
			FreeCores: m.Cores - m.asked.cores, FreeMemory: m.Memory - m.asked.memory, Addr: m.addr, Ran: m.ran}
		for _, r := range m.runs {
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

// Holds is the work that runs, or nothing while the machine is frozen.
func (m *Machine) Holds() []protocol.ContainerSpec {
	m.mu.Lock()
	idle := m.frozen || m.ended
	m.mu.Unlock()
	if idle {
		return nil
	}
	got := make(chan []protocol.ContainerSpec, 1)
	m.post(func() {
		var all []protocol.ContainerSpec
		for _, r := range m.runs {
			if r.running {
				all = append(all, r.work)
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
		m.working.Go(func() { m.serve(c) })
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
	c := &caller{Conn: conn, placer: hello.Name, life: hello.Incarnation, out: make(chan []byte, 4096)}
	stop := make(chan struct{})
	defer close(stop)
	m.working.Go(func() { c.writeAll(stop) })
	m.post(func() { m.greet(c) })
	for {
		f, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			m.post(func() { m.left(c) })
			return
		}
		m.post(func() { m.take(c, f) })
	}
}

// writeAll writes what is queued; whoever does not read for ten seconds is dropped.
func (c *caller) writeAll(stop chan struct{}) {
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	hello, _ := protocol.Append(nil, &protocol.Heartbeat{})
	greeted := false
	for {
		var p []byte
		select {
		case p = <-c.out:
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

func (c *caller) send(f protocol.Frame) {
	p, err := protocol.Append(nil, f)
	if err != nil {
		panic(err) // a stand-in that cannot say what it means is a fault of the laboratory
	}
	select {
	case c.out <- p:
	default:
		c.Close()
	}
}

func (m *Machine) greet(c *caller) {
	if !m.up {
		c.Close()
		return
	}
	if old := m.callers[c.placer]; old != nil {
		old.Close()
		m.dropQueued(c.placer)
	}
	m.callers[c.placer] = c
	holds := &protocol.Inventory{MachineIncarnation: m.incarnation}
	for _, r := range m.ordered() {
		if r.id.placer == c.placer && r.accepted {
			holds.Containers = append(holds.Containers, protocol.InventoryItem{SchedulerIncarnation: r.id.life, AttemptID: r.id.bid, Running: r.running, Spec: r.work})
		}
	}
	c.send(protocol.NewHello(protocol.RoleMachine, m.Name, m.incarnation))
	c.send(holds)
}

func (m *Machine) left(c *caller) {
	if m.callers[c.placer] == c {
		delete(m.callers, c.placer)
		m.dropQueued(c.placer)
	}
}

// dropQueued lets go of offers that nobody waits for any more.
func (m *Machine) dropQueued(placer string) {
	for _, r := range append([]*run(nil), m.queue...) {
		if r.id.placer == placer {
			m.drop(r)
		}
	}
}

func (m *Machine) ordered() []*run {
	all := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id.bid < all[j].id.bid })
	return all
}

func (m *Machine) take(c *caller, f protocol.Frame) {
	if m.callers[c.placer] != c || !m.up {
		return
	}
	switch f := f.(type) {
	case *protocol.Offer:
		m.offered(c, f)
	case *protocol.CancelAttempt:
		id := runID{c.placer, f.SchedulerIncarnation, f.AttemptID}
		if r := m.runs[id]; r != nil {
			m.end(r, protocol.OutcomeStopped, 0)
		}
	case *protocol.Probe:
		if m.overwhelmed() {
			return
		}
		m.after(m.span(m.Admit/2), func() { c.send(&protocol.ProbeReply{Seq: f.Seq, Report: m.report()}) })
	}
}

func (m *Machine) span(d time.Duration) time.Duration {
	return time.Duration(float64(d) * m.slow * (0.7 + 0.6*m.rng.Float64()))
}

func (m *Machine) report() map[string]float64 {
	return map[string]float64{"x0": m.Cores - m.asked.cores, "x1": m.Memory - m.asked.memory,
		"queue": float64(len(m.queue) + len(m.pending)), "util": min(1, m.asked.cores/m.Cores)}
}

// pace is the part of its full pace that a machine starts at; it grows with its age.
func (m *Machine) pace() float64 {
	age := time.Since(m.started)
	if age >= m.ColdFor {
		return 1
	}
	return m.ColdFrom + (1-m.ColdFrom)*float64(age)/float64(m.ColdFor)
}

// overwhelmed counts an offer and tells whether the machine falls over: it is cold and was offered more in a
// window than it bears.
func (m *Machine) overwhelmed() bool {
	now := time.Now()
	if m.ColdBears == 0 || now.Sub(m.started) >= m.ColdFor {
		m.offers = nil
		return false
	}
	m.offers = append(m.offers, now)
	for len(m.offers) > 0 && now.Sub(m.offers[0]) > m.ColdWindow {
		m.offers = m.offers[1:]
	}
	if len(m.offers) <= m.ColdBears {
		return false
	}
	m.fell = true
	m.crash()
	return true
}

func (m *Machine) offered(c *caller, f *protocol.Offer) {
	if m.overwhelmed() {
		return
	}
	if m.shuns[f.Spec.WorkloadClass] {
		return
	}
	r := &run{id: runID{c.placer, c.life, f.AttemptID}, work: f.Spec, use: 0.4 + 0.4*m.rng.Float64(),
		until: time.Now().Add(time.Duration(f.Timeout) * 100 * time.Microsecond)}
	m.runs[r.id] = r
	if m.throttled[f.Spec.Tenant] {
		m.end(r, protocol.OutcomeFull, 0)
		return
	}
	if len(m.queue) >= m.Queue {
		m.end(r, protocol.OutcomeFull, protocol.ReasonQueueTooLong)
		return
	}
	m.queue = append(m.queue, r)
	m.look()
}

// look examines offers one at a time.
func (m *Machine) look() {
	if m.looking || len(m.queue) == 0 {
		return
	}
	m.looking = true
	m.after(m.span(m.Admit), func() {
		m.looking = false
		if len(m.queue) > 0 {
			r := m.queue[0]
			m.queue = m.queue[1:]
			m.admit(r)
		}
		m.look()
	})
}

func (m *Machine) admit(r *run) {
	if r.over {
		return
	}
	w := &r.work
	no := protocol.ReasonNone
	switch {
	case m.draining || time.Now().After(r.until) || w.WorkloadClass >= len(m.NeedsKind),
		m.NeedsKind[w.WorkloadClass] >= 0 && m.NeedsKind[w.WorkloadClass] != m.KindN:
		no = protocol.ReasonWrongMachine
	case m.asked.cores+w.Cores > m.Cores*m.AcceptCores:
		no = protocol.ReasonNoCores
	case m.asked.memory+w.Memory > m.Memory*m.AcceptMemory:
		no = protocol.ReasonNoMemory
	case w.DedupWindow > 0 && !m.Group.take(r, time.Duration(w.DedupWindow)*100*time.Microsecond):
		no = protocol.ReasonWrongMachine
	}
	if no != 0 {
		m.end(r, protocol.OutcomeFull, no)
		return
	}
	r.accepted = true
	m.asked.cores += w.Cores
	m.asked.memory += w.Memory
	if !m.YesRuns {
		m.tell(r, &protocol.Accept{AttemptID: r.id.bid})
	}
	m.pending = append(m.pending, r)
	m.startNext()
}

func (m *Machine) startNext() {
	for m.starting < max(1, m.Starts) && len(m.pending) > 0 {
		r := m.pending[0]
		m.pending = m.pending[1:]
		if r.over {
			continue
		}
		took := float64(m.span(m.Start)) / m.pace()
		if !m.knows(r.work.Service) {
			took *= max(1, m.Setup)
		}
		m.use(r.work.Service)
		m.starting++
		m.after(time.Duration(took), func() {
			m.starting--
			if !r.over {
				m.began(r)
			}
			m.startNext()
		})
	}
}

func (m *Machine) knows(service string) bool {
	for _, p := range m.programs {
		if p == service {
			return true
		}
	}
	return m.serving[service] > 0
}

func (m *Machine) use(service string) {
	for i, p := range m.programs {
		if p == service {
			m.programs = append(m.programs[:i], m.programs[i+1:]...)
			break
		}
	}
	m.programs = append([]string{service}, m.programs...)
	m.programs = m.programs[:min(len(m.programs), max(1, m.Kept))]
}

// began makes a container run, unless its placer has stopped waiting for it.
func (m *Machine) began(r *run) {
	if time.Now().After(r.until) && m.YesRuns {
		m.end(r, protocol.OutcomeFull, protocol.ReasonWrongMachine)
		return
	}
	r.running = true
	m.ran++
	m.serving[r.work.Service]++
	m.tell(r, &protocol.Accept{AttemptID: r.id.bid, Running: true})
	life := time.Duration(r.work.ExpectedRuntime) * 100 * time.Microsecond
	if life <= 0 {
		life = time.Second
	}
	m.after(life, func() {
		if !r.over {
			m.end(r, protocol.OutcomeFinished, 0)
		}
	})
}

// drop forgets a container that never ran, without a word.
func (m *Machine) drop(r *run) {
	r.over = true
	delete(m.runs, r.id)
	for i, q := range m.queue {
		if q == r {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			break
		}
	}
}

// end ends a container and tells its placer.
func (m *Machine) end(r *run, o protocol.Outcome, why protocol.Reason) {
	m.drop(r)
	if r.accepted {
		m.asked.cores -= r.work.Cores
		m.asked.memory -= r.work.Memory
		if r.running {
			if m.OnEnd != nil {
				m.OnEnd(r.work.ContainerID, time.Now())
			}
			if m.serving[r.work.Service]--; m.serving[r.work.Service] <= 0 {
				delete(m.serving, r.work.Service)
			}
		}
		if r.work.DedupWindow > 0 {
			m.Group.free(r, r.running)
		}
	}
	m.tell(r, &protocol.Result{AttemptID: r.id.bid, Outcome: o, Reason: why, Report: m.report()})
}

func (m *Machine) tell(r *run, f protocol.Frame) {
	if c := m.callers[r.id.placer]; c != nil {
		c.send(f)
	}
}

// drift changes what containers use, and evicts for memory, lowest rank first.
func (m *Machine) drift() {
	m.after(500*time.Millisecond, m.drift)
	used := 0.0
	all := m.ordered()
	for _, r := range all {
		if !r.running {
			continue
		}
		r.use = min(max(0.2, r.use+m.Drift*(m.rng.Float64()-0.5)), 1.6)
		used += r.use * m.swell * r.work.Memory
		if m.TellUse {
			m.tell(r, &protocol.UsageReport{AttemptID: r.id.bid, Metric: 3, Value: r.use * m.swell * r.work.Memory})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return m.rank(all[i]) < m.rank(all[j]) })
	for _, r := range all {
		if used <= m.Memory {
			return
		}
		if r.running {
			used -= r.use * m.swell * r.work.Memory
			m.end(r, protocol.OutcomeLost, protocol.ReasonOutOfMemory)
		}
	}
}

func (m *Machine) rank(r *run) int {
	if r.work.WorkloadClass < len(m.Rank) {
		return m.Rank[r.work.WorkloadClass]
	}
	return 0
}

// Addr is where the machine listens, or did.
func (m *Machine) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addr
}
