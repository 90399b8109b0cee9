package schedulerd

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testbed/modelcheck"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

// pipe is one end of a link that the test holds. Nothing in it waits: what is there is taken.
type pipe struct {
	fd     int
	reader protocol.Reader
	given  int // bytes, so far
	taken  int
	closed bool
}

func (p *pipe) take(f func(protocol.Frame)) (any bool) {
	buffer := make([]byte, 1<<16)
	for p != nil && !p.closed {
		n, _, err := unix.Recvfrom(p.fd, buffer, unix.MSG_DONTWAIT)
		if err == unix.EAGAIN {
			return any
		}
		any = true
		if err != nil || n == 0 {
			p.close()
			return any
		}
		p.taken += n
		p.reader.Feed(buffer[:n], func(x protocol.Frame) error { f(x); return nil })
	}
	return any
}

func (p *pipe) put(f protocol.Frame) {
	if b, err := protocol.Append(nil, f); err == nil && !p.closed {
		n, _ := unix.Write(p.fd, b)
		p.given += n
	}
}

func (p *pipe) close() {
	if p != nil && !p.closed {
		p.closed = true
		unix.Close(p.fd)
	}
}

// listening is a socket to be called, and the last caller.
type listening struct {
	fd   int
	addr string
	call *pipe
}

func listenHere(t *testing.T) *listening {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	unix.Listen(fd, 8)
	own, _ := unix.Getsockname(fd)
	return &listening{fd: fd, addr: fmt.Sprint("127.0.0.1:", own.(*unix.SockaddrInet4).Port)}
}

func (l *listening) accept() bool {
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return false
	}
	l.call.close()
	l.call = &pipe{fd: fd}
	return true
}

// scripted is a machine that does what an order says.
type scripted struct {
	*listening
	protocol.MachineEntry
	start uint64
	born  scheduler.Time      // of that start; 0: long ago
	held  map[uint64]*holding // by bid
}

type holding struct {
	protocol.InventoryItem
	out bool   // the placer awaits its answer
	as  string // what the judge knows it by
}

// world is the host with two machines, its list and an owner, over loopback. The judge sees what passes on the links.
type world struct {
	t        *testing.T
	h        *Server
	judge    *modelcheck.Judge
	list     *listening
	owner    *pipe
	machines map[string]*scripted
	version  int64
	asked    int
	answers  map[string]int
	ended    map[string]bool
	adopted  int
}

func newWorld(t *testing.T, s *config.Placer, around func(modelcheck.Decider) modelcheck.Decider) *world {
	w := &world{t: t, list: listenHere(t), machines: map[string]*scripted{}, answers: map[string]int{}, ended: map[string]bool{}}
	for i, name := range []string{"a", "b"} {
		m := &scripted{listening: listenHere(t), start: 1, held: map[uint64]*holding{}}
		m.MachineEntry = protocol.MachineEntry{Machine: name, Address: m.addr, RackGroup: i, Incarnation: 1, Age: -1, FreeCores: 20, FreeMemory: 20}
		w.machines[name] = m
	}
	own := *s
	own.ListAddr = w.list.addr
	d := scheduler.New(own.Terms)
	d.Restore(scheduler.Snapshot{SendsKnownSince: 1})
	w.judge = modelcheck.NewJudge(own.Terms, 1, 0)
	var err error
	if w.h, err = New(&own, around(d), discard); err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() { w.h.Run() })
	t.Cleanup(all.Wait)
	w.h.loop.Post(func() { w.h.requestList(&protocol.WatchMachineList{Enabled: true}) })
	fd, _ := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	door := netip.MustParseAddrPort(w.h.Addr())
	if err := unix.Connect(fd, &unix.SockaddrInet4{Port: int(door.Port()), Addr: door.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
	w.owner = &pipe{fd: fd}
	w.owner.put(protocol.NewHello(protocol.RoleClient, "owner", 1))
	w.settle()
	return w
}

func (w *world) close() {
	w.h.Stop()
	for _, m := range w.machines {
		m.call.close()
		unix.Close(m.fd)
	}
	w.list.call.close()
	unix.Close(w.list.fd)
	w.owner.close()
}

func (w *world) now() scheduler.Time {
	return on1(w.h, func() scheduler.Time { return scheduler.Time(w.h.loop.Now()) })
}

// settle lets the host take all that is on its way, and takes all that comes of it: until every byte that one side wrote
// was read by the other, no connection is being made or ended, and nothing is left to be decided.
func (w *world) settle() {
	for limit := time.Now().Add(20 * time.Second); ; {
		now, any := w.now(), w.list.accept()
		if any {
			w.list.call.put(protocol.NewHello(protocol.RoleMachineList, "list", 1))
		}
		any = w.list.call.take(func(f protocol.Frame) {
			if _, ok := f.(*protocol.WatchMachineList); ok {
				w.tell(now, true, w.entries()...)
			}
		}) || any
		for _, name := range []string{"a", "b"} {
			any = w.serve(now, w.machines[name]) || any
		}
		any = w.owner.take(func(f protocol.Frame) { w.heard(now, f) }) || any
		if !any && on1(w.h, w.quiet) {
			return
		}
		if time.Now().After(limit) {
			w.t.Fatal("no quiet in 20 s")
		}
	}
}

// quiet is asked on the loop.
func (w *world) quiet() bool {
	even := func(c *eventloop.Conn, p *pipe) bool {
		if c == nil || p == nil || p.closed {
			return c == nil && (p == nil || p.closed)
		}
		read, written := c.BytesTransferred()
		return c.IsOpen() && read == p.given && written == p.taken && c.PendingOutput() == 0
	}
	h, all := w.h, len(w.h.clients) == 1 && len(w.h.schedulerEvents)+len(w.h.ownershipEvents) == 0 && even(w.h.discovery.conn, w.list.call)
	for _, o := range h.clients {
		all = all && even(o.conn, w.owner)
	}
	for name, m := range w.machines {
		if on := h.machines[scheduler.MachineID(name)]; on != nil {
			all = all && even(on.conn, m.call)
		}
	}
	return all
}

func (w *world) entries() []protocol.MachineEntry {
	return []protocol.MachineEntry{w.machines["a"].MachineEntry, w.machines["b"].MachineEntry}
}

// tell sends a list; a machine that just started is as old as the time since.
func (w *world) tell(now scheduler.Time, whole bool, entries ...protocol.MachineEntry) {
	w.version++
	for i := range entries {
		if m := w.machines[entries[i].Machine]; m.born > 0 {
			entries[i].Age = protocol.Duration(now - m.born)
		}
	}
	w.list.call.put(&protocol.MachineListUpdate{FullSnapshot: whole, Version: w.version, Entries: entries})
	mode := scheduler.DeltaUpdate
	if whole {
		mode = scheduler.FullSnapshot
	}
	e := scheduler.MachineListUpdate{Mode: mode}
	for _, l := range entries {
		e.Entries = append(e.Entries, w.entry(l, l.Incarnation))
	}
	w.judge.In(0, now, e)
}

func (w *world) entry(l protocol.MachineEntry, start uint64) scheduler.MachineEntry {
	e := scheduler.MachineEntry{Machine: scheduler.MachineID(l.Machine), Zone: l.Zone, RackGroup: l.RackGroup, State: scheduler.MachineState(l.State)}
	if start > 1 {
		e.StartedAt = w.machines[l.Machine].born
	}
	return e
}

// serve does what a machine owes: its greeting with what it holds, and the end of what is called off.
func (w *world) serve(now scheduler.Time, m *scripted) (any bool) {
	if any = m.accept(); any {
		m.call.put(protocol.NewHello(protocol.RoleMachine, m.Machine, m.start))
		holds := &protocol.Inventory{MachineIncarnation: m.start}
		for _, n := range m.bids() {
			b := m.held[n]
			holds.Containers = append(holds.Containers, b.InventoryItem)
			if b.as == "" {
				w.adopted++
				b.as = fmt.Sprint("found ", w.adopted)
				w.judge.In(0, now, scheduler.ContainerAdopted{PlacementRequest: scheduler.PlacementRequest{ID: scheduler.ContainerID(b.as), Service: b.Spec.Service,
					WorkloadClass: b.Spec.WorkloadClass}, Machine: scheduler.MachineID(m.Machine)})
			}
		}
		if m.start > 1 {
			w.judge.In(0, now, scheduler.MachineListUpdate{Entries: []scheduler.MachineEntry{w.entry(m.MachineEntry, m.start)}})
		}
		m.call.put(holds)
	}
	return m.call.take(func(f protocol.Frame) {
		switch f := f.(type) {
		case *protocol.Offer:
			m.held[f.AttemptID] = &holding{protocol.InventoryItem{AttemptID: f.AttemptID, SchedulerIncarnation: w.h.incarnation, Running: true, Spec: f.Spec}, true, f.Spec.ContainerID}
			w.judge.Out(0, now, scheduler.StartAttempt{ID: scheduler.ContainerID(f.Spec.ContainerID), Machine: scheduler.MachineID(m.Machine)})
		case *protocol.CancelAttempt:
			if b := m.held[f.AttemptID]; b != nil {
				delete(m.held, f.AttemptID)
				w.judge.In(0, now, scheduler.AttemptEnded{ID: scheduler.ContainerID(b.as), Outcome: scheduler.OutcomeStopped, Final: true})
				m.call.put(&protocol.Result{AttemptID: f.AttemptID, Outcome: protocol.OutcomeStopped})
			}
		case *protocol.Probe:
			m.call.put(&protocol.ProbeReply{Seq: f.Seq})
		}
	}) || any
}

func (m *scripted) bids() (all []uint64) {
	for n := range m.held {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// heard judges an answer that the owner gets.
func (w *world) heard(now scheduler.Time, f protocol.Frame) {
	a, ok := f.(*protocol.PlacementReply)
	if !ok {
		return
	}
	id := scheduler.ContainerID(a.ContainerID)
	if w.ended[a.ContainerID] {
		return
	}
	if w.answers[a.ContainerID]++; w.answers[a.ContainerID] > 1 {
		w.judge.Breaks = append(w.judge.Breaks, fmt.Sprintf("rule 1: %s is answered twice", id))
	}
	switch a.Verdict {
	case protocol.VerdictRejected, protocol.VerdictNotAdmitted:
		w.judge.Out(0, now, scheduler.Reject{ID: id})
	case protocol.VerdictFailed:
		if a.Message != "cancelled" {
			w.judge.Out(0, now, scheduler.Fail{ID: id})
		}
	}
}

// find tells where a container's bid is.
func (w *world) find(id string, out bool) (*scripted, *holding) {
	for _, name := range []string{"a", "b"} {
		m := w.machines[name]
		for _, n := range m.bids() {
			if b := m.held[n]; b.Spec.ContainerID == id && b.out == out && m.call != nil && !m.call.closed {
				return m, b
			}
		}
	}
	return nil, nil
}

func (w *world) possible(words []string) (all []string) {
	for _, word := range words {
		f := strings.Fields(word)
		m, b := w.machines[f[len(f)-1]], (*holding)(nil)
		if m == nil {
			_, b = w.find(f[len(f)-1], f[0] != "over")
		}
		ok := b != nil
		switch f[0] {
		case "ask":
			ok = w.asked < 3
		case "cancel":
			ok = w.asked > int(f[1][0]-'x')
		case "break":
			ok = m.call != nil && !m.call.closed
		case "drain":
			ok = m.State == protocol.MachineServing
		case "leave":
			ok = m.State != protocol.MachineGone
		case "back":
			ok = m.State != protocol.MachineServing
		case "restart", "list":
			ok = true
		}
		if ok {
			all = append(all, word)
		}
	}
	return all
}

func (w *world) do(word string) {
	f := strings.Fields(word)
	last, now := f[len(f)-1], w.now()
	m := w.machines[last]
	result := func(o protocol.Outcome, decided scheduler.Outcome) {
		m, b := w.find(last, f[0] != "over")
		delete(m.held, b.AttemptID)
		w.judge.In(0, now, scheduler.AttemptEnded{ID: scheduler.ContainerID(b.as), Outcome: decided, Final: f[0] == "over"})
		m.call.put(&protocol.Result{AttemptID: b.AttemptID, Outcome: o})
	}
	switch f[0] {
	case "ask":
		id := string(rune('x' + w.asked))
		a := scheduler.PlacementRequest{ID: scheduler.ContainerID(id), IdempotencyKey: "k-" + id, Service: "s", WorkloadClass: w.asked, Cores: 1, Memory: 1, Deadline: now + 600*scheduler.Second}
		w.asked++
		w.judge.In(0, now, scheduler.RequestReceived{PlacementRequest: a})
		w.owner.put(&protocol.Submit{TimeToDeadline: protocol.Duration(600 * scheduler.Second), Spec: protocol.ContainerSpec{ContainerID: id, IdempotencyKey: a.IdempotencyKey, Service: a.Service,
			WorkloadClass: a.WorkloadClass, Cores: 1, Memory: 1}})
	case "cancel":
		if w.answers[last] == 0 {
			w.judge.In(0, now, scheduler.ContainerRemoved{ID: scheduler.ContainerID(last)})
		}
		w.ended[last] = w.answers[last] > 0 // what comes now answers the cancelling
		w.owner.put(&protocol.CancelContainer{ContainerID: last, IdempotencyKey: "k-" + last})
	case "yes":
		m, b := w.find(last, true)
		b.out = false
		w.judge.In(0, now, scheduler.AttemptAccepted{ID: scheduler.ContainerID(b.as)})
		m.call.put(&protocol.Accept{AttemptID: b.AttemptID, Running: true})
	case "full":
		result(protocol.OutcomeFull, scheduler.OutcomeFull)
	case "erred":
		result(protocol.OutcomeErrored, scheduler.OutcomeErrored)
	case "over":
		result(protocol.OutcomeFinished, scheduler.OutcomeFinished)
	case "break", "restart":
		for _, n := range m.bids() { // what waits for its answer was taken, unheard
			if b := m.held[n]; b.out {
				b.out = false
				w.judge.In(0, now, scheduler.AttemptEnded{ID: scheduler.ContainerID(b.as), Outcome: scheduler.OutcomeLost})
				b.as = ""
			}
		}
		m.call.close()
		if f[0] == "restart" {
			for _, b := range m.held {
				w.judge.In(0, now, scheduler.AttemptEnded{ID: scheduler.ContainerID(b.as), Outcome: scheduler.OutcomeLost, Final: true})
			}
			m.start, m.born = m.start+1, now
			clear(m.held)
			if len(f) == 2 { // else the list tells later
				m.Incarnation, m.State = m.start, protocol.MachineServing
				w.tell(now, false, m.MachineEntry)
			}
		}
	case "drain", "leave", "back":
		m.State = map[string]protocol.MachineState{"drain": protocol.MachineDraining, "leave": protocol.MachineGone, "back": protocol.MachineServing}[f[0]]
		w.tell(now, false, m.MachineEntry)
	case "list":
		for _, m := range w.machines {
			m.Incarnation = m.start
		}
		w.tell(now, true, w.entries()...)
	}
	w.settle()
}

// end refuses all that is out, until every container has its answer.
func (w *world) end() {
	for range 12 {
		for _, id := range []string{"x", "y", "z"} {
			if _, b := w.find(id, true); b != nil {
				w.do("full " + id)
			}
		}
	}
	for i := range w.asked {
		if id := string(rune('x' + i)); w.answers[id] != 1 {
			w.judge.Breaks = append(w.judge.Breaks, fmt.Sprintf("rule 1: %s has %d answers", id, w.answers[id]))
		}
	}
}

// tinySite has one workload for each of the three containers.
func tinySite(t *testing.T, workloads ...scheduler.WorkloadClass) *config.Placer {
	s := terms(t)
	s.Connect, s.Silent, s.Idle = 30*eventloop.Second, 600*eventloop.Second, 600*eventloop.Second
	s.Terms.SchedulerCount, s.Terms.SchedulerIndex, s.Terms.MachineTypes = 1, 0, []scheduler.MachineType{{Cores: 20, Memory: 20}}
	s.Terms.SlowStartPeriod, s.Terms.SlowStartWindow, s.Terms.SlowStartBudget = 1200*scheduler.Second, 600*scheduler.Second, 1
	s.Terms.WorkloadClasses, s.Terms.ListOnRequest = nil, false
	for _, w := range workloads {
		w.MachineType, w.LatencyObjective, w.PlacementTimeout, w.PriorityWeight = -1, scheduler.Second, 600*scheduler.Second, 1
		s.Terms.WorkloadClasses = append(s.Terms.WorkloadClasses, w)
	}
	return s
}

var once, numbered = scheduler.WorkloadClass{Idempotency: scheduler.AtMostOnce}, scheduler.WorkloadClass{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeZone, DedupWindow: 600 * scheduler.Second}
var apart, apartOnce = scheduler.WorkloadClass{SpreadScope: scheduler.ScopeMachine, MaxPerScope: 1}, scheduler.WorkloadClass{Idempotency: scheduler.AtMostOnce, SpreadScope: scheduler.ScopeMachine, MaxPerScope: 1}

var hostWorlds = []struct {
	name      string
	workloads []scheduler.WorkloadClass
	words     string
	depth     int
}{
	{"links that break", []scheduler.WorkloadClass{once, numbered, once}, "ask, yes x, full x, erred y, break a, break b, cancel x", 4},
	{"machines that leave and come back", []scheduler.WorkloadClass{numbered, once, once}, "ask, full x, yes y, drain a, leave b, back b, restart late a, list", 4},
	{"spread behind broken links", []scheduler.WorkloadClass{apartOnce, apart, apartOnce}, "ask, yes x, full y, break a, break b, over x, restart b", 4},
	{"cold starts", []scheduler.WorkloadClass{{}, {}, {}}, "ask, full x, restart a, restart late a, restart late b, list", 4},
}

// Every order keeps all rules, with placer, custody, recovery and host as they are, over sockets.
func TestEveryOrder(t *testing.T) {
	for _, tc := range hostWorlds {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			n, said, breaks := tryAll(t, tinySite(t, tc.workloads...), strings.Split(tc.words, ", "), tc.depth,
				func(d modelcheck.Decider) modelcheck.Decider { return d })
			if len(breaks) > 0 {
				t.Errorf("%s\n%s", strings.Join(said, ", "), strings.Join(breaks, "\n"))
			}
			t.Logf("%d orders", n)
		})
	}
}

func tryAll(t *testing.T, s *config.Placer, words []string, depth int, around func(modelcheck.Decider) modelcheck.Decider) (n int, said, breaks []string) {
	modelcheck.Each(depth, func(path []int) (widths []int, on bool) {
		w := newWorld(t, s, around)
		defer w.close()
		said = nil
		for _, choice := range path {
			can := w.possible(words)
			if len(can) == 0 || len(w.judge.Breaks) > 0 {
				break
			}
			widths, said = append(widths, len(can)), append(said, can[choice])
			w.do(can[choice])
		}
		if len(w.judge.Breaks) == 0 {
			w.end()
		}
		n, breaks = n+1, w.judge.Breaks
		return widths, len(breaks) == 0
	})
	return n, said, breaks
}

// What passes on the links shows each rule broken.
func TestOrdersSeeEachRule(t *testing.T) {
	for rule, tc := range []struct {
		words     string
		workloads []scheduler.WorkloadClass
	}{
		{"ask, full x", []scheduler.WorkloadClass{once, once, once}},
		{"ask, erred x", []scheduler.WorkloadClass{once, once, once}},
		{"ask, drain a, drain b", []scheduler.WorkloadClass{once, once, once}},
		{"restart a, restart b, ask", []scheduler.WorkloadClass{{}, {}, {}}},
		{"ask, break a, break b", []scheduler.WorkloadClass{apartOnce, apartOnce, apartOnce}},
	} {
		t.Run(fmt.Sprint("rule ", rule+1), func(t *testing.T) {
			_, said, breaks := tryAll(t, tinySite(t, tc.workloads...), strings.Split(tc.words, ", "), 5,
				func(d modelcheck.Decider) modelcheck.Decider { return modelcheck.Breaker{Decider: d, Rule: rule + 1} })
			if len(breaks) == 0 || !strings.HasPrefix(breaks[0], fmt.Sprintf("rule %d", rule+1)) {
				t.Errorf("after %q: %q", said, breaks)
			}
		})
	}
}
