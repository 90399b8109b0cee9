package process

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"glenport/internal/config"
	"glenport/internal/testbed/loopback"
)

// ControllerTimeout bounds the time until a controller answers and knows all machines.
const ControllerTimeout = 20 * time.Second

const (
	jobTimeout = 30 * time.Second // until a job runs or has ended
	pageLimit  = 1000             // items that the API lists at most at once
)

// Controller is a controller's process and a client of its API.
type Controller struct {
	APIAddr string
	port    *loopback.Reservation
	program string
	file    string
	log     string
	process *exec.Cmd
}

// ControllerSpec says what a controller is started with.
type ControllerSpec struct {
	Dir             string // for its settings and its log
	Program         string
	SchedulerFile   string   // settings file of one of the schedulers
	SchedulerAddrs  []string // that it submits to
	MachineListAddr string
	StateDir        string // where its jobs persist; empty: nowhere
}

// NewController chooses a port for a controller and writes its settings file.
func NewController(spec ControllerSpec) (*Controller, error) {
	port, err := loopback.Reserve() // held until the test bed ends: a controller may be started again
	if err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	controller := &Controller{
		APIAddr: port.Address,
		port:    port,
		program: spec.Program,
		file:    filepath.Join(spec.Dir, "controller.yaml"),
		log:     filepath.Join(spec.Dir, "controller.log"),
	}
	schedulerFile, err := filepath.Abs(spec.SchedulerFile)
	if err != nil {
		return nil, err
	}
	settings := &config.Controller{
		Name:            "controller",
		APIAddr:         port.Address,
		SchedulerAddrs:  spec.SchedulerAddrs,
		MachineListAddr: spec.MachineListAddr,
		StateDir:        spec.StateDir,
	}
	return controller, writeControllerSettings(controller.file, settings, schedulerFile)
}

// Start starts the process and waits until it knows so many machines.
func (c *Controller) Start(machines int) error {
	if err := c.Launch(); err != nil {
		return err
	}
	return WaitUntil("the controller answers and knows all machines", ControllerTimeout, func() bool {
		var all struct{ Items []any }
		return c.Get(fmt.Sprintf("/v1/machines?limit=%d", pageLimit), &all) == nil &&
			len(all.Items) == min(machines, pageLimit)
	})
}

// Launch starts the process.
func (c *Controller) Launch() error {
	c.process = exec.CommandContext(context.Background(), c.program, "controller", "-c", c.file)
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer loopback.CloseQuietly(log) // the process has a descriptor of its own
	c.process.Stderr = log
	return c.process.Start()
}

// Signal sends a signal that ends the process and waits for its exit.
func (c *Controller) Signal(s syscall.Signal) {
	if c.process != nil && c.process.Process != nil {
		_ = c.process.Process.Signal(s) // fails only if the process has exited already
		_ = c.process.Wait()            // a process that was killed has no clean exit
	}
}

// Terminate ends the process in an orderly way.
func (c *Controller) Terminate() { c.Signal(syscall.SIGTERM) }
