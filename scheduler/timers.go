package scheduler

import "sort"

const (
	maintenanceInterval = Second / 4 // also how far ahead deadlines get a timer

	maintenanceTimer = "sweep" // these names pass through the simulator's wire
	deadlineTimer    = "due"
)

// begin runs in the first batch.
func (s *Scheduler) begin() {
	s.sendsKnownSince = s.now
	s.emit(SetTimer{s.jitter(maintenanceInterval), maintenanceTimer})
	s.pollDelay = s.basePollDelay()
	if s.config.ListOnRequest {
		s.pollAt = s.now + s.jitter(s.pollDelay)
	}
}

func (s *Scheduler) timerFired(e TimerFired) {
	if e.Name == maintenanceTimer {
		s.maintain()
	}
	s.deadlinesDue = true
}

func (s *Scheduler) maintain() {
	s.emit(SetTimer{maintenanceInterval, maintenanceTimer})
	s.evictGoneMachines()
	if s.pollAt > 0 && s.now >= s.pollAt {
		s.pollAt = 0
		s.emit(WatchMachineList{true})
	}
	s.probeMachines()
}

// checkDeadlines answers containers without an outcome whose deadline has passed: no answer may depend on a
// message that can be lost. Half the grace is left to timeouts that come when they should.
func (s *Scheduler) checkDeadlines() {
	var overdue []*container
	next := Time(0)
	for _, c := range s.containers {
		deadline := c.request.Deadline + s.config.AnswerGrace/2
		switch {
		case c.closed || c.accepted || deadline > s.now+maintenanceInterval:
		case deadline <= s.now:
			overdue = append(overdue, c)
		case next == 0 || deadline < next:
			next = deadline
		}
	}
	if next > 0 && next != s.deadlineTimerAt { // set for the first; those behind it set it anew
		s.deadlineTimerAt = next
		s.emit(SetTimer{next - s.now, deadlineTimer})
	}
	sort.Slice(overdue, func(i, j int) bool { return overdue[i].request.ID < overdue[j].request.ID })
	for _, c := range overdue {
		s.respond(c)
	}
}
