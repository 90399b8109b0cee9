package scenario

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"glenport/internal/protocol"
)

// benchName names the one scheduler of a bench.
const benchName = "measured"

// benchCluster is one scheduler process with a list and machines that answer at once and keep no state, so that what
// is measured is the scheduler.
type benchCluster struct {
	dir        string
	scheduler  *SchedulerProcess
	list       net.Listener
	listeners  []net.Listener
	stop       chan struct{}
	goroutines sync.WaitGroup
}

func (b *benchCluster) close() {
	if b.scheduler != nil {
		b.scheduler.close(syscall.SIGKILL)
	}
	close(b.stop)
	for _, l := range b.listeners {
		closeQuietly(l)
	}
	b.goroutines.Wait()
}

// startBench returns when the scheduler is connected to all machines; full ones have no room for anything.
func startBench(template, dir string, program []string, machines int, full bool) (_ *benchCluster, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	b := &benchCluster{dir: dir, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			b.close()
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

// startPeers starts the machines and the list.
func (b *benchCluster) startPeers(machines int, full bool) error {
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

func (b *benchCluster) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		b.listeners = append(b.listeners, l)
	}
	return l, err
}

func (b *benchCluster) startScheduler(template []byte, program []string) error {
	p, err := newSchedulerProcess(
		benchName,
		filepath.Join(b.dir, "placer.yaml"),
		filepath.Join(b.dir, "placer.log"),
		program,
	)
	if err != nil {
		return err
	}
	b.scheduler = p
	if err := writeSchedulerConfig(template, p.file, nil, map[string]any{
		"name":    benchName,
		"number":  0,
		"placers": 1,
		"door":    p.Address,
		"state":   filepath.Join(b.dir, "state"),
		"list":    map[string]any{"address": b.list.Addr().String()},
		"links":   map[string]any{"close_idle_after": "10min"},
		"bounds":  map[string]any{"open_containers": 1000000, "open_containers_of_one_owner": 1000000},
	}); err != nil {
		return err
	}
	return p.Start()
}

func (b *benchCluster) waitConnected(machines int) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		if stats, err := b.scheduler.Status(); err == nil && int(stats["connections"]) >= machines {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the placer has no links to all %d machines after 20 s", machines)
		}
	}
}

// startController starts a controller before the bench's scheduler and waits until it knows all machines.
func (b *benchCluster) startController(program string, machines int) (*controllerProcess, error) {
	controller, err := newController(
		b.dir,
		program,
		b.list.Addr().String(),
		[]*SchedulerProcess{b.scheduler},
		nil,
		filepath.Join(b.dir, "kept"),
	)
	if err != nil {
		return nil, err
	}
	if err := controller.start(machines); err != nil {
		controller.terminate()
		return nil, err
	}
	return controller, nil
}

// instantPeer answers the frames of one kind of peer; send may be called from any goroutine.
type instantPeer interface {
	handle(frame protocol.Frame, send func(...protocol.Frame))
}

// serve answers on all connections that l accepts until it is closed.
func (b *benchCluster) serve(l net.Listener, peer instantPeer) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.goroutines.Go(func() { b.serveConnection(c, peer) })
	}
}

func (b *benchCluster) serveConnection(c net.Conn, peer instantPeer) {
	defer closeQuietly(c)
	var mu sync.Mutex // keeps frames whole
	send := func(frames ...protocol.Frame) {
		mu.Lock()
		defer mu.Unlock()
		_ = writeFrames(c, frames...) // a broken connection ends the reader below
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
func (b *benchCluster) sendHeartbeats(c net.Conn, send func(...protocol.Frame)) {
	for {
		select {
		case <-b.stop:
			closeQuietly(c)
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
		time.AfterFunc(time.Duration(frame.Spec.ExpectedRuntime)*tick, func() {
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
		RackGroup:   index / machinesPerRackGroup,
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
