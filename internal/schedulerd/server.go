// Package schedulerd runs one scheduler on sockets. Server owns an event loop, on which it turns frames, connections
// and timers into events, hands them to the decision packages once an iteration, and executes the actions that they
// return, in order. It decides nothing itself. Where nothing else is said, code of this package runs on the goroutine
// of the event loop.
package schedulerd

import (
	"errors"
	"log/slog"
	"time"

	"glenport/internal/bgp/speaker"
	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Scheduler decides on which machine each container is started: scheduler.Scheduler, or a wrapper or a script of a test
// in its place.
type Scheduler interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

// maintenanceInterval is the time between two checks for idle, silent and stalled connections.
const maintenanceInterval = eventloop.Second

// shutdownReason is sent to the BGP peers when the server stops: it is part of the wire.
const shutdownReason = "this placer is stopped"

// Server is one incarnation of a scheduler process.
type Server struct {
	config      *config.Scheduler
	incarnation uint64 // microseconds since 1970 when it was made
	log         *slog.Logger
	loop        *eventloop.Loop
	listener    *eventloop.Listener

	scheduler        Scheduler
	schedulerEvents  []scheduler.Event // for the next call of scheduler
	reconciler       *reconcile.Reconciler
	reconcilerEvents []reconcile.Event // for the next call of reconciler

	containers  map[scheduler.ContainerID]*container    // until answered and without an attempt
	machines    map[scheduler.MachineID]*machine        // until gone from the list and idle
	clients     map[reconcile.ClientID]*clientConn      // until their connection is closed
	submittedAt map[scheduler.ContainerID]time.Duration // of the requests of this iteration
	discovery   discoveryClient
	speaker     *speaker.Speaker // nil if no address is announced
	state       *stateStore      // nil if nothing is persisted
	adoptions   adoptionTracker
	newlyReady  []*machine // that reported their inventory in this iteration
	stats       stats

	lastAttempt  uint64
	lastClient   reconcile.ClientID
	lastProbe    uint64
	encodeBuffer []byte
}

// New opens the state folder and the listener of a scheduler. Run serves; what New has opened is released when Run
// returns, so that Run must be called even if the server is stopped at once.
func New(settings *config.Scheduler, decisions Scheduler, log *slog.Logger) (*Server, error) {
	s := &Server{
		config:      settings,
		incarnation: uint64(time.Now().UnixMicro()),
		log:         log,
		scheduler:   decisions,
		containers:  map[scheduler.ContainerID]*container{},
		machines:    map[scheduler.MachineID]*machine{},
		clients:     map[reconcile.ClientID]*clientConn{},
		submittedAt: map[scheduler.ContainerID]time.Duration{},
		adoptions:   newAdoptionTracker(),
		stats:       newStats(),
	}
	s.lastAttempt = s.incarnation // attempt numbers are unique over all incarnations
	s.discovery.server = s
	var err error
	if s.loop, err = eventloop.New(s.runIteration); err != nil {
		return nil, err
	}
	if err := s.open(); err != nil {
		s.loop.Stop()
		err = errors.Join(err, s.loop.Run())
		s.closeState()
		return nil, err
	}
	return s, nil
}

// open reads the state and begins to listen.
func (s *Server) open() error {
	coverage := recovery.LogNone
	if s.config.StateDir != "" {
		state, err := openState(s)
		if err != nil {
			return err
		}
		s.state = state
		coverage = state.history.Coverage
	}
	s.reconciler = s.newReconciler(coverage)
	if s.config.BGP != nil {
		s.speaker = speaker.New(s.loop, *s.config.BGP, s.log)
	}
	s.loop.OnFlushed(func() { s.stats.flushed(s.loop.Elapsed()) })
	var err error
	s.listener, err = s.loop.Listen(s.config.ListenAddr, s.acceptClient, s.loop.AcceptStateLogger(s.log, "clients"))
	return err
}

func (s *Server) newReconciler(coverage recovery.LogCoverage) *reconcile.Reconciler {
	var idempotency []scheduler.Idempotency
	var limited []overload.WorkloadClass
	for _, class := range s.config.Policy.WorkloadClasses {
		idempotency = append(idempotency, class.Idempotency)
		if s.config.AdaptiveLimit {
			limited = append(
				limited,
				overload.WorkloadClass{LatencyObjective: class.LatencyObjective, PriorityWeight: class.PriorityWeight},
			)
		}
	}
	return reconcile.New(reconcile.Config{
		Incarnation:     s.incarnation,
		Limits:          s.config.Limits,
		Idempotency:     idempotency,
		LogCoverage:     coverage,
		OverloadClasses: limited,
	})
}

// Speaker announces the addresses of services by BGP; nil if none is announced.
func (s *Server) Speaker() *speaker.Speaker { return s.speaker }

// Addr is the address at which clients connect.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until Stop.
func (s *Server) Run() error {
	s.loop.Post(s.start)
	err := s.loop.Run()
	s.closeState()
	return err
}

// Stop makes Run return. Any goroutine may call it.
func (s *Server) Stop() {
	s.loop.Post(func() {
		if s.speaker != nil {
			s.speaker.Stop(shutdownReason)
		}
	})
	s.loop.Stop()
}

// Stats returns the counters and the routes. Any goroutine may call it; ok is false if the loop has stopped or does not
// answer within the timeout.
func (s *Server) Stats(timeout time.Duration) (status *protocol.StatusReply, routes *protocol.RoutesReply, ok bool) {
	type snapshot struct {
		status *protocol.StatusReply
		routes *protocol.RoutesReply
	}
	taken := make(chan snapshot, 1) // the loop never waits for a caller that has gone
	if !s.loop.Post(func() { taken <- snapshot{s.statusReply(), s.routesReply("")} }) {
		return nil, nil, false
	}
	select {
	case t := <-taken:
		return t.status, t.routes, true
	case <-time.After(timeout):
		return nil, nil, false
	}
}

func (s *Server) closeState() {
	if s.state != nil {
		s.state.close()
	}
}

// start begins with what earlier incarnations have left.
func (s *Server) start() {
	s.log.Info("scheduler started", "name", s.config.Name, "listener", s.Addr(), "incarnation", s.incarnation)
	if s.state != nil {
		s.state.restore()
	} else {
		s.applyList(scheduler.RestoredSnapshot, 0, nil)
	}
	s.loop.After(maintenanceInterval, s.maintain)
	if s.speaker != nil {
		if err := s.speaker.Start(); err != nil {
			s.log.Error("BGP speaker not started, no address is announced", "error", err)
			s.speaker = nil
		}
	}
}

// maintain closes connections that are idle, silent or stalled.
func (s *Server) maintain() {
	now := s.loop.Now()
	for _, m := range s.machines {
		m.checkTimeouts(now)
	}
	for _, client := range s.clients {
		client.checkTimeouts(now)
	}
	s.discovery.checkTimeouts(now)
	s.loop.After(maintenanceInterval, s.maintain)
}
