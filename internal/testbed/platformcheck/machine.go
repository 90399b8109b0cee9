package platformcheck

import (
	"fmt"
	"slices"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
)

// Healths of a machine, as the discovery service writes them.
const (
	healthReady    = "ready"
	healthDraining = "draining"
	healthGone     = "gone"
)

// machine is one machine at an address.
type machine struct {
	w        *World
	id       string
	number   int // of the address
	endpoint *simnet.Endpoint

	state              string
	startMillis        int64
	stateVersion       int           // the number of the last change of the state
	unavailableKnownAt time.Duration // when the process was told that it takes nothing new; 0: it does
	unreliable         bool          // there was cause to hold what it runs for lost

	firstReadAt      time.Duration // when the process has first read of it; 0: it has not
	startedAt        time.Duration
	startReadAt      time.Duration   // when the process has read of its start; 0: it has not, or that is long ago
	sends            []time.Duration // offers and probes to it
	falseClaimReadBy int             // the last incarnation of the process that has read a made-up claim to the machine
	uncertainUntil   time.Duration   // what was sent to it before may be lost to the process
	partitioned      bool            // it is silent; what comes and goes waits
	deferred         []func()        // until it is no longer
	conns            []*machineConn
	responses        []response // to the next offers
	containers       []*placement
	unreadEnds       []endNotice // to be written on the next connection, until one process has read them there

	stoppedPlacements []*placement // by its stop
}

func (w *World) newMachine(id string, number int) *machine {
	m := &machine{w: w, id: id, number: number, state: healthReady, endpoint: &simnet.Endpoint{}}
	m.endpoint.Accept = func() simnet.PeerHandler { return &machineConn{machine: m} }
	w.network.Listen(machineAddr(number), m.endpoint)
	return m
}

// listEntry is the machine in an event of the discovery service.
func (m *machine) listEntry() string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":%q,"block":%d,"health":%q,"share":1,"born_ms":%d,`+
		`"free":[20,50]}`, m.id, machineAddr(m.number), zoneNames[m.zone()], machineType, m.rackGroup(), m.state,
		m.startMillis)
}

// rackGroup and zone are where the machine is: two addresses make a rack group, and the rack groups take turns in the
// zones.
func (m *machine) rackGroup() int { return m.number / machinesPerRackGroup }

func (m *machine) zone() int { return m.rackGroup() % len(zoneNames) }

// whenReachable does something now, or once the machine is no longer cut off.
func (m *machine) whenReachable(do func()) {
	if m.partitioned {
		m.deferred = append(m.deferred, do)
		return
	}
	do()
}

// partition makes the machine silent for a time.
func (m *machine) partition(span time.Duration) {
	if m.partitioned {
		return
	}
	m.partitioned, m.endpoint.Silent, m.unreliable = true, true, true
	m.extendUncertainty(m.w.now() + span)
	m.w.network.After(span, m.restore)
}

// restore ends a cut, and all that keeps connections from coming up.
func (m *machine) restore() {
	m.partitioned, m.endpoint.Silent, m.endpoint.Refuse, m.endpoint.Delay = false, false, m.state == healthGone, 0
	deferred := m.deferred
	m.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// refuse has connections refused for a time.
func (m *machine) refuse(span time.Duration) {
	m.endpoint.Refuse, m.unreliable = true, true
	m.extendUncertainty(m.w.now() + span)
	m.w.network.After(span, func() { m.endpoint.Refuse = m.state == healthGone })
}

// stop ends the machine's process: connections are reset, and what runs is cut.
func (m *machine) stop() {
	m.restore() // what it was sent before counts
	m.unreliable = true
	for _, p := range m.containers {
		p.endedAt = m.w.now()
		p.offer.release(p.endedAt)
		p.endNotOwed = p.knownBy != m.w.incarnations || m.w.kernel.OpenDescriptors() == 0 || p.claimMayBeDropped()
		m.stoppedPlacements = append(m.stoppedPlacements, p)
	}
	for _, r := range m.unreadEnds {
		r.placement.endNotOwed = true
	}
	m.containers, m.unreadEnds, m.deferred, m.responses = nil, nil, nil, nil
	for _, conn := range slices.Clone(m.conns) {
		conn.reset()
	}
}

// nextResponse takes the response to the next offer.
func (m *machine) nextResponse() response {
	if len(m.responses) == 0 {
		return respondAccept
	}
	next := m.responses[0]
	m.responses = m.responses[1:]
	return next
}

// start has a container run, for as long as its call says. The end of an earlier one of the same call is repeated no
// more: the process would take it for that of this one.
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
	m.w.network.After(lifetime, func() { m.finish(p, jsonlines.CauseNormal) })
	return p
}

// finish ends a container that runs, and releases it.
func (m *machine) finish(p *placement, cause int) {
	if !p.runs() || !slices.Contains(m.containers, p) {
		return
	}
	p.endedAt = m.w.now()
	p.offer.release(p.endedAt)
	m.containers = slices.DeleteFunc(m.containers, func(other *placement) bool { return other == p })
	end := endLine(p.request.id, cause)
	line := m.w.fault.releaseLine(end)
	m.reportEnd(endNotice{p, line})
	if born := m.startedAt; m.w.fault.fault == DelayedEnd && line != end {
		m.w.network.After(endDelay, func() {
			if m.startedAt == born && m.state != healthGone {
				m.reportEnd(endNotice{p, end})
			}
		})
	}
}

// reportEnd writes a release now, and on the next connection.
func (m *machine) reportEnd(r endNotice) {
	m.unreadEnds = append(m.unreadEnds, r)
	m.whenReachable(func() { m.writeEnd(r.placement, r.line) })
}

// endNotice is the line by which a machine says that a container has ended.
type endNotice struct {
	placement *placement
	line      string
}

// removeUnreadEnd notes that a process has read a release on the connection that it opened next.
func (m *machine) removeUnreadEnd(r endNotice) {
	r.placement.recordEndRead()
	m.unreadEnds = slices.DeleteFunc(m.unreadEnds, func(other endNotice) bool { return other == r })
}

// writeEnd writes the end of a container on the connection of its offer, or else on any.
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

// running returns the container of a call that runs here.
func (m *machine) running(call string) *placement {
	for _, p := range m.containers {
		if p.request.id == call {
			return p
		}
	}
	return nil
}
