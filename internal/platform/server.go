// Package platform runs one scheduler behind the platform's protocol.
//
// Messages of clients and machines, and events of the discovery service, become events of the scheduler, and the
// actions that it returns are carried out in their order. The process itself decides nothing: package scheduler decides
// on placement, connmanager on connections and notifications, failuredetector on machines that have fallen silent. The
// words of the wire end in clientmessages.go, machinemessages.go, watchevents.go and config.go.
//
// The goroutine of the event loop owns all state. Shutdown, Reload and HandleSignals may be called on any goroutine.
package platform

import (
	"log/slog"

	"glenport/internal/eventloop"
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

// Server is one incarnation of a scheduler on the platform.
type Server struct {
	config        *Config
	log           *slog.Logger
	traceMessages bool
	loop          *eventloop.Loop
	listener      *eventloop.Listener
	encodeBuffer  []byte // reused by encode

	scheduler             Scheduler
	connManager           *connmanager.Manager
	failureDetector       *failuredetector.Detector
	schedulerEvents       []scheduler.Event
	connManagerEvents     []connmanager.Event     // handled after those of the scheduler
	failureDetectorEvents []failuredetector.Event // handled last

	containers    map[scheduler.ContainerID]*container // until answered and without an attempt
	machines      map[scheduler.MachineID]*machine     // until gone from the list and without work
	machineAtAddr map[string]scheduler.MachineID       // the machine that is at an address, until it is gone
	clients       map[connmanager.ClientID]*clientConn // until their connection ends
	discovery     discoveryWatch

	lastProbeNumber  uint64
	lastClientID     connmanager.ClientID
	unanswered       int // containers whose request awaits its answer
	machineConnCount int // connections to machines, those that are closing included

	shuttingDown      bool
	shutdownStartedAt eventloop.Tick
}

// New makes a server and opens its listener. Its resources are freed by Run.
func New(config *Config, decisions Scheduler, log *slog.Logger, traceMessages bool) (*Server, error) {
	s := &Server{
		config:          config,
		log:             log,
		traceMessages:   traceMessages,
		scheduler:       decisions,
		connManager:     connmanager.New(config.MaxDescriptors),
		failureDetector: failuredetector.New(),
		containers:      map[scheduler.ContainerID]*container{},
		machines:        map[scheduler.MachineID]*machine{},
		machineAtAddr:   map[string]scheduler.MachineID{},
		clients:         map[connmanager.ClientID]*clientConn{},
	}
	s.discovery = discoveryWatch{server: s, addr: config.DiscoveryAddr, lastOffset: config.LastOffset}
	var err error
	if s.loop, err = eventloop.New(s.iterate); err != nil {
		return nil, err
	}
	if s.listener, err = s.loop.Listen(
		config.ListenAddr,
		s.accept,
		s.loop.AcceptStateLogger(log, "clients"),
	); err != nil {
		s.loop.Stop()
		_ = s.loop.Run() // only frees what the loop holds; the error of Listen is the one to report
		return nil, err
	}
	return s, nil
}

// Addr is the address on which clients are accepted.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until a shutdown is complete.
func (s *Server) Run() error {
	s.loop.Post(s.start)
	return s.loop.Run()
}

// start passes the machines that the configuration knows to the scheduler, and begins to watch for changes.
func (s *Server) start() {
	s.log.Info("scheduler started", "name", s.config.Name, "address", s.Addr(), "last_offset", s.config.LastOffset)
	for i, event := range s.config.KnownEvents {
		mode := scheduler.DeltaUpdate
		if i == 0 {
			mode = scheduler.RestoredSnapshot
		}
		s.applyUpdate(mode, event)
	}
	if len(s.config.KnownEvents) == 0 {
		s.notifyScheduler(scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot})
	}
	s.discovery.connect()
	s.loop.After(maintenanceInterval, s.maintain)
}

// iterate runs once in each iteration of the event loop, after all input has been turned into events.
func (s *Server) iterate() {
	s.runScheduler()
	s.runConnManager()
	s.runFailureDetector()
	if len(s.schedulerEvents)+len(s.connManagerEvents)+len(s.failureDetectorEvents) > 0 {
		s.loop.SkipWait()
		return
	}
	s.stopIfDrained()
}

func (s *Server) runScheduler() {
	events := s.schedulerEvents
	if len(events) == 0 {
		return
	}
	s.schedulerEvents = nil
	for _, action := range s.scheduler.Handle(scheduler.Time(s.loop.Now()), events) {
		s.applySchedulerAction(action)
	}
}

func (s *Server) runConnManager() {
	events := s.connManagerEvents
	if len(events) == 0 {
		return
	}
	s.connManagerEvents = nil
	for _, action := range s.connManager.Handle(connmanager.Time(s.loop.Now()), events) {
		s.applyConnAction(action)
	}
}

func (s *Server) runFailureDetector() {
	events := s.failureDetectorEvents
	if len(events) == 0 {
		return
	}
	s.failureDetectorEvents = nil
	for _, action := range s.failureDetector.Handle(failuredetector.Time(s.loop.Now()), events) {
		s.applyDetectorAction(action)
	}
}

func (s *Server) notifyScheduler(e scheduler.Event) {
	s.schedulerEvents = append(s.schedulerEvents, e)
}

func (s *Server) notifyConnManager(e connmanager.Event) {
	s.connManagerEvents = append(s.connManagerEvents, e)
}

func (s *Server) notifyFailureDetector(e failuredetector.Event) {
	s.failureDetectorEvents = append(s.failureDetectorEvents, e)
}

// maintain runs every maintenanceInterval.
func (s *Server) maintain() {
	s.loop.After(maintenanceInterval, s.maintain)
	now := s.loop.Now()
	s.notifyConnManager(connmanager.Tick{})
	s.notifyFailureDetector(failuredetector.Tick{})
	for _, id := range sortedKeys(s.machines) {
		if m := s.machines[id]; m != nil { // it may have been evicted when another machine needed a connection
			m.maintainConns(now)
		}
	}
	s.discovery.resetIfSilent(now)
	s.cutOpenAttemptsIfDue(now)
}
