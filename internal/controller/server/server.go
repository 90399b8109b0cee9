// Package server runs the controller as a process. It connects the decision logic of package controller with the
// schedulers and the state folder, publishes jobs, containers and machines in a watch cache, and collects the facts
// that explain why a container is pending.
//
// Server owns the event loop and its components, each of which has its own state: schedulerPool and machineListWatch
// hold the connections, jobRegistry the changes of jobs in progress, containerTable and machineTable the published
// containers and machines, publisher the order of publication, explainer the explain requests, and storage the state
// folder.
//
// The server runs on one event loop. New, Run, Stop and the methods for clients (SetJob, DeleteJob, PendingReasons) may
// be called from any goroutine; all other code runs on the loop.
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
	maxOutput   = 8 << 20 // maximum size of a connection's output buffer, in bytes
	dialTimeout = eventloop.Second
)

// Config configures a controller process.
type Config struct {
	Name            string            // sent in the hello to schedulers and the machine list
	Schedulers      []string          // addresses of the schedulers' listeners
	MachineList     string            // address of the machine list; if empty, no machines are published
	Seed            uint64            // of the controller's random numbers
	StateDir        string            // folder of the state that survives restarts; if empty, no state is stored
	SchedulerConfig *config.Scheduler // the schedulers' workload classes, tenants and machine types
}

// Server is a controller process.
type Server struct {
	Cache *watchcache.Cache // the objects that the API serves; only the server changes it

	config      Config
	log         *slog.Logger
	loop        *eventloop.Loop
	controller  *controller.Controller
	events      []controller.Event // of this iteration, handled at its end
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

// New returns a server that publishes in cache, with its state restored from the state folder. The server serves once
// Run is called. A server that is never run keeps its state folder locked.
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

// wire creates the components that depend on the connections and the storage.
func (s *Server) wire() {
	s.jobs = &jobRegistry{
		specs: s.specs, cache: s.Cache, publisher: s.publisher, storage: s.storage, addEvent: s.addEvent,
		waitingChanges: map[string][]*jobChange{},
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

// closeLoop releases the file descriptors of an event loop that was never run.
func (s *Server) closeLoop() {
	s.loop.Stop()
	if err := s.loop.Run(); err != nil {
		s.log.Warn("event loop not closed cleanly", "error", err)
	}
}

// Run serves until Stop is called. It returns errors of the event loop and of closing the state folder.
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
