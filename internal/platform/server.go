package platform

import (
	"fmt"
	"log/slog"

	"glenport/internal/eventloop"
	"glenport/internal/platform/adoption"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/scheduler"
)

// Scheduler decides on which machine each container runs. It is implemented by scheduler.Scheduler.
type Scheduler interface {
	// Handle takes the events of one iteration and returns the actions to carry out, in order.
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

const maintenanceInterval = eventloop.Second / 4

// Server is one incarnation of a scheduler on the platform. It wires the parts below to the event loop, and carries out
// the actions of the packages that decide (actions.go).
type Server struct {
	env        *environment
	listener   *eventloop.Listener
	clients    *clientRegistry
	containers *containerRegistry
	machines   *machineRegistry
	prober     *prober
	discovery  *discoveryWatch
	shutdown   *shutdownSequence
}

// New makes a server and opens its listener. Run frees its resources.
func New(config *Config, sched Scheduler, log *slog.Logger, traceMessages bool) (*Server, error) {
	return newServer(&environment{config: config, log: log, tracing: traceMessages}, sched, eventloop.New)
}

// NewSimulated makes a server without tracing that runs on a simulated kernel.
func NewSimulated(
	kernel eventloop.Kernel, config *Config, sched Scheduler, log *slog.Logger,
) (*Server, error) {
	newLoop := func(onIteration func()) (*eventloop.Loop, error) { return eventloop.NewOn(kernel, onIteration) }
	return newServer(&environment{config: config, log: log}, sched, newLoop)
}

// newServer makes a server with an event loop of its own and opens its listener.
func newServer(
	env *environment, sched Scheduler, newLoop func(onIteration func()) (*eventloop.Loop, error),
) (*Server, error) {
	s := newParts(env)
	s.connectQueues(sched)
	loop, err := newLoop(s.iterate)
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	env.loop = loop
	loop.LogStalls(env.log)
	onAcceptState := loop.AcceptStateLogger(env.log, "clients")
	if s.listener, err = loop.Listen(env.config.ListenAddr, s.clients.accept, onAcceptState); err != nil {
		loop.Stop()
		_ = loop.Run() // only frees the resources of the loop; the error of Listen is reported
		return nil, err
	}
	return s, nil
}

// newParts makes the parts of a server and connects them.
func newParts(env *environment) *Server {
	env.claims = adoption.New(adoption.MaxClaims(env.config.MemoryMB))
	machines := newMachineRegistry(env)
	containers := newContainerRegistry(env, machines)
	shutdown := newShutdownSequence(env, containers)
	return &Server{
		env:        env,
		clients:    newClientRegistry(env, containers, shutdown),
		containers: containers,
		machines:   machines,
		prober:     &prober{env: env, machines: machines},
		discovery:  newDiscoveryWatch(env, machines),
		shutdown:   shutdown,
	}
}

// connectQueues connects each event queue to the package that handles its events, and to the method that carries out
// the actions of that package.
func (s *Server) connectQueues(sched Scheduler) {
	s.env.schedulerQueue.handle = func(now eventloop.Tick, events []scheduler.Event) []scheduler.Action {
		return sched.Handle(scheduler.Time(now), events)
	}
	s.env.schedulerQueue.apply = s.applySchedulerAction
	connManager := connmanager.New(s.env.config.MaxDescriptors)
	s.env.connManagerQueue.handle = func(now eventloop.Tick, events []connmanager.Event) []connmanager.Action {
		return connManager.Handle(connmanager.Time(now), events)
	}
	s.env.connManagerQueue.apply = s.applyConnAction
	s.shutdown.unconfirmed = func() int { return connManager.Unacknowledged() + s.env.cancels.Unsent() }
	detector := failuredetector.New()
	s.env.failureDetectorQueue.handle = func(
		now eventloop.Tick, events []failuredetector.Event,
	) []failuredetector.Action {
		return detector.Handle(failuredetector.Time(now), events)
	}
	s.env.failureDetectorQueue.apply = s.applyDetectorAction
}

// Addr is the address on which the server accepts clients.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until a shutdown is complete.
func (s *Server) Run() error {
	s.env.loop.Post(s.start)
	return s.env.loop.Run()
}

// start passes the machines known from the configuration to the scheduler, and starts the discovery watch.
func (s *Server) start() {
	config := s.env.config
	s.env.log.Info("scheduler started", "name", config.Name, "address", s.Addr(), "last_offset", config.LastOffset)
	for i, event := range config.KnownEvents {
		mode := scheduler.DeltaUpdate
		if i == 0 {
			mode = scheduler.RestoredSnapshot
		}
		s.machines.applyUpdate(mode, event)
	}
	if len(config.KnownEvents) == 0 {
		s.env.notifyScheduler(scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot})
	}
	s.discovery.connect()
	s.env.loop.After(maintenanceInterval, s.maintain)
}

// iterate runs once in each iteration of the event loop, after all input has been turned into events.
func (s *Server) iterate() {
	s.clients.reportOpened()
	if s.env.processEvents() {
		s.env.loop.SkipWait()
		return
	}
	s.shutdown.stopIfDrained()
}

// maintain runs every maintenanceInterval.
func (s *Server) maintain() {
	s.env.loop.After(maintenanceInterval, s.maintain)
	now := s.env.loop.Now()
	s.env.notifyConnManager(connmanager.Tick{})
	s.env.notifyFailureDetector(failuredetector.Tick{})
	s.machines.maintainConns(now)
	s.discovery.resetIfSilent(now)
	s.shutdown.forceAnswersIfDue(now)
}

// Shutdown makes Run return once every request is answered. Until then requests are handled as before, but liveness
// tests fail. Any goroutine may call it; only the first call has an effect.
func (s *Server) Shutdown() { s.env.loop.Post(s.shutdown.start) }

// Reload takes the address of the discovery service from a new configuration. Any goroutine may call it.
func (s *Server) Reload(config *Config) {
	s.env.loop.Post(func() { s.discovery.changeAddr(config.DiscoveryAddr) })
}
