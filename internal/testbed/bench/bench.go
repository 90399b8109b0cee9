// Package bench runs one scheduler process with a machine list and machines that answer at once and keep no state, so
// that measurements show the scheduler alone.
package bench

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testbed/process"
)

// rackGroupSize is the number of machines per rack group.
const rackGroupSize = 4

// readyTimeout limits the time until the scheduler is connected to all machines.
const readyTimeout = 20 * time.Second

const schedulerName = "measured"

// Cluster is one scheduler process with a machine list and machines that answer at once and keep no state.
type Cluster struct {
	Dir        string
	Scheduler  *process.Scheduler
	list       net.Listener
	listeners  []net.Listener
	stop       chan struct{}
	goroutines sync.WaitGroup
}

// Close stops the scheduler, the machines and the list.
func (b *Cluster) Close() {
	if b.Scheduler != nil {
		b.Scheduler.Close(syscall.SIGKILL)
	}
	close(b.stop)
	for _, l := range b.listeners {
		loopback.CloseQuietly(l)
	}
	b.goroutines.Wait()
}

// Capacity is the capacity of the machines.
type Capacity int

// The machines accept every offer, or reject every offer for lack of cores.
const (
	Unlimited Capacity = iota
	Full
)

// Spec describes a cluster.
type Spec struct {
	Template string // path of the settings file on which the settings of the scheduler are based
	Dir      string
	Program  []string
	Machines int
	Capacity Capacity
}

// Start starts a cluster and waits until the scheduler is connected to all machines.
func Start(spec Spec) (_ *Cluster, err error) {
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, err
	}
	settings, err := config.LoadScheduler(spec.Template)
	if err != nil {
		return nil, err
	}
	b := &Cluster{Dir: spec.Dir, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			b.Close()
		}
	}()
	if err := b.startPeers(spec.Machines, spec.Capacity); err != nil {
		return nil, err
	}
	if err := b.startScheduler(settings, spec.Program); err != nil {
		return nil, err
	}
	return b, b.waitConnected(spec.Machines)
}

// ListAddr returns the address of the machine list.
func (b *Cluster) ListAddr() string { return b.list.Addr().String() }

// startPeers starts the machines and the machine list.
func (b *Cluster) startPeers(machineCount int, capacity Capacity) error {
	var machines []*instantMachine
	for i := range machineCount {
		l, err := b.listen()
		if err != nil {
			return err
		}
		m := &instantMachine{name: fmt.Sprintf("machine-%04d", i), address: l.Addr().String(), capacity: capacity}
		machines = append(machines, m)
		b.goroutines.Go(func() { b.serve(l, m) })
	}
	l, err := b.listen()
	if err != nil {
		return err
	}
	b.list = l
	b.goroutines.Go(func() { b.serve(l, &instantList{machines}) })
	return nil
}

func (b *Cluster) listen() (net.Listener, error) {
	l, err := loopback.Listen(loopback.AnyPort)
	if err == nil {
		b.listeners = append(b.listeners, l)
	}
	return l, err
}

// startScheduler starts the scheduler with limits that neither reject requests nor close idle connections.
func (b *Cluster) startScheduler(settings *config.Scheduler, program []string) error {
	const openRequests, idleTimeout = 1_000_000, 10 * time.Minute
	path := filepath.Join(b.Dir, "scheduler")
	p, err := process.NewScheduler(schedulerName, path+".yaml", path+".log", program)
	if err != nil {
		return err
	}
	b.Scheduler = p
	settings.Name, settings.ListenAddr = schedulerName, p.Address
	settings.StateDir, settings.MachineListAddr = filepath.Join(b.Dir, "state"), b.ListAddr()
	settings.Policy.SchedulerIndex, settings.Policy.SchedulerCount = 0, 1
	settings.IdleTimeout = eventloop.Tick(idleTimeout / process.Tick)
	settings.Limits.OpenRequests, settings.Limits.OpenRequestsPerClient = openRequests, openRequests
	if err := process.WriteSchedulerSettings(p.File, settings); err != nil {
		return err
	}
	return p.Start()
}

func (b *Cluster) waitConnected(machines int) error {
	connected := fmt.Sprintf("the scheduler is connected to all %d machines", machines)
	return process.WaitUntil(connected, readyTimeout, func() bool {
		stats, err := b.Scheduler.Status()
		return err == nil && int(stats["connections"]) >= machines
	})
}

// WithController starts a cluster and a controller for its scheduler, calls run once the controller knows all machines,
// and then stops both.
func WithController(spec Spec, run func(*Cluster, *process.Controller) error) error {
	b, err := Start(spec)
	if err != nil {
		return err
	}
	defer b.Close()
	controller, err := b.NewController(spec.Program[0], filepath.Join(b.Dir, "controller.state"))
	if err != nil {
		return err
	}
	defer controller.Terminate()
	if err := controller.Start(spec.Machines); err != nil {
		return err
	}
	return run(b, controller)
}

// NewController returns a controller for the scheduler of the cluster. The caller starts it. Its state is in stateDir.
func (b *Cluster) NewController(program, stateDir string) (*process.Controller, error) {
	return process.NewController(process.ControllerSpec{
		Dir:             b.Dir,
		Program:         program,
		SchedulerFile:   b.Scheduler.File,
		SchedulerAddrs:  []string{b.Scheduler.Address},
		MachineListAddr: b.ListAddr(),
		StateDir:        stateDir,
	})
}
