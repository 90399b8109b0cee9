// Package server runs the controller as a process. It carries events and actions between the decisions of package
// controller, the schedulers and the disk, publishes jobs, containers and machines in a watch cache, and collects the
// facts on why a container is pending.
//
// Server holds the loop and wires its parts, each with its own state: schedulerPool and machineListWatch the
// connections, jobRegistry the changes of jobs, containerTable and machineTable what is shown, publisher the order in
// which changes are shown, explainer the explain requests, storage the state folder.
//
// The server runs on one event loop. New, Run, Stop and the methods for clients (SetJob, DeleteJob, PendingReasons) may
// be called from any goroutine; everything else runs on the loop.
package server

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller"
	"glenport/internal/controller/watchcache"
	"glenport/internal/eventloop"
)

const (
	maxOutput   = 8 << 20 // bytes that may wait to be written to one peer
	dialTimeout = eventloop.Second
)

// Config says what a controller process works with.
type Config struct {
	Name            string            // in the hello to schedulers and the machine list
	Schedulers      []string          // addresses of the schedulers' listeners
	MachineList     string            // address of the machine list; where empty, no machines are shown
	Seed            uint64            // of the controller's random numbers
	StateDir        string            // folder of the state that survives restarts; where empty, nothing is stored
	SchedulerConfig *config.Scheduler // the schedulers' workload classes, tenants and machine types
}

// Server is a controller process.
type Server struct {
	Cache *watchcache.Cache // what the API shows; only the server changes it

	config      Config
	log         *slog.Logger
	loop        *eventloop.Loop
	controller  *controller.Controller
	events      []controller.Event // handled at the end of this iteration
	schedulers  schedulerPool
	machineList *machineListWatch
	specs       specReader
	publisher   *publisher
	jobs        *jobRegistry
	containers  *containerTable
	machines    *machineTable
	explainer   *explainer
	storage     storage
}

// New returns a server that publishes in cache, with the state of its folder restored. It serves once Run is called; a
// server that is not run keeps its folder locked.
func New(c Config, cache *watchcache.Cache, log *slog.Logger) (*Server, error) {
	s := &Server{
		Cache: cache, config: c, log: log, controller: controller.New(controllerConfig(c)),
		specs:     specReader{c.SchedulerConfig.WorkloadClasses, c.SchedulerConfig.Tenants},
		publisher: &publisher{cache: cache}, storage: noStorage{},
	}
	var err error
	if s.loop, err = eventloop.New(s.handleEvents); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	s.loop.LogStalls(log)
	for i, address := range c.Schedulers {
		s.schedulers = append(s.schedulers, &schedulerConn{server: s, number: i, address: address})
	}
	if c.StateDir != "" {
		if err = s.openStore(); err != nil {
			s.closeLoop()
			return nil, err
		}
	}
	s.wire()
	return s, nil
}

// wire makes the parts that need the connections and the storage.
func (s *Server) wire() {
	s.jobs = &jobRegistry{
		specs: s.specs, cache: s.Cache, publisher: s.publisher, storage: s.storage, addEvent: s.addEvent,
		underWay: map[string][]*jobChange{},
	}
	s.containers = newContainerTable(s.publisher, s.schedulers)
	s.machines = newMachineTable(s.publisher, s.config.SchedulerConfig.MachineTypes)
	s.machineList = s.newMachineListWatch()
	s.explainer = newExplainer(s.loop, s.jobs, s.schedulers)
}

func controllerConfig(c Config) controller.Config {
	out := controller.Config{
		Seed:           c.Seed,
		FirstSequence:  uint64(time.Now().UnixMicro()),
		SchedulerCount: len(c.Schedulers),
	}
	for _, w := range c.SchedulerConfig.Policy.WorkloadClasses {
		out.WorkloadClasses = append(out.WorkloadClasses, controller.WorkloadClass{
			Idempotency:      w.Idempotency,
			PlacementTimeout: w.PlacementTimeout, DedupWindow: w.DedupWindow,
		})
	}
	return out
}

// closeLoop releases the descriptors of a loop that was never run.
func (s *Server) closeLoop() {
	s.loop.Stop()
	if err := s.loop.Run(); err != nil {
		s.log.Warn("event loop not closed cleanly", "error", err)
	}
}

// Run serves until Stop. It returns the errors of the event loop, and of the state folder when it is closed.
func (s *Server) Run() error {
	s.loop.Post(s.connect)
	err := s.loop.Run()
	if err != nil {
		err = fmt.Errorf("event loop: %w", err)
	}
	if closeErr := s.storage.close(); closeErr != nil {
		err = errors.Join(err, fmt.Errorf("close the state folder: %w", closeErr))
	}
	return err
}

func (s *Server) connect() {
	for _, c := range s.schedulers {
		c.dial()
	}
	if s.config.MachineList != "" {
		s.machineList.start()
	}
}

// Stop makes Run return.
func (s *Server) Stop() { s.loop.Stop() }
