package audit

import (
	"fmt"
	"maps"
	"slices"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// checker reads a recording entry by entry and reconstructs the state of the schedulers from its frames. Rules that
// need further state keep it themselves.
type checker struct {
	report *reporter
	header faultproxy.Header
	now    entryTime

	schedulers  map[string]*schedulerState // the running incarnation, by name
	locations   machineLocations
	connections map[uint32]*connection // by their number in the recording

	slowStart    *slowStartRule
	duplicateRun *duplicateRunRule
}

func newChecker() *checker {
	c := &checker{
		report:      &reporter{violationCounts: map[Rule]int{}, widenedEntries: map[int]bool{}},
		schedulers:  map[string]*schedulerState{},
		locations:   machineLocations{},
		connections: map[uint32]*connection{},
	}
	c.slowStart = newSlowStartRule(c.report, &c.header)
	c.duplicateRun = newDuplicateRunRule(c.report, &c.header, c.locations)
	return c
}

// workloadClass returns a workload class of the recorded configuration, and false where the configuration has no such
// class.
func workloadClass(header *faultproxy.Header, index int) (scheduler.WorkloadClass, bool) {
	if classes := header.Config.WorkloadClasses; index < len(classes) {
		return classes[index], true
	}
	return scheduler.WorkloadClass{}, false
}

// handleEntry updates the state by the next entry of the recording, and checks the rules on it.
func (c *checker) handleEntry(e *faultproxy.Entry) error {
	c.now = newEntryTime(c.now.entry+1, e)
	c.report.LargestLag = max(c.report.LargestLag, milliseconds(c.now.lag))
	switch e.Kind {
	case faultproxy.Opened:
		c.connections[e.ConnID] = &connection{peer: e.Peer, name: e.PeerName, attempts: map[uint64]*attempt{}}
	case faultproxy.Closed:
		c.handleClose(e)
	case faultproxy.Killed:
		c.handleKill(e.Scheduler)
	case faultproxy.Started, faultproxy.Lost:
	default:
		return c.handleFrame(e)
	}
	return nil
}

func (c *checker) handleFrame(e *faultproxy.Entry) error {
	c.report.Frames++
	frame, err := e.Decoded()
	if err != nil {
		return fmt.Errorf("at %d: %w", e.At, err)
	}
	conn := c.connections[e.ConnID]
	if conn == nil {
		return fmt.Errorf("at %d: frame on connection %d, which was never opened", e.At, e.ConnID)
	}
	s := c.scheduler(e.Scheduler)
	switch f := frame.(type) {
	case *protocol.Submit:
		c.handleSubmit(s, e.ConnID, f)
	case *protocol.CancelContainer:
		s.handleCancel(f)
	case *protocol.Termination:
		s.handleTermination(f)
	case *protocol.Lookup:
		s.lookups[f.ContainerID] = true
	case *protocol.PlacementReply:
		c.handleReply(s, f)
	case *protocol.Offer:
		c.handleOffer(s, conn, f)
	case *protocol.Probe:
		c.slowStart.checkSend(s, conn.name, c.now)
	case *protocol.Accept:
		c.handleAccept(s, conn, f)
	case *protocol.Result:
		c.handleResult(s, conn, f)
	case *protocol.MachineListUpdate:
		c.handleListUpdate(s, f)
	case *protocol.Inventory:
		c.handleInventory(s, conn, f)
	}
	return nil
}

// handleClose ends the attempts on a connection. Their containers may still run: they are counted again when the
// machine lists them in the inventory on its next connection.
func (c *checker) handleClose(e *faultproxy.Entry) {
	conn := c.connections[e.ConnID]
	if conn == nil {
		return
	}
	delete(c.connections, e.ConnID)
	s := c.scheduler(e.Scheduler)
	for _, a := range conn.attempts {
		a.markEnded(c.now)
		delete(s.inFlight, a)
	}
	if conn.peer == protocol.RoleClient {
		c.abandon(s, func(r *request) bool { return r.connectionID == e.ConnID })
	}
}

func (c *checker) handleKill(name string) {
	if s := c.schedulers[name]; s != nil {
		c.abandon(s, func(*request) bool { return true })
		delete(c.schedulers, name)
	}
}

// finish makes the checks that need the whole recording: overlapping attempts, and requests without a reply.
func (c *checker) finish() {
	c.duplicateRun.checkOverlaps()
	c.now = entryTime{at: c.now.at} // the lag of the last entry does not excuse a missing reply
	for _, name := range slices.Sorted(maps.Keys(c.schedulers)) {
		c.abandon(c.schedulers[name], func(*request) bool { return true })
	}
	c.report.sortViolations()
}
