package emulator

import (
	"net"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	listWriteTimeout    = 2 * time.Second
	maxQueuedListFrames = 1000 // the connection is closed when the queue is full
	callWindow          = time.Second
)

// listConn is the connection of a scheduler to the machine list.
type listConn struct {
	*frameConn
	watches bool // guarded by MachineList.mu
}

// serve answers the calls of one scheduler until its connection ends.
func (l *MachineList) serve(conn net.Conn) {
	defer loopback.CloseQuietly(conn)
	if _, ok := readSchedulerHello(conn); !ok {
		return
	}
	lc := &listConn{frameConn: newFrameConn(conn, maxQueuedListFrames, listWriteTimeout)}
	if !l.register(lc) {
		return
	}
	defer l.unregister(lc)
	stop := make(chan struct{})
	defer close(stop)
	lc.send(protocol.NewHello(protocol.RoleMachineList, "list", 1))
	l.background.Go(func() { lc.writeAll(stop) })
	for {
		frame, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			return
		}
		if reply := l.reply(lc, frame); reply != nil {
			lc.send(reply)
		}
	}
}

// register adds a connection; it returns false while the list is unreachable.
func (l *MachineList) register(conn *listConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *MachineList) unregister(conn *listConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// reply returns the reply to a call of a scheduler; nil if there is none.
func (l *MachineList) reply(conn *listConn, frame protocol.Frame) protocol.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exceedsCallLimit() {
		return &protocol.MachineListError{Message: "too many calls"}
	}
	switch frame := frame.(type) {
	case *protocol.FetchMachineList:
		return l.history.fullSnapshot(l.machines)
	case *protocol.WatchMachineList:
		conn.watches = frame.Enabled
		if frame.Enabled {
			return l.history.since(frame.SinceVersion, l.machines)
		}
	}
	return nil
}

func (l *MachineList) exceedsCallLimit() bool {
	now := time.Now()
	for len(l.recentCalls) > 0 && now.Sub(l.recentCalls[0]) > callWindow {
		l.recentCalls = l.recentCalls[1:]
	}
	l.recentCalls = append(l.recentCalls, now)
	return l.CallsPerSecond > 0 && len(l.recentCalls) > l.CallsPerSecond
}
