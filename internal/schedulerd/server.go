package schedulerd

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"glenport/internal/bgp/speaker"
	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/machinelist"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// maintenanceInterval is the time between two checks for idle, silent and stalled connections.
const maintenanceInterval = eventloop.Second

// Server is one incarnation of a scheduler process. The package comment describes its parts.
type Server struct {
	*process
	lifecycle serverState
	listener  *eventloop.Listener

	decisions  *decisions
	clients    *clientRegistry
	machines   *machineRegistry
	dispatcher *attemptDispatcher
	containers *containerRegistry
	discovery  *machinelist.Client
	routes     *routeAnnouncer
	inspector  *inspector
	state      *stateStore // nil if nothing is persisted
}

// New opens the state folder and the listener of a scheduler. The resources are released when Run returns, so Run must
// be called even if the server is stopped immediately.
func New(settings *config.Scheduler, decider Scheduler, log *slog.Logger) (*Server, error) {
	s := &Server{lifecycle: serverCreated, process: &process{
		config:      settings,
		incarnation: uint64(time.Now().UnixMicro()),
		log:         log,
		stats:       newStats(),
	}}
	var err error
	if s.loop, err = eventloop.New(s.runIteration); err != nil {
		return nil, fmt.Errorf("start event loop: %w", err)
	}
	if err := s.open(decider); err != nil {
		s.loop.Stop()
		err = errors.Join(err, s.loop.Run())
		s.handleLoopEnd()
		return nil, err
	}
	return s, nil
}

// open loads the state and starts listening.
func (s *Server) open(decider Scheduler) error {
	coverage := recovery.LogNone
	if s.config.StateDir != "" {
		state, err := openState(s.process)
		if err != nil {
			return err
		}
		s.state = state
		coverage = state.coverage()
	}
	s.wire(decider, coverage)
	s.loop.OnFlushed(func() { s.stats.recordPlacementLatency(s.loop.Elapsed()) })
	s.loop.LogStalls(s.log)
	var err error
	s.listener, err = s.loop.Listen(s.config.ListenAddr, s.clients.accept, s.loop.AcceptStateLogger(s.log, "clients"))
	return err
}

// wire creates the parts and connects them to each other.
func (s *Server) wire(decider Scheduler, coverage recovery.LogCoverage) {
	s.decisions = &decisions{
		process: s.process, scheduler: decider, reconciler: newReconciler(s.process, coverage),
		executeSchedulerAction: s.executeSchedulerAction, executeReconcilerAction: s.executeReconcilerAction,
	}
	s.routes = newRouteAnnouncer(s.process)
	s.clients = &clientRegistry{
		process: s.process, decisions: s.decisions, routes: s.routes,
		byID:        map[reconcile.ClientID]*clientConn{},
		submittedAt: map[scheduler.ContainerID]time.Duration{},
	}
	s.machines = &machineRegistry{
		process: s.process, decisions: s.decisions, routes: s.routes, state: s.state,
		byID: map[scheduler.MachineID]*machine{},
	}
	s.discovery = s.newDiscoveryClient()
	s.dispatcher = &attemptDispatcher{
		process: s.process, decisions: s.decisions, machines: s.machines, routes: s.routes, state: s.state,
		lastNumber: s.incarnation,
	}
	s.containers = &containerRegistry{
		process: s.process, decisions: s.decisions, clients: s.clients, machines: s.machines,
		dispatcher: s.dispatcher, routes: s.routes, byID: map[scheduler.ContainerID]*container{},
	}
	s.inspector = &inspector{
		process: s.process, decisions: s.decisions, clients: s.clients, machines: s.machines,
		containers: s.containers, discovery: s.discovery,
	}
	s.clients.inspector = s.inspector
	s.machines.dispatcher, s.machines.discovery = s.dispatcher, s.discovery
	s.dispatcher.containers = s.containers
}

// Speaker returns the BGP speaker that announces the addresses of services; nil if none is configured.
func (s *Server) Speaker() *speaker.Speaker { return s.routes.speaker }

// Addr returns the address on which the server listens for clients.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until Stop is called.
func (s *Server) Run() error {
	s.loop.Post(s.start)
	err := s.loop.Run()
	s.handleLoopEnd()
	return err
}

// Stop makes Run return. Any goroutine may call it.
func (s *Server) Stop() {
	s.loop.Post(s.requestStop)
	s.loop.Stop()
}

// Stats returns the counters and the routes. Any goroutine may call it. ok is false if the loop has stopped or does not
// reply within the timeout.
func (s *Server) Stats(timeout time.Duration) (status *protocol.StatusReply, routes *protocol.RoutesReply, ok bool) {
	type snapshot struct {
		status *protocol.StatusReply
		routes *protocol.RoutesReply
	}
	taken := make(chan snapshot, 1) // buffered: the loop must not block after the caller has timed out
	if !s.loop.Post(func() { taken <- snapshot{s.inspector.statusReply(), s.routes.routesReply("")} }) {
		return nil, nil, false
	}
	select {
	case t := <-taken:
		return t.status, t.routes, true
	case <-time.After(timeout):
		return nil, nil, false
	}
}

// start restores the state of earlier incarnations, and starts maintenance and the BGP speaker.
func (s *Server) start() {
	s.transition(serverStarted)
	s.log.Info("scheduler started", "name", s.config.Name, "listener", s.Addr(), "incarnation", s.incarnation)
	if s.state != nil {
		s.restore()
	} else {
		s.machines.applyList(scheduler.RestoredSnapshot, 0, nil)
	}
	s.loop.After(maintenanceInterval, s.maintain)
	s.routes.start()
}

// maintain closes connections that are idle, silent or stalled.
func (s *Server) maintain() {
	now := s.loop.Now()
	s.machines.checkTimeouts(now)
	s.clients.checkTimeouts(now)
	s.discovery.CheckTimeouts(now)
	s.loop.After(maintenanceInterval, s.maintain)
}
