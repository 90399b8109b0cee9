package platformcheck

import (
	"slices"
	"strconv"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
)

// machineConn is a connection of the process to a machine.
type machineConn struct {
	machine *machine
	conn    *simnet.PeerConn
	lines   lineReader
	open    bool
	offers  []*offer // that are out on it
}

// Connected implements simnet.PeerHandler. What the process may not have heard of is written again.
func (c *machineConn) Connected(conn *simnet.PeerConn) {
	c.conn, c.open = conn, true
	m := c.machine
	m.conns = append(m.conns, c)
	for _, r := range m.unreadEnds {
		c.writeMarked(r.line, func() { m.removeUnreadEnd(r) })
	}
}

// Received implements simnet.PeerHandler.
func (c *machineConn) Received(_ *simnet.PeerConn, chunk simnet.Chunk) {
	c.machine.whenReachable(func() { c.lines.feed(chunk, c.handle) })
}

// Ended implements simnet.PeerHandler: what is out on the connection is given up.
func (c *machineConn) Ended(conn *simnet.PeerConn, _ error) {
	conn.Close()
	endedAt := c.machine.w.now()
	c.machine.whenReachable(func() { c.closeAt(endedAt) })
}

// reset ends the connection from the machine's side.
func (c *machineConn) reset() {
	c.close()
	c.conn.Reset()
}

func (c *machineConn) close() { c.closeAt(c.machine.w.now()) }

// closeAt takes in that the connection ended at some time: what is out on it is over since then.
func (c *machineConn) closeAt(moment time.Duration) {
	c.open = false
	c.machine.conns = slices.DeleteFunc(c.machine.conns, func(other *machineConn) bool { return other == c })
	for _, o := range c.offers {
		o.finishAt(moment)
		if !o.acceptRead {
			o.release(moment)
		}
	}
}

// finish notes that an offer is no longer out.
func (o *offer) finish() { o.finishAt(o.machine.w.now()) }

// finishAt notes that an offer is not out since a time. What a machine that was cut off hears late has happened before.
func (o *offer) finishAt(moment time.Duration) {
	if o.finishedAt == 0 || moment < o.finishedAt {
		o.finishedAt = moment
	}
}

func (c *machineConn) write(line string) { c.writeMarked(line, nil) }

func (c *machineConn) writeMarked(line string, onRead func()) {
	c.machine.w.tracef("%s says %s", c.machine.id, line)
	c.machine.whenReachable(func() {
		if c.open {
			c.conn.Write([]byte(line), onRead)
		}
	})
}

// handle takes in a line of the process.
func (c *machineConn) handle(line receivedLine) {
	w := c.machine.w
	w.tracef("%s hears %s", c.machine.id, line.text)
	msg, err := line.decode()
	if err != nil {
		w.checker.report(ruleProcess, "a line to %s is garbled: %s", c.machine.id, line.text)
		return
	}
	switch msg.Op {
	case jsonlines.OpOffer:
		c.machine.recordSend(line)
		c.handleOffer(msg, line)
	case jsonlines.OpEnd:
		c.handleEnd(msg, line)
	case jsonlines.OpTest:
		c.machine.recordSend(line)
		c.write(testedLine(msg.RequestID))
	default: // means nothing to a machine
	}
}

func (c *machineConn) handleOffer(msg *jsonlines.Message, line receivedLine) {
	m := c.machine
	r := m.w.checker.requests[msg.RequestID]
	if r == nil || r.onlyClaimed || r.key != msg.Fields["key"] || r.class.name != msg.Fields["class"] ||
		string(msg.Description) != requestDescription {
		m.w.checker.report(ruleProcess, "%s is offered what nobody asked for: %s", m.id, line.text)
		return
	}
	left, err := strconv.Atoi(msg.Fields["left"])
	if err != nil {
		m.w.checker.report(ruleProcess, "%s is offered what it cannot read: %v", m.id, err)
		return
	}
	o := &offer{
		request: r, machine: m, conn: c, remainingMillis: left, incarnation: m.w.incarnations,
		writtenAt: line.first.WrittenAt, iteration: line.first.Iteration, mayBeDelayed: line.mayBeDelayed(),
	}
	m.w.checker.recordOffer(o)
	if !c.open {
		o.finish()
		return
	}
	c.offers = append(c.offers, o)
	m.nextResponse().play(c, o)
}

// handleEnd takes in that an offer is called off, or that a container is to end.
func (c *machineConn) handleEnd(msg *jsonlines.Message, line receivedLine) {
	for _, o := range c.offers {
		if o.request.id == msg.RequestID {
			o.finishAt(line.first.WrittenAt)
			o.releaseBy(line)
		}
	}
	m := c.machine
	if p := m.running(msg.RequestID); p != nil {
		p.offer.releaseBy(line)
		m.finish(p, jsonlines.CauseCancelled)
	}
}
