package audit

import (
	"fmt"

	"glenport/internal/protocol"
	"glenport/scheduler"
)

// schedulerState is the state of one incarnation of a scheduler, reconstructed from the frames.
type schedulerState struct {
	name     string
	requests map[string]*request // by container
	machines map[string]*listedMachine
	inFlight map[*attempt]bool // attempts without an outcome, and those whose container runs
	lookups  map[string]bool   // containers for which the reply to a lookup or a cancel by key is due
}

// request is a container that a client submitted to a scheduler.
type request struct {
	container    string
	spec         protocol.ContainerSpec
	connectionID uint32 // the client's connection
	submittedAt  scheduler.Time
	deadline     scheduler.Time
	attempts     []*attempt

	replies   int
	verdict   protocol.Verdict
	repliedAt scheduler.Time
	abandoned bool // its connection or scheduler ended: no reply is due

	terminated        bool // the client was notified that the container ended
	unansweredCancels int  // cancels by key without an answer yet
}

// attempt is one offer of a container to a machine, or a running container in a machine's inventory.
type attempt struct {
	id       uint64
	machine  string
	spec     protocol.ContainerSpec
	sent     entryTime
	timeout  scheduler.Time
	ran      bool      // the container is known to have run
	ended    bool      // the attempt has an outcome, or its connection closed
	endedAt  entryTime // if it ended
	neverRan bool      // the machine rejected it
	text     string    // description, used as evidence of violations
}

// markEnded records that the attempt has an outcome or, as its connection closed, will never have one.
func (a *attempt) markEnded(endedAt entryTime) { a.ended, a.endedAt = true, endedAt }

// deadline returns when the attempt times out, by its recorded time.
func (a *attempt) deadline() scheduler.Time { return a.sent.at + a.timeout }

// connection is a connection between a scheduler and a client, a machine or the machine list.
type connection struct {
	peer     protocol.Role
	name     string              // name of the peer
	attempts map[uint64]*attempt // attempts without an outcome, by id
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

// handleOffer records an offer and checks the rules on offers.
func (c *checker) handleOffer(s *schedulerState, conn *connection, f *protocol.Offer) {
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
	r := c.checkRequestOpen(s, a)
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

// handleAccept handles a machine's accept. It is counted only if it reports that the container runs.
func (c *checker) handleAccept(s *schedulerState, conn *connection, f *protocol.Accept) {
	if a := conn.attempts[f.AttemptID]; a != nil && f.Running {
		c.report.Accepted++
		c.markRunning(s, a)
	}
}

// markRunning records that the container of an attempt runs.
func (c *checker) markRunning(s *schedulerState, a *attempt) {
	if a.ran {
		return
	}
	a.ran = true
	s.inFlight[a] = true
	c.duplicateRun.checkAtMostOnce(a, c.now.at, func(earlier *attempt) bool { return earlier == a })
}

// handleResult records the outcome of an attempt.
func (c *checker) handleResult(s *schedulerState, conn *connection, f *protocol.Result) {
	a := conn.attempts[f.AttemptID]
	if a == nil {
		return
	}
	delete(conn.attempts, f.AttemptID)
	delete(s.inFlight, a)
	a.markEnded(c.now)
	a.neverRan = f.Outcome == protocol.OutcomeFull && !a.ran
	if f.Outcome == protocol.OutcomeFinished {
		c.markRunning(s, a)
		delete(s.inFlight, a)
	}
}

// handleInventory records the containers that a machine runs for a scheduler, those of earlier incarnations included.
func (c *checker) handleInventory(s *schedulerState, conn *connection, f *protocol.Inventory) {
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
		c.duplicateRun.checkAtMostOnce(a, c.now.at, func(earlier *attempt) bool { return earlier.id == a.id })
	}
}
