package emulator

import (
	"fmt"
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	listWriteTimeout    = 2 * time.Second
	maxQueuedListFrames = 1000   // beyond which a scheduler's connection is closed
	maxDeltaEntries     = 10_000 // beyond which a watch is answered by a full snapshot
)

// MachineList is the machine list service: its view of the machines is some time old, and it answers only so many calls
// a second.
type MachineList struct {
	Lag              time.Duration // from a change to its place in the list
	FailureDetection time.Duration // until a machine that is down is listed as gone
	PollInterval     time.Duration // between two looks at the machines
	CallsPerSecond   int           // 0: no limit
	Address          func(*Machine) string

	mu            sync.Mutex
	machines      []*Machine
	changes       []protocol.MachineEntry // the change that made version i+1
	current       map[string]protocol.MachineEntry
	startedAt     map[string]time.Time
	downSince     map[string]time.Time
	operatorState map[string]protocol.MachineState
	conns         map[*frameConn]bool // whether they watch
	unreachable   bool
	staleness     time.Duration
	recentCalls   []time.Time
	listener      net.Listener
	stop          chan struct{}
	background    sync.WaitGroup
}

// Open starts the service for machines that are up by now, and returns its address.
func (l *MachineList) Open(machines []*Machine) (addr string, err error) {
	if l.listener, err = loopback.Listen(loopback.AnyPort); err != nil {
		return "", fmt.Errorf("machine list: %w", err)
	}
	l.machines, l.stop = machines, make(chan struct{})
	l.current = map[string]protocol.MachineEntry{}
	l.startedAt, l.downSince = map[string]time.Time{}, map[string]time.Time{}
	l.operatorState, l.conns = map[string]protocol.MachineState{}, map[*frameConn]bool{}
	l.apply(l.observe())
	l.background.Go(l.watch)
	l.background.Go(func() {
		loopback.AcceptAll(l.listener, func(conn net.Conn) {
			l.background.Go(func() { l.serve(newFrameConn(conn, maxQueuedListFrames, listWriteTimeout)) })
		})
	})
	return l.listener.Addr().String(), nil
}

// Close ends the service and its connections.
func (l *MachineList) Close() {
	close(l.stop)
	loopback.CloseQuietly(l.listener)
	l.SetUnreachable(true)
	l.background.Wait()
}

// SetState sets the state in which an operator puts a machine.
func (l *MachineList) SetState(m *Machine, state protocol.MachineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operatorState[m.Name] = state
}

// SetUnreachable ends all connections and refuses new ones, or takes them again.
func (l *MachineList) SetUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
	l.closeUnreachable()
}

// closeUnreachable ends all connections while the list is unreachable.
func (l *MachineList) closeUnreachable() {
	if !l.unreachable {
		return
	}
	for conn := range l.conns {
		loopback.CloseQuietly(conn)
	}
}

// SetStaleness makes the list lag so much further behind.
func (l *MachineList) SetStaleness(staleness time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.staleness = staleness
}

func (l *MachineList) watch() {
	ticker := time.NewTicker(l.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		observed := l.observe()
		l.mu.Lock()
		lag := l.Lag + l.staleness
		l.mu.Unlock()
		if lag == 0 {
			l.apply(observed)
			continue
		}
		time.AfterFunc(lag, func() { l.apply(observed) })
	}
}

// observe takes down what the machines are like now.
func (l *MachineList) observe() []protocol.MachineEntry {
	var all []protocol.MachineEntry
	now := time.Now()
	for _, m := range l.machines {
		if entry, listed := l.observeMachine(m, now); listed {
			all = append(all, entry)
		}
	}
	return all
}

// observeMachine is a machine's entry; a machine that does not answer keeps its last one until it counts as gone. A
// machine that was never up is not listed.
func (l *MachineList) observeMachine(m *Machine, now time.Time) (entry protocol.MachineEntry, listed bool) {
	status, ok := m.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.current[m.Name]
	if ok {
		entry = protocol.MachineEntry{
			Machine: m.Name, Address: l.Address(m), Zone: m.ZoneIndex, MachineType: m.MachineTypeIndex,
			RackGroup: m.RackGroupIndex, FreeCores: status.FreeCores, FreeMemory: status.FreeMemory, PowerHint: 1,
			Incarnation: status.Incarnation, State: l.operatorState[m.Name],
		}
		l.startedAt[m.Name] = status.StartedAt
	}
	up := ok && status.Up
	switch downSince, down := l.downSince[m.Name]; {
	case up:
		delete(l.downSince, m.Name)
	case !down:
		l.downSince[m.Name] = now
	case now.Sub(downSince) > l.FailureDetection:
		entry.State = protocol.MachineGone
	}
	return entry, known || up
}

// apply puts what has changed into the list and sends it to the watching schedulers.
func (l *MachineList) apply(observed []protocol.MachineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []protocol.MachineEntry
	for _, entry := range observed {
		entry.Age = 0
		if !l.isChange(entry) {
			continue
		}
		l.current[entry.Machine] = entry
		l.changes = append(l.changes, entry)
		changed = append(changed, entry)
	}
	if len(changed) == 0 || l.unreachable {
		return
	}
	update := &protocol.MachineListUpdate{Version: int64(len(l.changes)), Entries: l.withAge(changed)}
	for conn, watches := range l.conns {
		if watches {
			conn.send(update)
		}
	}
}

// isChange reports whether an entry differs from the list; two entries of a machine that is gone do not.
func (l *MachineList) isChange(entry protocol.MachineEntry) bool {
	old, known := l.current[entry.Machine]
	if !known {
		return entry.State != protocol.MachineGone
	}
	bothGone := entry.State == protocol.MachineGone && old.State == protocol.MachineGone
	return old != entry && !bothGone
}

// withAge copies entries and fills in how long ago their machines started.
func (l *MachineList) withAge(entries []protocol.MachineEntry) []protocol.MachineEntry {
	aged := append([]protocol.MachineEntry(nil), entries...)
	for i := range aged {
		aged[i].Age = toProtocol(time.Since(l.startedAt[aged[i].Machine]))
	}
	return aged
}

func (l *MachineList) serve(conn *frameConn) {
	defer loopback.CloseQuietly(conn)
	if _, ok := readSchedulerHello(conn); !ok {
		return
	}
	if !l.register(conn) {
		return
	}
	defer l.unregister(conn)
	stop := make(chan struct{})
	defer close(stop)
	conn.send(protocol.NewHello(protocol.RoleMachineList, "list", 1))
	l.background.Go(func() { conn.writeAll(stop) })
	for {
		frame, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			return
		}
		if reply := l.reply(conn, frame); reply != nil {
			conn.send(reply)
		}
	}
}

func (l *MachineList) register(conn *frameConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return false
	}
	l.conns[conn] = false
	return true
}

func (l *MachineList) unregister(conn *frameConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// reply answers a call of a scheduler; nil where it gets no answer.
func (l *MachineList) reply(conn *frameConn, frame protocol.Frame) protocol.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exceedsCallLimit() {
		return &protocol.MachineListError{Message: "too many calls"}
	}
	switch frame := frame.(type) {
	case *protocol.FetchMachineList:
		return l.fullSnapshot()
	case *protocol.WatchMachineList:
		l.conns[conn] = frame.Enabled
		if !frame.Enabled {
			return nil
		}
		return l.updateSince(frame.SinceVersion)
	}
	return nil
}

func (l *MachineList) exceedsCallLimit() bool {
	now := time.Now()
	for len(l.recentCalls) > 0 && now.Sub(l.recentCalls[0]) > time.Second {
		l.recentCalls = l.recentCalls[1:]
	}
	l.recentCalls = append(l.recentCalls, now)
	return l.CallsPerSecond > 0 && len(l.recentCalls) > l.CallsPerSecond
}

func (l *MachineList) updateSince(since int64) protocol.Frame {
	version := int64(len(l.changes))
	if since > 0 && since <= version && version-since < maxDeltaEntries {
		return &protocol.MachineListUpdate{Version: version, Entries: l.withAge(l.changes[since:])}
	}
	return l.fullSnapshot()
}

func (l *MachineList) fullSnapshot() protocol.Frame {
	snapshot := &protocol.MachineListUpdate{FullSnapshot: true, Version: int64(len(l.changes))}
	for _, m := range l.machines {
		if entry, ok := l.current[m.Name]; ok && entry.State != protocol.MachineGone {
			snapshot.Entries = append(snapshot.Entries, entry)
		}
	}
	snapshot.Entries = l.withAge(snapshot.Entries)
	return snapshot
}
