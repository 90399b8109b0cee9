package platformcheck

import (
	"fmt"
	"slices"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
)

// States of a machine, by the names that the discovery service uses.
const (
	healthReady    = "ready"
	healthDraining = "draining"
	healthGone     = "gone"
)

// machine is a machine of the cluster.
type machine struct {
	w        *World
	id       string
	number   int // determines the address
	endpoint *simnet.Endpoint

	state              string
	startMillis        int64
	stateVersion       int           // increases with each change of the state
	unavailableKnownAt time.Duration // when the process learned that the machine takes no offers; 0: not yet
	unreliable         bool          // the process had cause to consider its containers lost

	firstReadAt      time.Duration // when the process first read of it; 0: not yet
	startedAt        time.Duration
	startReadAt      time.Duration   // when the process read its last start; 0: not yet, or it started before the run
	sends            []time.Duration // times of offers and probes to it
	falseClaimReadBy int             // last incarnation of the process that has read a false claim for the machine
	uncertainUntil   time.Duration   // the process may consider offers lost that it sent before this time
	reachableAgainAt time.Duration   // when the last fault ended that kept the process from connecting to it
	partitioned      bool            // it is cut off; what it sends and receives is deferred
	deferredCalls    []func()        // called when the partition ends
	conns            []*machineConn
	resetsNext       bool       // it resets the connection on which the next data arrives, and does not read the data
	responses        []response // to its next offers
	containers       []*placement
	unreadEnds       []endNotice // repeated on each new connection, until the process has read them there

	stoppedPlacements []*placement // containers that ended when the machine was stopped
}

func (w *World) newMachine(id string, number int) *machine {
	m := &machine{w: w, id: id, number: number, state: healthReady, endpoint: &simnet.Endpoint{}}
	m.endpoint.Accept = func() simnet.PeerHandler { return &machineConn{machine: m} }
	w.network.Listen(machineAddr(number), m.endpoint)
	return m
}

// listEntry returns the entry of the machine in an event of the discovery service.
func (m *machine) listEntry() string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":%q,"block":%d,"health":%q,"share":1,"born_ms":%d,`+
		`"free":[20,50]}`, m.id, machineAddr(m.number), zoneNames[m.zone()], machineType, m.rackGroup(), m.state,
		m.startMillis)
}

// rackGroup returns the rack group of the machine. Machines with consecutive addresses share a rack group.
func (m *machine) rackGroup() int { return m.number / machinesPerRackGroup }

// zone returns the index of the machine's zone. The rack groups alternate between the zones.
func (m *machine) zone() int { return m.rackGroup() % len(zoneNames) }

// whenReachable calls a function now, or when the partition of the machine ends.
func (m *machine) whenReachable(do func()) {
	if m.partitioned {
		m.deferredCalls = append(m.deferredCalls, do)
		return
	}
	do()
}

// partition cuts the machine off from the network for a time.
func (m *machine) partition(span time.Duration) {
	if m.partitioned {
		return
	}
	m.partitioned, m.endpoint.Silent, m.unreliable = true, true, true
	m.extendUncertainty(m.w.now() + span)
	m.w.network.After(span, m.restore)
}

// restore ends a partition, and refused or delayed connections.
func (m *machine) restore() {
	m.partitioned, m.endpoint.Silent, m.endpoint.Refuse, m.endpoint.Delay = false, false, m.state == healthGone, 0
	m.reachableAgainAt = m.w.now()
	deferred := m.deferredCalls
	m.deferredCalls = nil
	for _, do := range deferred {
		do()
	}
}

// refuse makes the machine refuse connections for a time.
func (m *machine) refuse(span time.Duration) {
	m.endpoint.Refuse, m.unreliable = true, true
	m.extendUncertainty(m.w.now() + span)
	m.w.network.After(span, func() { m.endpoint.Refuse, m.reachableAgainAt = m.state == healthGone, m.w.now() })
}

// stop stops the machine. Its connections are reset and its containers end without a report.
func (m *machine) stop() {
	m.restore() // handle the lines that arrived before the stop
	m.unreliable = true
	for _, p := range m.containers {
		p.endedAt = m.w.now()
		p.offer.release(p.endedAt)
		p.endReportExcused = p.knownBy != m.w.incarnations || m.w.kernel.OpenDescriptors() == 0 || p.claimMayBeDropped()
		m.stoppedPlacements = append(m.stoppedPlacements, p)
	}
	for _, r := range m.unreadEnds {
		r.placement.endReportExcused = true
	}
	m.containers, m.unreadEnds, m.deferredCalls, m.responses, m.resetsNext = nil, nil, nil, nil, false
	for _, conn := range slices.Clone(m.conns) {
		conn.reset()
	}
}

// nextResponse removes and returns the response to the next offer.
func (m *machine) nextResponse() response {
	if len(m.responses) == 0 {
		return respondAccept
	}
	next := m.responses[0]
	m.responses = m.responses[1:]
	return next
}

// start starts the container of an offer. Its run time depends on the request. The end of an earlier container of the
// same request is not repeated any more, because the process would take it for the end of this one.
func (m *machine) start(o *offer, conn *machineConn) *placement {
	p := &placement{
		request: o.request, offer: o, machine: m, conn: conn,
		description: fmt.Sprintf("%s on %s, %d", o.request.id, m.id, len(o.request.placements)),
	}
	o.placement = p
	m.unreadEnds = slices.DeleteFunc(m.unreadEnds, func(r endNotice) bool { return r.placement.request == o.request })
	o.request.placements = append(o.request.placements, p)
	m.containers = append(m.containers, p)
	lifetime := time.Duration(50+o.request.lifetimeMillis()) * time.Millisecond
	m.w.network.After(lifetime, func() { m.finishUnlessTerminated(p) })
	return p
}

// finishUnlessTerminated ends a container that has run for its time. A container whose end the process has to order
// runs on until the machine reads the order, so that a lost order shows.
func (m *machine) finishUnlessTerminated(p *placement) {
	if p.terminationIncarnation == 0 {
		m.finish(p, jsonlines.CauseNormal)
	}
}

// finish ends a running container and reports the end.
func (m *machine) finish(p *placement, cause int) {
	if !p.runs() || !slices.Contains(m.containers, p) {
		return
	}
	p.endedAt = m.w.now()
	p.offer.release(p.endedAt)
	m.containers = slices.DeleteFunc(m.containers, func(other *placement) bool { return other == p })
	end := endLine(p.request.id, cause)
	line := m.w.fault.containerEndLine(end)
	m.reportEnd(endNotice{p, line})
	if startedAt := m.startedAt; m.w.fault.fault == DelayedEnd && line != end {
		m.w.network.After(endDelay, func() {
			if m.startedAt == startedAt && m.state != healthGone {
				m.reportEnd(endNotice{p, end})
			}
		})
	}
}

// reportEnd writes the end of a container now, and again on each new connection until the process has read it there.
func (m *machine) reportEnd(r endNotice) {
	m.unreadEnds = append(m.unreadEnds, r)
	m.whenReachable(func() { m.writeEnd(r.placement, r.line) })
}

// endNotice is a line by which a machine reports the end of a container.
type endNotice struct {
	placement *placement
	line      string
}

// removeUnreadEnd records that the process has read a repeated end on a new connection.
func (m *machine) removeUnreadEnd(r endNotice) {
	r.placement.recordEndRead()
	m.unreadEnds = slices.DeleteFunc(m.unreadEnds, func(other endNotice) bool { return other == r })
}

// writeEnd writes the end of a container on the connection of its offer. If that connection is closed, it uses another
// one.
func (m *machine) writeEnd(p *placement, line string) {
	conn := p.conn
	if conn == nil || !conn.open {
		if len(m.conns) == 0 {
			return
		}
		conn = m.conns[0]
	}
	conn.writeMarked(line, p.recordEndRead)
}

// running returns the running container of a request, or nil.
func (m *machine) running(id string) *placement {
	for _, p := range m.containers {
		if p.request.id == id {
			return p
		}
	}
	return nil
}
