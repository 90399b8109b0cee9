package bench

import (
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testbed/process"
)

// instantPeer handles the frames that a peer of one kind receives. send may be called from any goroutine.
type instantPeer interface {
	handle(frame protocol.Frame, send func(...protocol.Frame))
}

// instantMachine answers every offer at once and ends each container after its runtime.
type instantMachine struct {
	name     string
	address  string
	capacity Capacity
}

func (m *instantMachine) handle(frame protocol.Frame, send func(...protocol.Frame)) {
	switch frame := frame.(type) {
	case *protocol.Hello:
		send(protocol.NewHello(protocol.RoleMachine, m.name, 1), &protocol.Inventory{MachineIncarnation: 1})
	case *protocol.Offer:
		if m.capacity == Full {
			rejection := protocol.Result{Outcome: protocol.OutcomeFull, Reason: protocol.ReasonNoCores}
			rejection.AttemptID = frame.AttemptID
			send(&rejection)
			return
		}
		send(&protocol.Accept{AttemptID: frame.AttemptID, Running: true})
		time.AfterFunc(time.Duration(frame.Spec.ExpectedRuntime)*process.Tick, func() {
			send(&protocol.Result{AttemptID: frame.AttemptID})
		})
	}
}

func (l *instantList) handle(frame protocol.Frame, send func(...protocol.Frame)) {
	switch frame.(type) {
	case *protocol.Hello:
		send(protocol.NewHello(protocol.RoleMachineList, "list", 1))
	case *protocol.WatchMachineList:
		update := &protocol.MachineListUpdate{FullSnapshot: true, Version: 1}
		for i, m := range l.machines {
			update.Entries = append(update.Entries, m.entry(i))
		}
		send(update)
	}
}

// entry returns the entry of the machine in the machine list.
func (m *instantMachine) entry(index int) protocol.MachineEntry {
	freeCores := 100.0
	if m.capacity == Full {
		freeCores = -100
	}
	return protocol.MachineEntry{
		Machine:     m.name,
		Address:     m.address,
		Zone:        index % 3,
		MachineType: index % 2,
		RackGroup:   index / rackGroupSize,
		FreeCores:   freeCores,
		FreeMemory:  100,
		PowerHint:   1,
		Incarnation: 1,
		Age:         -1,
	}
}

// instantList answers every watch with a full snapshot.
type instantList struct{ machines []*instantMachine }

// serve serves peer on all connections of a listener until the listener is closed.
func (b *Cluster) serve(l net.Listener, peer instantPeer) {
	loopback.AcceptAll(l, func(c net.Conn) {
		b.goroutines.Go(func() { b.serveConnection(c, peer) })
	})
}

func (b *Cluster) serveConnection(c net.Conn, peer instantPeer) {
	defer loopback.CloseQuietly(c)
	var mu sync.Mutex // prevents interleaved writes
	send := func(frames ...protocol.Frame) {
		mu.Lock()
		defer mu.Unlock()
		_ = process.WriteFrames(c, frames...) // the read loop below sees a broken connection
	}
	b.goroutines.Go(func() { b.sendHeartbeats(c, send) })
	for {
		frame, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return
		}
		peer.handle(frame, send)
	}
}

// sendHeartbeats sends a heartbeat every second and closes the connection when the cluster is closed.
func (b *Cluster) sendHeartbeats(c net.Conn, send func(...protocol.Frame)) {
	for {
		select {
		case <-b.stop:
			loopback.CloseQuietly(c)
			return
		case <-time.After(time.Second):
			send(&protocol.Heartbeat{})
		}
	}
}
