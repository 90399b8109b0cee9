package emulator

import (
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
)

// MachineList is the list service: what it says is some time old, and it answers only so many calls a second.
type MachineList struct {
	Lag              time.Duration // from a change to its place in the list
	FailureDetection time.Duration // until a dead machine is taken as gone
	PollInterval     time.Duration // between looks at the machines
	CallsPerSecond   int
	Address          func(*Machine) string // what the list says of where a machine is

	mu            sync.Mutex
	machines      []*Machine
	changes       []protocol.MachineEntry // the change that made version i+1
	current       map[string]protocol.MachineEntry
	startedAt     map[string]time.Time
	downSince     map[string]time.Time
	operatorState map[string]protocol.MachineState // by an operator
	conns         map[*listConn]bool               // whether they watch
	unreachable   bool
	staleness     time.Duration
	recentCalls   []time.Time
	listener      net.Listener
	stop          chan struct{}
	background    sync.WaitGroup
}

type listConn struct {
	net.Conn
	frames chan protocol.Frame
}

// send queues a frame; whoever lets a thousand wait is dropped.
func (c *listConn) send(f protocol.Frame) {
	select {
	case c.frames <- f:
	default:
		c.Close()
	}
}

func (c *listConn) writeAll(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		var f protocol.Frame
		select {
		case f = <-c.frames:
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
func (l *MachineList) Open(machines []*Machine) (addr string, err error) {
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	l.machines, l.stop = machines, make(chan struct{})
	l.current, l.startedAt, l.downSince = map[string]protocol.MachineEntry{}, map[string]time.Time{}, map[string]time.Time{}
	l.operatorState, l.conns = map[string]protocol.MachineState{}, map[*listConn]bool{}
	l.apply(l.observe())
	l.background.Go(l.watch)
	l.background.Go(func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			l.background.Go(func() { l.serve(&listConn{c, make(chan protocol.Frame, 1000)}) })
		}
	})
	return l.listener.Addr().String(), nil
}

func (l *MachineList) Close() {
	close(l.stop)
	l.listener.Close()
	l.SetUnreachable(true)
	l.background.Wait()
}

// SetState sets what an operator says of a machine.
func (l *MachineList) SetState(m *Machine, s protocol.MachineState) {
	l.mu.Lock()
	l.operatorState[m.Name] = s
	l.mu.Unlock()
}

// SetUnreachable makes the service unreachable, or reachable again.
func (l *MachineList) SetUnreachable(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable = on; on {
		for c := range l.conns {
			c.Close()
		}
	}
}

// SetStaleness makes the list run so much further behind.
func (l *MachineList) SetStaleness(by time.Duration) {
	l.mu.Lock()
	l.staleness = by
	l.mu.Unlock()
}

func (l *MachineList) watch() {
	tick := time.NewTicker(l.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		seen := l.observe()
		l.mu.Lock()
		lag := l.Lag + l.staleness
		l.mu.Unlock()
		if lag == 0 {
			l.apply(seen)
			continue
		}
		time.AfterFunc(lag, func() { l.apply(seen) })
	}
}

// observe takes down what the machines are like now.
func (l *MachineList) observe() []protocol.MachineEntry {
	var all []protocol.MachineEntry
	now := time.Now()
	for _, m := range l.machines {
		s, ok := m.Status()
		l.mu.Lock()
		e, known := l.current[m.Name]
		if ok {
			e = protocol.MachineEntry{Machine: m.Name, Address: l.Address(m), Zone: m.ZoneIndex, MachineType: m.MachineTypeIndex, RackGroup: m.RackGroupIndex,
				FreeCores: s.FreeCores, FreeMemory: s.FreeMemory, PowerHint: 1, Incarnation: s.Incarnation, State: l.operatorState[m.Name]}
			l.startedAt[m.Name] = s.Started
		}
		switch dead, was := l.downSince[m.Name]; {
		case ok && s.Up:
			delete(l.downSince, m.Name)
		case !was:
			l.downSince[m.Name] = now
		case now.Sub(dead) > l.FailureDetection:
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
func (l *MachineList) apply(seen []protocol.MachineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []protocol.MachineEntry
	for _, e := range seen {
		e.Age = 0
		old, known := l.current[e.Machine]
		if known && old == e || !known && e.State == protocol.MachineGone {
			continue
		}
		if e.State == protocol.MachineGone && known && old.State == protocol.MachineGone {
			continue
		}
		l.current[e.Machine] = e
		l.changes = append(l.changes, e)
		changed = append(changed, e)
	}
	if len(changed) == 0 || l.unreachable {
		return
	}
	f := &protocol.MachineListUpdate{Version: int64(len(l.changes)), Entries: l.withAge(changed)}
	for c, watches := range l.conns {
		if watches {
			c.send(f)
		}
	}
}

func (l *MachineList) withAge(entries []protocol.MachineEntry) []protocol.MachineEntry {
	out := append([]protocol.MachineEntry(nil), entries...)
	for i := range out {
		out[i].Age = protocol.Duration(time.Since(l.startedAt[out[i].Machine]).Microseconds() / 100)
	}
	return out
}

func (l *MachineList) serve(c *listConn) {
	defer c.Close()
	f, err := protocol.ReadFrame(c, 1024)
	if hello, ok := f.(*protocol.Hello); err != nil || !ok || hello.Role != protocol.RoleScheduler {
		return
	}
	l.mu.Lock()
	away := l.unreachable
	if !away {
		l.conns[c] = false
	}
	l.mu.Unlock()
	if away {
		return
	}
	gone := make(chan struct{})
	defer close(gone)
	c.send(protocol.NewHello(protocol.RoleMachineList, "list", 1))
	l.background.Go(func() { c.writeAll(gone) })
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	for {
		f, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return
		}
		if a := l.reply(c, f); a != nil {
			c.send(a)
		}
	}
}

func (l *MachineList) reply(c *listConn, f protocol.Frame) protocol.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.recentCalls) > 0 && now.Sub(l.recentCalls[0]) > time.Second {
		l.recentCalls = l.recentCalls[1:]
	}
	if l.recentCalls = append(l.recentCalls, now); l.CallsPerSecond > 0 && len(l.recentCalls) > l.CallsPerSecond {
		return &protocol.MachineListError{Message: "too many calls"}
	}
	version := int64(len(l.changes))
	since := int64(0)
	if w, ok := f.(*protocol.WatchMachineList); ok {
		if !w.Enabled {
			l.conns[c] = false
			return nil
		}
		l.conns[c] = true
		since = w.SinceVersion
	} else if _, ok := f.(*protocol.FetchMachineList); !ok {
		return nil
	}
	if since > 0 && since <= version && version-since < 10_000 {
		return &protocol.MachineListUpdate{Version: version, Entries: l.withAge(l.changes[since:])}
	}
	whole := &protocol.MachineListUpdate{FullSnapshot: true, Version: version}
	for _, m := range l.machines {
		if e, ok := l.current[m.Name]; ok && e.State != protocol.MachineGone {
			whole.Entries = append(whole.Entries, e)
		}
	}
	whole.Entries = l.withAge(whole.Entries)
	return whole
}
