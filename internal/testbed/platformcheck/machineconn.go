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
	deaf    bool     // the machine reads nothing more on it
	garbled bool     // the machine has written a malformed line on it, after which the process reads no line
	offers  []*offer // in flight or finished
}

// Connected implements simnet.PeerHandler. It repeats the ends of containers that the process may not have read.
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
	c.machine.whenReachable(func() {
		if c.machine.resetsNext && c.open {
			c.machine.resetsNext, c.deaf = false, true
			c.reset()
		}
		if c.deaf {
			c.lines.feed(chunk, c.recordUnread)
			return
		}
		c.lines.feed(chunk, c.handle)
	})
}

// recordUnread records a line that the process has written and the machine does not read. If the line cancels an offer,
// the process counts the offer as in flight no longer.
func (c *machineConn) recordUnread(line receivedLine) {
	msg, err := line.decode()
	if err != nil || msg.Op != jsonlines.OpEnd {
		return
	}
	for _, o := range c.offers {
		if o.request.id == msg.RequestID {
			o.finishAt(line.firstChunk.WrittenAt)
		}
	}
}

// Ended implements simnet.PeerHandler. The offers on the connection are finished.
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

// forget makes the machine forget the connection: it reads and writes nothing more on it, and does not end it.
func (c *machineConn) forget() {
	c.close()
	c.deaf = true
}

func (c *machineConn) close() { c.closeAt(c.machine.w.now()) }

// closeAt records that the connection ended at a time. The offers on it are finished from that time.
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

// finish records that the offer is no longer in flight.
func (o *offer) finish() { o.finishAt(o.machine.w.now()) }

// finishAt records the time at which the offer stopped being in flight. A partitioned machine records it late, so an
// earlier time replaces a later one.
func (o *offer) finishAt(moment time.Duration) {
	if o.finishedAt == 0 || moment < o.finishedAt {
		o.finishedAt = moment
	}
}

func (c *machineConn) write(line string) { c.writeMarked(line, nil) }

func (c *machineConn) writeMarked(line string, onRead func()) {
	c.machine.w.tracef("%s sends %s", c.machine.id, line)
	if c.garbled {
		onRead = nil
	}
	c.machine.whenReachable(func() {
		if c.open {
			c.conn.Write([]byte(line), onRead)
		}
	})
}

// handle handles a line from the process.
func (c *machineConn) handle(line receivedLine) {
	w := c.machine.w
	w.tracef("%s receives %s", c.machine.id, line.text)
	msg, err := line.decode()
	if err != nil {
		w.checker.report(ruleProcess, "a line to %s is malformed: %s", c.machine.id, line.text)
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
	default: // ignored by machines
	}
}

func (c *machineConn) handleOffer(msg *jsonlines.Message, line receivedLine) {
	m := c.machine
	r := m.w.checker.requests[msg.RequestID]
	if r == nil || r.onlyClaimed || r.key != msg.Fields["key"] || r.class.name != msg.Fields["class"] ||
		string(msg.Description) != requestDescription {
		m.w.checker.report(ruleProcess, "%s got an offer that matches no request: %s", m.id, line.text)
		return
	}
	left, err := strconv.Atoi(msg.Fields["left"])
	if err != nil {
		m.w.checker.report(ruleProcess, "%s got an offer with an invalid time left: %v", m.id, err)
		return
	}
	o := &offer{
		request: r, machine: m, conn: c, remainingMillis: left, incarnation: m.w.incarnations,
		writtenAt: line.firstChunk.WrittenAt, iteration: line.firstChunk.Iteration, mayBeDelayed: line.mayBeDelayed(),
	}
	m.w.checker.recordOffer(o)
	if !c.open {
		o.finish()
		return
	}
	c.offers = append(c.offers, o)
	m.nextResponse().play(c, o)
}

// handleEnd handles the cancellation of an offer, or the order to end a container.
func (c *machineConn) handleEnd(msg *jsonlines.Message, line receivedLine) {
	for _, o := range c.offers {
		if o.request.id == msg.RequestID {
			o.finishAt(line.firstChunk.WrittenAt)
			o.releaseBy(line)
		}
	}
	m := c.machine
	if p := m.running(msg.RequestID); p != nil && !m.w.fault.losesTermination(p.request) {
		p.offer.releaseBy(line)
		m.finish(p, jsonlines.CauseCancelled)
	}
}
