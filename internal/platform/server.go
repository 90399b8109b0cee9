// Package platform runs one placer behind the platform's protocol: messages of owners and machines and events of the bus
// become the placer module's events, and what it wants done is carried out, in order. It decides nothing itself.
// Everything here runs on the event loop's goroutine.
package platform

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// Scheduler is the placer module, or a script in its place.
type Scheduler interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

const (
	maintenanceInterval = eventloop.Second / 4
	probeTimeout        = eventloop.Second
)

// Server is one life of a placer on the platform.
type Server struct {
	config        *Config
	log           *slog.Logger
	loop          *eventloop.Loop
	listener      *eventloop.Listener
	scheduler     Scheduler
	traceMessages bool

	schedulerEvents       []scheduler.Event
	connManager           *connmanager.Manager
	connManagerEvents     []connmanager.Event // for the porter, at the end of the turn
	failureDetector       *failuredetector.Detector
	failureDetectorEvents []failuredetector.Event              // likewise
	containers            map[scheduler.ContainerID]*container // until answered, without a bid and over
	machines              map[scheduler.MachineID]*machine     // until gone from the bus and empty
	machineAtAddr         map[string]scheduler.MachineID       // which of them is at an address, until it is gone
	clients               map[connmanager.ClientID]*clientConn // until their connection ends
	discovery             discoveryWatch
	encodeBuffer          []byte
	lastProbeNumber       uint64
	lastClientID          connmanager.ClientID

	unanswered       int // containers that are owed an answer
	machineConnCount int // connections to machines, also those that are being left

	shuttingDown      bool // told to stop
	shutdownStartedAt eventloop.Tick
}

// container is one that an owner asks for or that stands.
type container struct {
	request        scheduler.PlacementRequest
	className      string
	idempotencyKey string
	description    []byte
	client         *clientConn // nil once its connection has ended
	answered       bool
	attemptsMade   int
	attempt        *attempt // the one that is out, or by which it stands
}

// attempt is an offer that waits for a link, is out, or has led to a container that stands.
type attempt struct {
	container     *container
	number        int
	machine       *machine
	conn          *machineConn // nil where it was taken over
	sent          bool
	running       bool
	endedByClient bool // its owner ended it
	createdAt     eventloop.Tick
	deadline      eventloop.Tick
	timer         *eventloop.Timer
}

// New makes a placer and opens its door. Run frees what it holds.
func New(config *Config, decider Scheduler, log *slog.Logger, trace bool) (*Server, error) {
	s := &Server{config: config, log: log, scheduler: decider, traceMessages: trace, containers: map[scheduler.ContainerID]*container{},
		machines: map[scheduler.MachineID]*machine{}, machineAtAddr: map[string]scheduler.MachineID{}, clients: map[connmanager.ClientID]*clientConn{},
		connManager: connmanager.New(config.MaxDescriptors), failureDetector: failuredetector.New()}
	s.discovery = discoveryWatch{server: s, addr: config.DiscoveryAddr, lastOffset: config.LastOffset}
	var err error
	if s.loop, err = eventloop.New(s.iterate); err != nil {
		return nil, err
	}
	if s.listener, err = s.loop.Listen(config.ListenAddr, s.accept, s.loop.AcceptStateLogger(log, "callers")); err != nil {
		s.loop.Stop()
		s.loop.Run()
		return nil, err
	}
	return s, nil
}

// Addr is where owners call.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until it is told to leave and owes nothing more.
func (s *Server) Run() error {
	s.loop.Post(s.start)
	return s.loop.Run()
}

func (s *Server) start() {
	s.log.Info("placer up", "name", s.config.Name, "door", s.Addr(), "events known", s.config.LastOffset)
	for i, e := range s.config.KnownEvents {
		mode := scheduler.DeltaUpdate
		if i == 0 {
			mode = scheduler.RestoredSnapshot
		}
		s.applyUpdate(mode, e)
	}
	if len(s.config.KnownEvents) == 0 {
		s.notifyScheduler(scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot})
	}
	s.discovery.connect()
	s.loop.After(maintenanceInterval, s.maintain)
}

// Shutdown ends Run once nothing is owed to owners any more; any goroutine may call it.
func (s *Server) Shutdown() {
	s.loop.Post(func() {
		if !s.shuttingDown {
			s.shuttingDown, s.shutdownStartedAt = true, s.loop.Now()
			s.log.Info("leaving", "containers", len(s.containers))
		}
	})
}

// Reload takes the address of the bus from a new file; any goroutine may call it.
func (s *Server) Reload(config *Config) {
	s.loop.Post(func() { s.discovery.moveTo(config.DiscoveryAddr) })
}

// HandleSignals follows signals to leave, and signals that there is a new file; it returns at once. A file that is slow to read holds
// up neither the order to leave nor a later file: the one that counts is read after the last signal.
func (s *Server) HandleSignals(leave, renew <-chan os.Signal, load func() (*Config, error)) {
	go func() {
		for range leave {
			s.Shutdown()
		}
	}()
	go func() {
		for range renew {
			if config, err := load(); err != nil {
				s.log.Error("the new file is not used", "why", err)
			} else {
				s.Reload(config)
			}
		}
	}()
}

func (s *Server) notifyScheduler(e scheduler.Event) { s.schedulerEvents = append(s.schedulerEvents, e) }

func (s *Server) notifyConnManager(e connmanager.Event) {
	s.connManagerEvents = append(s.connManagerEvents, e)
}
func (s *Server) notifyFailureDetector(e failuredetector.Event) {
	s.failureDetectorEvents = append(s.failureDetectorEvents, e)
}

func (s *Server) iterate() {
	s.runScheduler()
	if told := s.connManagerEvents; len(told) > 0 {
		s.connManagerEvents = nil
		for _, action := range s.connManager.Handle(connmanager.Time(s.loop.Now()), told) {
			s.applyConnAction(action)
		}
	}
	if seen := s.failureDetectorEvents; len(seen) > 0 {
		s.failureDetectorEvents = nil
		for _, action := range s.failureDetector.Handle(failuredetector.Time(s.loop.Now()), seen) {
			s.applyDetectorAction(action)
		}
	}
	if len(s.schedulerEvents)+len(s.connManagerEvents)+len(s.failureDetectorEvents) > 0 {
		s.loop.SkipWait()
		return
	}
	// Here and nowhere else a leaving placer ends: all that was read has been acted on, and nothing is read before the exit.
	if s.shuttingDown && !connmanager.ShouldKeepDraining(connmanager.Time(s.loop.Now()-s.shutdownStartedAt), s.unanswered, s.longestDeadline()) {
		s.log.Info("left", "standing", len(s.containers), "most connections", s.loop.PeakConnCount())
		s.loop.StopWhenIdle()
	}
}

// applyConnAction does what the porter wants done.
func (s *Server) applyConnAction(action connmanager.Action) {
	switch action := action.(type) {
	case connmanager.CloseClient:
		if cc := s.clients[action.Client]; cc != nil {
			s.log.Debug("caller let go", "caller", cc.id, "why", action.Reason)
			cc.conn.Close()
		}
	case connmanager.NotifyTermination:
		if cc := s.clients[action.Client]; cc != nil {
			cc.send(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: action.RequestID, Cause: jsonlines.CausePtr(action.Cause)})
		}
	case connmanager.PauseReading:
		if cc := s.clients[action.Client]; cc != nil {
			cc.conn.SetReadPaused(true)
			s.loop.After(eventloop.Tick(action.Duration), func() { cc.conn.SetReadPaused(false) })
		}
	}
}

// applyDetectorAction does what the vigil wants done.
func (s *Server) applyDetectorAction(action failuredetector.Action) {
	switch action := action.(type) {
	case failuredetector.Connect:
		if m := s.machines[scheduler.MachineID(action.Machine)]; m != nil && m.addr != "" {
			m.connect()
		}
	case failuredetector.ReportTermination:
		if m := s.machines[scheduler.MachineID(action.Machine)]; m != nil && m.attempts[scheduler.ContainerID(action.RequestID)] != nil {
			s.finishRunning(m.attempts[scheduler.ContainerID(action.RequestID)], action.Cause, scheduler.AttemptEnded{Outcome: outcomeAfterAccept(action.Cause)})
		}
	case failuredetector.DeclareLost:
		if m := s.machines[scheduler.MachineID(action.Machine)]; m != nil {
			s.log.Info("machine lost", "machine", m.id, "standing", m.running, "silent ms", action.SilentFor/10)
			m.failRunning(s.loop.Now())
		}
	}
}

// runScheduler hands the placer module what happened.
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

// applySchedulerAction does what the placer module wants done.
func (s *Server) applySchedulerAction(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartAttempt:
		s.startAttempt(action)
	case scheduler.Reject:
		m := &jsonlines.Message{Op: jsonlines.OpEnd, Cause: jsonlines.CausePtr(jsonlines.CauseNoCapacity)}
		if action.RetryAfter > 0 {
			m.Fields = jsonlines.Fields{"wait": fmt.Sprint(int64(action.RetryAfter / scheduler.Millisecond))}
		}
		s.answer(action.ID, m)
	case scheduler.Fail:
		s.answer(action.ID, &jsonlines.Message{Op: jsonlines.OpEnd, Cause: jsonlines.CausePtr(jsonlines.CauseTemporaryFailure)})
	case scheduler.CancelAttempt:
		if c := s.containers[action.ID]; c != nil && c.attempt != nil && !c.attempt.running && c.attempt.number == action.Attempt {
			s.cancelOffer(c.attempt)
			s.finishAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.answered})
		}
	case scheduler.Probe:
		s.startProbe(action.Machine)
	case scheduler.Disconnect:
		if m := s.machines[action.Machine]; m != nil {
			m.closeIdleConns()
		}
	case scheduler.SetTimer:
		s.loop.After(eventloop.Tick(action.After), func() { s.notifyScheduler(scheduler.TimerFired{Name: action.Name}) })
	case scheduler.WatchMachineList, scheduler.FetchMachineList: // the bus is followed from the start
	case scheduler.Log:
		s.log.Info("mode", "text", action.Message)
	}
}

// answer gives the owner of a container its one final answer.
func (s *Server) answer(id scheduler.ContainerID, msg *jsonlines.Message) {
	c := s.containers[id]
	if c == nil || c.answered {
		return
	}
	s.markAnswered(c)
	if c.client != nil {
		msg.RequestID = string(id)
		c.client.send(msg)
		s.notifyConnManager(connmanager.MessageSent{Client: c.client.id, ClosedRequests: 1})
		if msg.Op == jsonlines.OpAccept {
			s.notifyConnManager(connmanager.OwnershipProven{Client: c.client.id})
		}
	}
	s.cancelPendingAttempt(c)
}

// markAnswered notes that no answer is owed for a container any more.
func (s *Server) markAnswered(c *container) {
	c.answered = true
	s.unanswered--
}

// cancelPendingAttempt calls off the bid of a container that awaits none any more.
func (s *Server) cancelPendingAttempt(c *container) {
	if c.attempt != nil && !c.attempt.running {
		s.cancelOffer(c.attempt)
		s.finishAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
	}
	s.removeIfDone(c)
}

// cancelRequest ends a container whose owner waits no longer.
func (s *Server) cancelRequest(c *container) {
	s.markAnswered(c)
	if c.client != nil {
		s.notifyConnManager(connmanager.RequestCancelled{Client: c.client.id})
	}
	s.notifyScheduler(scheduler.ContainerRemoved{ID: c.request.ID})
	s.cancelPendingAttempt(c)
}

func (s *Server) removeIfDone(c *container) {
	if c.answered && c.attempt == nil {
		delete(s.containers, c.request.ID)
	}
}

// finishAttempt ends a bid with its one outcome.
func (s *Server) finishAttempt(a *attempt, e scheduler.AttemptEnded) {
	c := a.container
	if c.attempt != a {
		return
	}
	s.loop.Cancel(a.timer)
	if a.conn != nil && !a.running {
		delete(a.conn.attempts, c.request.ID)
	}
	delete(a.machine.attempts, c.request.ID)
	if a.running {
		if a.conn != nil {
			a.conn.running--
		}
		a.machine.addRunning(-1)
	}
	c.attempt = nil
	e.ID, e.Attempt, e.Machine, e.Elapsed = c.request.ID, a.number, a.machine.id, scheduler.Time(s.loop.Now()-a.createdAt)
	s.notifyScheduler(e)
	s.removeIfDone(c)
	a.machine.evictIfGone()
}

// finishRunning ends a container that stood, and tells its owner, unless that ended it.
func (s *Server) finishRunning(a *attempt, cause int, e scheduler.AttemptEnded) {
	c := a.container
	e.Final = true
	s.finishAttempt(a, e)
	if a.endedByClient || cause == jsonlines.CauseCancelled {
		return
	}
	over := connmanager.ContainerTerminated{RequestID: string(c.request.ID), Cause: cause}
	if c.client != nil {
		over.Client = c.client.id
	}
	s.notifyConnManager(over)
}

func (s *Server) maintain() {
	s.loop.After(maintenanceInterval, s.maintain)
	now := s.loop.Now()
	s.notifyConnManager(connmanager.Tick{})
	s.notifyFailureDetector(failuredetector.Tick{})
	for _, id := range slices.Sorted(maps.Keys(s.machines)) {
		s.machines[id].maintainConns(now)
	}
	s.discovery.resetIfSilent(now)
	if s.shuttingDown && connmanager.ShouldForceAnswers(connmanager.Time(now-s.shutdownStartedAt), s.longestDeadline()) {
		s.cutOpenAttempts()
	}
}

// longestDeadline is the longest hard stop of the terms.
func (s *Server) longestDeadline() (longest connmanager.Time) {
	for _, w := range s.config.Scheduler.WorkloadClasses {
		longest = max(longest, connmanager.Time(w.PlacementTimeout))
	}
	return longest
}

// cutOpenAttempts ends the bids of what is still unanswered; the module then answers each, as after its own time.
func (s *Server) cutOpenAttempts() {
	for _, id := range slices.Sorted(maps.Keys(s.containers)) {
		if c := s.containers[id]; !c.answered && c.attempt != nil {
			s.cancelOffer(c.attempt)
			s.finishAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeFinished})
		}
	}
}

// encode writes a message for a connection; it holds until the next.
func (s *Server) encode(msg *jsonlines.Message) ([]byte, error) {
	var err error
	s.encodeBuffer, err = jsonlines.Append(s.encodeBuffer[:0], msg)
	return s.encodeBuffer, err
}

func (s *Server) traceMessage(way, who string, msg *jsonlines.Message) {
	if s.traceMessages {
		s.log.Info("trace", "t", s.loop.Now(), "way", way, "peer", who, "op", msg.Op, "call", msg.RequestID, "with", msg.Fields, "why", msg.CauseOrNone())
	}
}
