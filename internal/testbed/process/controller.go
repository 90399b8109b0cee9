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

// ControllerTimeout limits the time until a controller answers and knows all machines.
const ControllerTimeout = 20 * time.Second

const (
	jobTimeout = 30 * time.Second // until the containers of a job run or have ended
	pageLimit  = 1000             // maximum page size of the API
)

// Controller is a controller process and a client of its API.
type Controller struct {
	APIAddr string
	port    *loopback.Reservation
	program string
	file    string
	log     string
	process *exec.Cmd
}

// ControllerSpec describes a controller process.
type ControllerSpec struct {
	Dir             string // directory of its settings file and its log
	Program         string
	SchedulerFile   string   // settings file of one of the schedulers
	SchedulerAddrs  []string // schedulers that it submits to
	MachineListAddr string
	StateDir        string // directory of its persistent state; empty: the controller keeps none
}

// NewController reserves a port for a controller and writes its settings file.
func NewController(spec ControllerSpec) (*Controller, error) {
	port, err := loopback.Reserve() // never released: the controller may be restarted
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

// Start starts the process and waits until it knows the given number of machines.
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

// Launch starts the process without waiting.
func (c *Controller) Launch() error {
	c.process = exec.CommandContext(context.Background(), c.program, "controller", "-c", c.file)
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer loopback.CloseQuietly(log) // the process has its own descriptor
	c.process.Stderr = log
	return c.process.Start()
}

// Signal sends a terminating signal to the process and waits for its exit.
func (c *Controller) Signal(s syscall.Signal) {
	if c.process != nil && c.process.Process != nil {
		_ = c.process.Process.Signal(s) // fails only if the process has exited already
		_ = c.process.Wait()            // returns an error if the process was killed
	}
}

// Terminate shuts the process down with SIGTERM.
func (c *Controller) Terminate() { c.Signal(syscall.SIGTERM) }
