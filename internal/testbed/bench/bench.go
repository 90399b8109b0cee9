// Package bench measures one scheduler process against a machine list and machines that answer at once and keep no
// state, so that what is measured is the scheduler.
package bench

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/process"
)

// rackGroupSize machines share a rack group.
const rackGroupSize = 4

// readyTimeout bounds the time until the scheduler is connected to all machines.
const readyTimeout = 20 * time.Second

// benchName names the one scheduler of a bench.
const benchName = "measured"

// Cluster is one scheduler process with a list and machines that answer at once and keep no state, so that what
// is measured is the scheduler.
type Cluster struct {
	Dir        string
	Scheduler  *process.Scheduler
	list       net.Listener
	listeners  []net.Listener
	stop       chan struct{}
	goroutines sync.WaitGroup
}

// Close ends all that was started.
func (b *Cluster) Close() {
	if b.Scheduler != nil {
		b.Scheduler.Close(syscall.SIGKILL)
	}
	close(b.stop)
	for _, l := range b.listeners {
		process.CloseQuietly(l)
	}
	b.goroutines.Wait()
}

// Start returns when the scheduler is connected to all machines; full ones have no room for anything.
func Start(template, dir string, program []string, machines int, full bool) (_ *Cluster, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	b := &Cluster{Dir: dir, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			b.Close()
		}
	}()
	if err := b.startPeers(machines, full); err != nil {
		return nil, err
	}
	if err := b.startScheduler(text, program); err != nil {
		return nil, err
	}
	return b, b.waitConnected(machines)
}

// ListAddr returns the address of the machine list.
func (b *Cluster) ListAddr() string { return b.list.Addr().String() }

// startPeers starts the machines and the list.
func (b *Cluster) startPeers(machines int, full bool) error {
	var fleet []*instantMachine
	for i := range machines {
		l, err := b.listen()
		if err != nil {
			return err
		}
		m := &instantMachine{name: fmt.Sprintf("machine-%04d", i), address: l.Addr().String(), full: full}
		fleet = append(fleet, m)
		b.goroutines.Go(func() { b.serve(l, m) })
	}
	l, err := b.listen()
	if err != nil {
		return err
	}
	b.list = l
	b.goroutines.Go(func() { b.serve(l, &instantList{fleet}) })
	return nil
}

func (b *Cluster) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		b.listeners = append(b.listeners, l)
	}
	return l, err
}

func (b *Cluster) startScheduler(template []byte, program []string) error {
	p, err := process.NewScheduler(
		benchName,
		filepath.Join(b.Dir, "placer.yaml"),
		filepath.Join(b.Dir, "placer.log"),
		program,
	)
	if err != nil {
		return err
	}
	b.Scheduler = p
	if err := process.WriteSchedulerConfig(template, p.File, nil, map[string]any{
		"name":    benchName,
		"number":  0,
		"placers": 1,
		"door":    p.Address,
		"state":   filepath.Join(b.Dir, "state"),
		"list":    map[string]any{"address": b.ListAddr()},
		"links":   map[string]any{"close_idle_after": "10min"},
		"bounds":  map[string]any{"open_containers": 1000000, "open_containers_of_one_owner": 1000000},
	}); err != nil {
		return err
	}
	return p.Start()
}

func (b *Cluster) waitConnected(machines int) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		if stats, err := b.Scheduler.Status(); err == nil && int(stats["connections"]) >= machines {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the placer has no links to all %d machines after 20 s", machines)
		}
	}
}

// StartController starts a controller before the bench's scheduler and waits until it knows all machines.
func (b *Cluster) StartController(program string, machines int) (*process.Controller, error) {
	controller, err := process.NewController(
		b.Dir,
		program,
		b.ListAddr(),
		[]*process.Scheduler{b.Scheduler},
		nil,
		filepath.Join(b.Dir, "kept"),
	)
	if err != nil {
		return nil, err
	}
	if err := controller.Start(machines); err != nil {
		controller.Terminate()
		return nil, err
	}
	return controller, nil
}

// instantPeer answers the frames of one kind of peer; send may be called from any goroutine.
type instantPeer interface {
	handle(frame protocol.Frame, send func(...protocol.Frame))
}

// serve answers on all connections that l accepts until it is closed.
func (b *Cluster) serve(l net.Listener, peer instantPeer) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.goroutines.Go(func() { b.serveConnection(c, peer) })
	}
}

func (b *Cluster) serveConnection(c net.Conn, peer instantPeer) {
	defer process.CloseQuietly(c)
	var mu sync.Mutex // keeps frames whole
	send := func(frames ...protocol.Frame) {
		mu.Lock()
		defer mu.Unlock()
		_ = process.WriteFrames(c, frames...) // a broken connection ends the reader below
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

// sendHeartbeats sends one each second and closes the connection when the bench stops.
func (b *Cluster) sendHeartbeats(c net.Conn, send func(...protocol.Frame)) {
	for {
		select {
		case <-b.stop:
			process.CloseQuietly(c)
			return
		case <-time.After(time.Second):
			send(&protocol.Heartbeat{})
		}
	}
}

// instantMachine accepts every offer as it comes, and ends each container when its time is up.
type instantMachine struct {
	name    string
	address string
	full    bool // it has no cores for anything
}

func (m *instantMachine) handle(frame protocol.Frame, send func(...protocol.Frame)) {
	switch frame := frame.(type) {
	case *protocol.Hello:
		send(protocol.NewHello(protocol.RoleMachine, m.name, 1), &protocol.Inventory{MachineIncarnation: 1})
	case *protocol.Offer:
		if m.full {
			send(
				&protocol.Result{
					AttemptID: frame.AttemptID,
					Outcome:   protocol.OutcomeFull,
					Reason:    protocol.ReasonNoCores,
				},
			)
			return
		}
		send(&protocol.Accept{AttemptID: frame.AttemptID, Running: true})
		time.AfterFunc(time.Duration(frame.Spec.ExpectedRuntime)*process.Tick, func() {
			send(&protocol.Result{AttemptID: frame.AttemptID})
		})
	}
}

// entry is what the list says of the machine.
func (m *instantMachine) entry(index int) protocol.MachineEntry {
	freeCores := 100.0
	if m.full {
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
