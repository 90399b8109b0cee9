package scheduler

const (
	averagingSpan  = 32              // time constant of moving averages, in observations
	deadlineMargin = 2 * Millisecond // reserved before deadlines and ends of dedup windows for transit to the machine

	maintenanceInterval = Second / 4 // also the horizon within which a deadline gets a timer

	// The timer names are part of the simulator's wire protocol.
	maintenanceTimerName = "sweep"
	deadlineTimerName    = "due"
)

// Scheduler decides on the placement of containers. The host process calls New once and Handle for each batch of
// events, and carries out the returned actions in order. Scheduler coordinates components that each own a part of the
// state.
type Scheduler struct {
	config  Config
	actions *actionBuffer
	random  *pcg // shared by all components that need it, so the order of their calls affects the decisions

	machines   *machineRegistry
	containers *containerRegistry
	slowStart  *slowStartLimiter
	classes    *classFailureDetector
	shedder    *loadShedder
	latency    *startLatencyTracker
	poller     *listPoller
	prober     *prober
	outcomes   *outcomeRecorder
	draw       *maxCapDraw
	deadlines  *deadlineTimer
	explainer  *explainer

	now                Time         // time of the current or last batch
	unplacedContainers []*container // placed at the end of the current batch
	deadlineCheckDue   bool         // a timer fired in the current batch
}

// New returns a scheduler without machines.
func New(config Config) *Scheduler {
	actions := &actionBuffer{}
	random := &pcg{config.Seed}
	quotas := newTenantQuotas(config.Tenants)
	slowStart := newSlowStartLimiter(&config)
	outliers := &outlierDetector{actions: actions}
	classes := newClassFailureDetector(&config, actions)
	filters := newEligibility(&config, slowStart)
	shedder := &loadShedder{overQuotaWeight: config.OverQuotaWeight, quotas: quotas, random: random}
	latency := newStartLatencyTracker(&config)
	return &Scheduler{
		config:     config,
		actions:    actions,
		random:     random,
		machines:   newMachineRegistry(&config, slowStart, actions),
		containers: newContainerRegistry(config.WorkloadClasses, quotas),
		slowStart:  slowStart,
		classes:    classes,
		shedder:    shedder,
		latency:    latency,
		poller:     newListPoller(&config, random),
		prober: &prober{
			enabled:   config.ProbesAllowed,
			slowStart: slowStart,
			outliers:  outliers,
			actions:   actions,
		},
		outcomes: &outcomeRecorder{
			outliers:    outliers,
			classes:     classes,
			shedder:     shedder,
			eligibility: filters,
			actions:     actions,
		},
		draw: &maxCapDraw{
			random:      random,
			capacities:  newCapacityModel(&config),
			eligibility: filters,
			classes:     classes,
			slowStart:   slowStart,
			latency:     latency,
			shedder:     shedder,
		},
		deadlines: &deadlineTimer{grace: config.AnswerGrace},
		explainer: &explainer{eligibility: filters, classes: classes},
	}
}

// Handle applies the events that happened by now and returns the actions to carry out. Containers are placed after all
// events are applied, so that adopted containers in the batch count before any new attempt.
func (s *Scheduler) Handle(now Time, events []Event) []Action {
	s.beginBatch(now)
	if !s.slowStart.hasStarted() {
		s.initialize()
	}
	for _, e := range events {
		s.apply(e)
	}
	s.placeAll()
	if s.deadlineCheckDue {
		s.checkDeadlines()
	}
	return s.actions.batchActions()
}

func (s *Scheduler) beginBatch(now Time) {
	s.now = now
	s.actions.reset()
	clear(s.unplacedContainers)
	s.unplacedContainers = s.unplacedContainers[:0]
	s.deadlineCheckDue = false
}

func (s *Scheduler) apply(e Event) {
	switch e := e.(type) {
	case MachineListUpdate:
		s.handleMachineListUpdate(e)
	case RequestReceived:
		s.handleRequestReceived(e)
	case ContainerAdopted:
		s.handleContainerAdopted(e)
	case AttemptAccepted:
		s.handleAttemptAccepted(e)
	case UsageReported:
		s.handleUsageReported(e)
	case AttemptEnded:
		s.handleAttemptEnded(e)
	case ContainerRemoved:
		s.handleContainerRemoved(e)
	case ProbeCompleted:
		s.handleProbeCompleted(e)
	case TimerFired:
		s.handleTimerFired(e)
	}
}

// initialize runs once, in the first batch.
func (s *Scheduler) initialize() {
	s.slowStart.start(s.now)
	s.actions.emit(SetTimer{After: s.random.jitter(maintenanceInterval), Name: maintenanceTimerName})
	s.poller.resetDelay()
	if s.config.ListOnRequest {
		s.poller.schedule(s.now)
	}
}

// handleMachineListUpdate applies an update of the machine list. A failed poll leaves the machines unchanged. A start
// that a machine reports itself does not count as the answer to a poll.
func (s *Scheduler) handleMachineListUpdate(e MachineListUpdate) {
	switch e.Mode {
	case UpdateFailed:
		s.poller.recordFailure(s.now)
		return
	case DeltaUpdate, FullSnapshot:
		s.poller.recordAnswer()
	case RestoredSnapshot, SelfReported:
	default:
	}
	s.machines.apply(e, s.now)
}

func (s *Scheduler) handleProbeCompleted(e ProbeCompleted) {
	if m := s.machines.find(e.Machine); m != nil {
		s.prober.recordResult(m, e.Outcome, s.now)
	}
}

// handleTimerFired runs the maintenance if its timer fired. Any timer causes a check of the deadlines at the end of the
// batch.
func (s *Scheduler) handleTimerFired(e TimerFired) {
	if e.Name == maintenanceTimerName {
		s.maintain()
	}
	s.deadlineCheckDue = true
}

// maintain evicts machines that are gone, polls the machine list if a poll is due, and sends the probes that are due.
func (s *Scheduler) maintain() {
	s.actions.emit(SetTimer{After: maintenanceInterval, Name: maintenanceTimerName})
	s.machines.evictGone(s.now)
	if s.poller.takeDuePoll(s.now) {
		s.actions.emit(WatchMachineList{Enabled: true})
	}
	silent := s.containers.silentMachines(silenceBeforeProbe, s.now)
	s.prober.probeMachines(s.machines.all(), silent, s.now)
}

func (s *Scheduler) checkDeadlines() {
	for _, c := range s.deadlines.check(s.containers, s.actions, s.now) {
		s.respond(c)
	}
}
