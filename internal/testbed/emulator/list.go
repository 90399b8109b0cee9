package emulator

import (
	"fmt"
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

// MachineList is the machine list service. Its entries lag behind the machines, and it limits the calls per second.
type MachineList struct {
	Lag              time.Duration         // from a change of a machine to its entry in the list
	FailureDetection time.Duration         // until an unresponsive machine is listed as gone
	PollInterval     time.Duration         // between two polls of the machines
	CallsPerSecond   int                   // 0: no limit
	Address          func(*Machine) string // returns the address under which a machine is listed

	mu            sync.Mutex
	machines      []*Machine
	history       listHistory
	downSince     map[string]time.Time
	operatorState map[string]protocol.MachineState
	conns         map[*listConn]bool
	unreachable   bool
	staleness     time.Duration
	recentCalls   []time.Time
	listener      net.Listener
	stop          chan struct{}
	background    sync.WaitGroup
}

// Open starts the service for machines that have been started, and returns its address.
func (l *MachineList) Open(machines []*Machine) (addr string, err error) {
	if l.listener, err = loopback.Listen(loopback.AnyPort); err != nil {
		return "", fmt.Errorf("machine list: %w", err)
	}
	l.machines, l.stop = machines, make(chan struct{})
	l.history = newListHistory()
	l.downSince = map[string]time.Time{}
	l.operatorState = map[string]protocol.MachineState{}
	l.conns = map[*listConn]bool{}
	l.apply(l.observe())
	l.background.Go(l.watch)
	l.background.Go(func() {
		loopback.AcceptAll(l.listener, func(conn net.Conn) {
			l.background.Go(func() { l.serve(conn) })
		})
	})
	return l.listener.Addr().String(), nil
}

// Close ends the service and its connections.
func (l *MachineList) Close() {
	close(l.stop)
	loopback.CloseQuietly(l.listener)
	l.BecomeUnreachable()
	l.background.Wait()
}

// SetState sets the operator state of a machine.
func (l *MachineList) SetState(m *Machine, state protocol.MachineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operatorState[m.Name] = state
}

// BecomeUnreachable closes all connections and rejects new ones until BecomeReachable.
func (l *MachineList) BecomeUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = true
	for conn := range l.conns {
		loopback.CloseQuietly(conn)
	}
}

// BecomeReachable makes the list accept connections again.
func (l *MachineList) BecomeReachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = false
}

// SetStaleness adds a delay to the lag of the list.
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

// observe returns the current entries of the machines.
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

// observeMachine returns the entry of a machine. A machine that does not answer keeps its last entry until
// FailureDetection has passed, and is then listed as gone. A machine that was never up is not listed.
func (l *MachineList) observeMachine(m *Machine, now time.Time) (entry protocol.MachineEntry, listed bool) {
	status, ok := m.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.history.current[m.Name]
	if ok {
		entry = protocol.MachineEntry{
			Machine: m.Name, Address: l.Address(m), Zone: m.ZoneIndex, MachineType: m.MachineTypeIndex,
			RackGroup: m.RackGroupIndex, FreeCores: status.FreeCores, FreeMemory: status.FreeMemory, PowerHint: 1,
			Incarnation: status.Incarnation, State: l.operatorState[m.Name],
		}
		l.history.startedAt[m.Name] = status.StartedAt
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

// apply updates the list and sends the changed entries to the schedulers that watch it.
func (l *MachineList) apply(observed []protocol.MachineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.history.apply(observed)
	if len(changed) == 0 || l.unreachable {
		return
	}
	update := l.history.delta(changed)
	for conn := range l.conns {
		if conn.watches {
			conn.send(update)
		}
	}
}
