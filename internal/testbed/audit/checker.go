package audit

import (
	"fmt"
	"maps"
	"slices"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// checker goes through a recording and keeps the state that its frames add up to. The rules that need more than that
// keep it themselves.
type checker struct {
	report *reporter
	header faultproxy.Header
	now    moment

	schedulers  map[string]*schedulerState // by name, the incarnation that is up
	locations   machineLocations
	connections map[uint32]*connection // by their number in the recording

	slowStart    *slowStartRule
	duplicateRun *duplicateRunRule
}

func newChecker() *checker {
	c := &checker{
		report:      &reporter{violations: map[Rule]int{}, widened: map[int]bool{}},
		schedulers:  map[string]*schedulerState{},
		locations:   machineLocations{},
		connections: map[uint32]*connection{},
	}
	c.slowStart = newSlowStartRule(c.report, &c.header)
	c.duplicateRun = newDuplicateRunRule(c.report, &c.header, c.locations)
	return c
}

// workloadClass is false for a class that the recording's terms do not have.
func workloadClass(header *faultproxy.Header, index int) (scheduler.WorkloadClass, bool) {
	if classes := header.Config.WorkloadClasses; index < len(classes) {
		return classes[index], true
	}
	return scheduler.WorkloadClass{}, false
}

// process takes the next entry of the recording.
func (c *checker) process(e *faultproxy.Entry) error {
	c.now = newMoment(c.now.entry+1, e)
	c.report.LargestLag = max(c.report.LargestLag, milliseconds(c.now.lag))
	switch e.Kind {
	case faultproxy.Opened:
		c.connections[e.ConnID] = &connection{peer: e.Peer, name: e.PeerName, attempts: map[uint64]*attempt{}}
	case faultproxy.Closed:
		c.connectionClosed(e)
	case faultproxy.Killed:
		c.schedulerKilled(e.Scheduler)
	case faultproxy.Started, faultproxy.Lost:
	default:
		return c.processFrame(e)
	}
	return nil
}

func (c *checker) processFrame(e *faultproxy.Entry) error {
	c.report.Frames++
	frame, err := e.Decoded()
	if err != nil {
		return fmt.Errorf("at %d: %w", e.At, err)
	}
	conn := c.connections[e.ConnID]
	if conn == nil {
		return fmt.Errorf("at %d: a frame on connection %d, which was never opened", e.At, e.ConnID)
	}
	s := c.scheduler(e.Scheduler)
	switch f := frame.(type) {
	case *protocol.Submit:
		c.submitted(s, e.ConnID, f)
	case *protocol.CancelContainer:
		s.cancelled(f)
	case *protocol.Termination:
		s.terminated(f)
	case *protocol.Lookup:
		s.lookups[f.ContainerID] = true
	case *protocol.PlacementReply:
		c.replied(s, f)
	case *protocol.Offer:
		c.offered(s, conn, f)
	case *protocol.Probe:
		c.slowStart.checkSend(s, conn.name, c.now)
	case *protocol.Accept:
		c.accepted(s, conn, f)
	case *protocol.Result:
		c.ended(s, conn, f)
	case *protocol.MachineListUpdate:
		c.listUpdated(s, f)
	case *protocol.Inventory:
		c.inventory(s, conn, f)
	}
	return nil
}

// connectionClosed ends the attempts on a connection. What ran behind it may still run: it counts again when its
// machine says so in the inventory on its next connection.
func (c *checker) connectionClosed(e *faultproxy.Entry) {
	conn := c.connections[e.ConnID]
	if conn == nil {
		return
	}
	delete(c.connections, e.ConnID)
	s := c.scheduler(e.Scheduler)
	for _, a := range conn.attempts {
		a.end(c.now)
		delete(s.inFlight, a)
	}
	if conn.peer == protocol.RoleClient {
		c.abandon(s, func(r *request) bool { return r.connection == e.ConnID })
	}
}

func (c *checker) schedulerKilled(name string) {
	if s := c.schedulers[name]; s != nil {
		c.abandon(s, func(*request) bool { return true })
		delete(c.schedulers, name)
	}
}

// finish checks what was owed at the end of the recording.
func (c *checker) finish() {
	c.duplicateRun.checkOverlaps()
	c.now = moment{at: c.now.at} // the last entry's lag is not that of what is owed still
	for _, name := range slices.Sorted(maps.Keys(c.schedulers)) {
		c.abandon(c.schedulers[name], func(*request) bool { return true })
	}
	c.report.sortViolations()
}
