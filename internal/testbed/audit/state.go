package audit

import (
	"fmt"

	"glenport/internal/protocol"
	"glenport/scheduler"
)

// schedulerState is one incarnation of a scheduler, as seen from outside.
type schedulerState struct {
	name     string
	requests map[string]*request // by container
	machines map[string]*listedMachine
	inFlight map[*attempt]bool // offered without an outcome, or running
	lookups  map[string]bool   // lookups and cancels by key, by container: a reply to each is due
}

// request is a container that a client submitted to a scheduler.
type request struct {
	container  string
	spec       protocol.ContainerSpec
	connection uint32 // of the client
	submitted  scheduler.Time
	deadline   scheduler.Time
	attempts   []*attempt

	replies   int
	verdict   protocol.Verdict
	repliedAt scheduler.Time
	abandoned bool // its connection or scheduler ended: no reply is owed

	terminated   bool // the client was notified that the container ended
	keyedCancels int  // cancels by key that no answer was attributed to
}

// attempt is one offer of a container to a machine, or a container that a machine's inventory names.
type attempt struct {
	id       uint64
	machine  string
	spec     protocol.ContainerSpec
	sent     moment
	timeout  scheduler.Time
	ran      bool
	ended    bool
	endedAt  moment // if it ended
	neverRan bool   // the machine refused it
	text     string // for evidence
}

// end notes that the attempt has an outcome, or will have none.
func (a *attempt) end(m moment) { a.ended, a.endedAt = true, m }

// deadline is when the attempt times out, going by when it was recorded.
func (a *attempt) deadline() scheduler.Time { return a.sent.at + a.timeout }

// connection is one between a scheduler and a client, a machine or the machine list.
type connection struct {
	peer     protocol.Role
	name     string              // of the peer
	attempts map[uint64]*attempt // without an outcome, by id
}

func (c *checker) scheduler(name string) *schedulerState {
	s := c.schedulers[name]
	if s == nil {
		s = &schedulerState{
			name:     name,
			requests: map[string]*request{},
			machines: map[string]*listedMachine{},
			inFlight: map[*attempt]bool{},
			lookups:  map[string]bool{},
		}
		c.schedulers[name] = s
	}
	return s
}

// offered takes an offer and checks the rules on offers.
func (c *checker) offered(s *schedulerState, conn *connection, f *protocol.Offer) {
	c.report.Offers++
	a := &attempt{
		id:      f.AttemptID,
		machine: conn.name,
		spec:    f.Spec,
		sent:    c.now,
		timeout: scheduler.Time(f.Timeout),
		text: fmt.Sprintf("%.1f ms %s offers %s to %s, attempt %d, timeout %.1f ms", milliseconds(c.now.at), s.name,
			f.Spec.ContainerID, conn.name, f.AttemptID, milliseconds(scheduler.Time(f.Timeout))),
	}
	r := c.checkOfferIsOwed(s, a)
	class, known := workloadClass(&c.header, f.Spec.WorkloadClass)
	if !known {
		c.report.violate(RuleFinalReply, a.sent.at, []string{a.text},
			"workload class %d is unknown", f.Spec.WorkloadClass)
		return
	}
	c.duplicateRun.checkRetry(s, r, a, class)
	c.checkDraining(s, a)
	c.slowStart.checkSend(s, a.machine, c.now)
	r.attempts = append(r.attempts, a)
	conn.attempts[a.id] = a
	s.inFlight[a] = true
	c.checkSpread(s, a, class)
}

// accepted takes a machine's accept; it counts once the container runs.
func (c *checker) accepted(s *schedulerState, conn *connection, f *protocol.Accept) {
	if a := conn.attempts[f.AttemptID]; a != nil && f.Running {
		c.report.Accepted++
		c.started(s, a)
	}
}

// started notes that an attempt's container runs.
func (c *checker) started(s *schedulerState, a *attempt) {
	if a.ran {
		return
	}
	a.ran = true
	s.inFlight[a] = true
	c.duplicateRun.checkRanOnce(a, c.now.at, func(earlier *attempt) bool { return earlier == a })
}

// ended takes the outcome of an attempt.
func (c *checker) ended(s *schedulerState, conn *connection, f *protocol.Result) {
	a := conn.attempts[f.AttemptID]
	if a == nil {
		return
	}
	delete(conn.attempts, f.AttemptID)
	delete(s.inFlight, a)
	a.end(c.now)
	a.neverRan = f.Outcome == protocol.OutcomeFull && !a.ran
	if f.Outcome == protocol.OutcomeFinished {
		c.started(s, a)
		delete(s.inFlight, a)
	}
}

// inventory takes what a machine says that it runs for a scheduler, for this and earlier incarnations.
func (c *checker) inventory(s *schedulerState, conn *connection, f *protocol.Inventory) {
	for _, item := range f.Containers {
		if !item.Running {
			continue
		}
		a := &attempt{
			id:      item.AttemptID,
			machine: conn.name,
			spec:    item.Spec,
			sent:    c.now,
			ran:     true,
			text: fmt.Sprintf("%.1f ms %s has %s of %s in its inventory",
				milliseconds(c.now.at), conn.name, item.Spec.ContainerID, s.name),
		}
		conn.attempts[a.id] = a
		s.inFlight[a] = true
		c.duplicateRun.checkRanOnce(a, c.now.at, func(earlier *attempt) bool { return earlier.id == a.id })
	}
}
