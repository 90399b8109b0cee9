package scheduler

// Tuned values that several files use; each holds for the trade, not for one deployment.
const (
	averagingSpan  = 32              // observations that a moving ratio remembers
	deadlineMargin = 2 * Millisecond // kept from deadlines and deduplication windows, for the way to the machine
)

// Handle applies the events that happened by now and returns the actions to carry out. Containers are placed
// after all events are applied: what is found running in the batch counts before any new attempt.
func (s *Scheduler) Handle(now Time, events []Event) []Action {
	s.now = now
	s.actions, s.unplaced, s.deadlinesDue = nil, nil, false
	if s.sendsKnownSince < 0 {
		s.begin()
	}
	for _, e := range events {
		s.apply(e)
	}
	for _, c := range s.unplaced {
		if !c.closed {
			s.place(c)
		}
	}
	if s.deadlinesDue {
		s.checkDeadlines()
	}
	return s.actions
}

func (s *Scheduler) apply(e Event) {
	switch e := e.(type) {
	case MachineListUpdate:
		s.applyMachineList(e)
	case RequestReceived:
		s.requestReceived(e)
	case ContainerAdopted:
		s.containerAdopted(e)
	case AttemptAccepted:
		s.attemptAccepted(e)
	case UsageReported:
		s.usageReported(e)
	case AttemptEnded:
		s.attemptEnded(e)
	case ContainerRemoved:
		s.containerRemoved(e)
	case ProbeCompleted:
		s.probeCompleted(e)
	case TimerFired:
		s.timerFired(e)
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// jitter is a random moment in a span: instances that start or fail together must not act together.
func (s *Scheduler) jitter(span Time) Time {
	return Millisecond + Time(float64(span)*s.random.uniform())
}
