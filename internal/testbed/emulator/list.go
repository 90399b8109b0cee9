package emulator

import (
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
)

// List is the list service: what it says is some time old, and it answers only so many calls a second.
type List struct {
	Lag     time.Duration // from a change to its place in the list
	Notice  time.Duration // until a dead machine is taken as gone
	Period  time.Duration // between looks at the machines
	CallsPS int
	Address func(*Machine) string // what the list says of where a machine is

	mu       sync.Mutex
	machines []*Machine
	log      []protocol.MachineEntry // the change that made version i+1
	now      map[string]protocol.MachineEntry
	born     map[string]time.Time
	dead     map[string]time.Time
	marked   map[string]protocol.MachineState // by an operator
	callers  map[*listCaller]bool             // whether they watch
	away     bool
	stale    time.Duration
	calls    []time.Time
	listener net.Listener
	stop     chan struct{}
	working  sync.WaitGroup
}

type listCaller struct {
	net.Conn
	out chan protocol.Frame
}

// send queues a frame; whoever lets a thousand wait is dropped.
func (c *listCaller) send(f protocol.Frame) {
	select {
	case c.out <- f:
	default:
		c.Close()
	}
}

func (c *listCaller) writeAll(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		var f protocol.Frame
		select {
		case f = <-c.out:
		case <-tick.C:
			f = &protocol.Heartbeat{}
		case <-stop:
			return
		}
		p, err := protocol.Append(nil, f)
		if err != nil {
			panic(err)
		}
		c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		if _, err := c.Write(p); err != nil {
			c.Close()
			return
		}
	}
}

// Open starts the service for machines that are up by now.
func (l *List) Open(machines []*Machine) (addr string, err error) {
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	l.machines, l.stop = machines, make(chan struct{})
	l.now, l.born, l.dead = map[string]protocol.MachineEntry{}, map[string]time.Time{}, map[string]time.Time{}
	l.marked, l.callers = map[string]protocol.MachineState{}, map[*listCaller]bool{}
	l.apply(l.look())
	l.working.Go(l.watch)
	l.working.Go(func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			l.working.Go(func() { l.serve(&listCaller{c, make(chan protocol.Frame, 1000)}) })
		}
	})
	return l.listener.Addr().String(), nil
}

func (l *List) Close() {
	close(l.stop)
	l.listener.Close()
	l.Away(true)
	l.working.Wait()
}

// Mark sets what an operator says of a machine.
func (l *List) Mark(m *Machine, s protocol.MachineState) {
	l.mu.Lock()
	l.marked[m.Name] = s
	l.mu.Unlock()
}

// Away makes the service unreachable, or reachable again.
func (l *List) Away(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away = on; on {
		for c := range l.callers {
			c.Close()
		}
	}
}

// Stale makes the list run so much further behind.
func (l *List) Stale(by time.Duration) {
	l.mu.Lock()
	l.stale = by
	l.mu.Unlock()
}

func (l *List) watch() {
	tick := time.NewTicker(l.Period)
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		seen := l.look()
		l.mu.Lock()
		lag := l.Lag + l.stale
		l.mu.Unlock()
		if lag == 0 {
			l.apply(seen)
			continue
		}
		time.AfterFunc(lag, func() { l.apply(seen) })
	}
}

// look takes down what the machines are like now.
func (l *List) look() []protocol.MachineEntry {
	var all []protocol.MachineEntry
	now := time.Now()
	for _, m := range l.machines {
		s, ok := m.State()
		l.mu.Lock()
		e, known := l.now[m.Name]
		if ok {
			e = protocol.MachineEntry{Machine: m.Name, Address: l.Address(m), Zone: m.ZoneN, MachineType: m.KindN, RackGroup: m.CellN,
				FreeCores: s.FreeCores, FreeMemory: s.FreeMemory, PowerHint: 1, Incarnation: s.Incarnation, State: l.marked[m.Name]}
			l.born[m.Name] = s.Started
		}
		switch dead, was := l.dead[m.Name]; {
		case ok && s.Up:
			delete(l.dead, m.Name)
		case !was:
			l.dead[m.Name] = now
		case now.Sub(dead) > l.Notice:
			e.State = protocol.MachineGone
		}
		l.mu.Unlock()
		if known || ok && s.Up {
			all = append(all, e)
		}
	}
	return all
}

// apply puts what has changed into the list and tells the watchers.
func (l *List) apply(seen []protocol.MachineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []protocol.MachineEntry
	for _, e := range seen {
		e.Age = 0
		old, known := l.now[e.Machine]
		if known && old == e || !known && e.State == protocol.MachineGone {
			continue
		}
		if e.State == protocol.MachineGone && known && old.State == protocol.MachineGone {
			continue
		}
		l.now[e.Machine] = e
		l.log = append(l.log, e)
		changed = append(changed, e)
	}
	if len(changed) == 0 || l.away {
		return
	}
	f := &protocol.MachineListUpdate{Version: int64(len(l.log)), Entries: l.aged(changed)}
	for c, watches := range l.callers {
		if watches {
			c.send(f)
		}
	}
}

func (l *List) aged(entries []protocol.MachineEntry) []protocol.MachineEntry {
	out := append([]protocol.MachineEntry(nil), entries...)
	for i := range out {
		out[i].Age = protocol.Duration(time.Since(l.born[out[i].Machine]).Microseconds() / 100)
	}
	return out
}

func (l *List) serve(c *listCaller) {
	defer c.Close()
	f, err := protocol.ReadFrame(c, 1024)
	if hello, ok := f.(*protocol.Hello); err != nil || !ok || hello.Role != protocol.RoleScheduler {
		return
	}
	l.mu.Lock()
	away := l.away
	if !away {
		l.callers[c] = false
	}
	l.mu.Unlock()
	if away {
		return
	}
	gone := make(chan struct{})
	defer close(gone)
	c.send(protocol.NewHello(protocol.RoleMachineList, "list", 1))
	l.working.Go(func() { c.writeAll(gone) })
	defer func() {
		l.mu.Lock()
		delete(l.callers, c)
		l.mu.Unlock()
	}()
	for {
		f, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return
		}
		if a := l.asked(c, f); a != nil {
			c.send(a)
		}
	}
}

func (l *List) asked(c *listCaller, f protocol.Frame) protocol.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.calls) > 0 && now.Sub(l.calls[0]) > time.Second {
		l.calls = l.calls[1:]
	}
	if l.calls = append(l.calls, now); l.CallsPS > 0 && len(l.calls) > l.CallsPS {
		return &protocol.MachineListError{Message: "too many calls"}
	}
	version := int64(len(l.log))
	since := int64(0)
	if w, ok := f.(*protocol.WatchMachineList); ok {
		if !w.Enabled {
			l.callers[c] = false
			return nil
		}
		l.callers[c] = true
		since = w.SinceVersion
	} else if _, ok := f.(*protocol.FetchMachineList); !ok {
		return nil
	}
	if since > 0 && since <= version && version-since < 10_000 {
		return &protocol.MachineListUpdate{Version: version, Entries: l.aged(l.log[since:])}
	}
	whole := &protocol.MachineListUpdate{FullSnapshot: true, Version: version}
	for _, m := range l.machines {
		if e, ok := l.now[m.Name]; ok && e.State != protocol.MachineGone {
			whole.Entries = append(whole.Entries, e)
		}
	}
	whole.Entries = l.aged(whole.Entries)
	return whole
}
