// Package server runs the controller as a process. It carries events and actions between the decisions of package
// controller, the schedulers and the disk, publishes jobs, containers and machines in a watch cache, and collects the
// facts on why a container is pending.
//
// The server runs on one event loop. New, Run, Stop and the methods for clients (SetJob, DeleteJob, PendingReasons) may
// be called from any goroutine; everything else runs on the loop.
package server

import (
	"log/slog"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller"
	"glenport/internal/controller/watchcache"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
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
	schedulers  []*schedulerConn   // by their number in the controller's events and actions
	machineList *machineListConn
	containers  map[string]controller.Container  // by ID, as the controller reported them last
	machines    map[string]protocol.MachineEntry // by ID, as the machine list has them
	publisher   publisher
	explainer   explainer
	store       *stateStore             // nil where nothing is stored
	jobChanges  map[string][]*jobChange // by job with a change under way: the changes that wait for it
}

// New returns a server that publishes in cache, with the state of its folder restored. It serves once Run is called; a
// server that is not run keeps its folder locked.
func New(c Config, cache *watchcache.Cache, log *slog.Logger) (*Server, error) {
	s := &Server{
		Cache: cache, config: c, log: log, controller: controller.New(controllerConfig(c)),
		containers: map[string]controller.Container{}, machines: map[string]protocol.MachineEntry{},
		publisher: publisher{cache: cache}, jobChanges: map[string][]*jobChange{},
	}
	s.explainer = newExplainer(s)
	var err error
	if s.loop, err = eventloop.New(s.handleEvents); err != nil {
		return nil, err
	}
	for i, address := range c.Schedulers {
		s.schedulers = append(s.schedulers, &schedulerConn{server: s, number: i, address: address})
	}
	s.machineList = &machineListConn{server: s}
	if c.StateDir != "" {
		if err = s.openStore(); err != nil {
			s.closeLoop()
			return nil, err
		}
	}
	return s, nil
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

// Run serves until Stop. It returns an error of the event loop, or of the state folder when it is closed.
func (s *Server) Run() error {
	s.loop.Post(s.connect)
	err := s.loop.Run()
	if s.store != nil {
		if closeErr := s.store.close(); err == nil {
			err = closeErr
		}
	}
	return err
}

func (s *Server) connect() {
	for _, c := range s.schedulers {
		c.dial()
	}
	if s.config.MachineList != "" {
		s.machineList.dial()
	}
}

// Stop makes Run return.
func (s *Server) Stop() { s.loop.Stop() }
