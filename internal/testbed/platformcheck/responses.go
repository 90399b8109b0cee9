package platformcheck

import (
	"time"

	"glenport/internal/platform/jsonlines"
)

// response is how a machine responds to an offer.
type response uint8

const (
	respondAccept response = iota
	respondFull
	respondError
	respondTemporaryFailure
	respondNotSent
	respondNothing
	respondLate
	respondTwice
	respondGarbled
	respondAcceptAndEnd
	respondAcceptAndClose
	respondReset
	respondOtherFirst
	respondEvicted
	respondEvictsLater
	responseCount
)

func (r response) String() string {
	return [...]string{
		"accept", "full", "error", "broken", "not sent", "nothing", "late accept", "accept twice", "garbled",
		"accept and end", "accept and close", "reset", "accept of another ahead", "evicted before the accept",
		"accept and evict",
	}[r]
}

const (
	serviceTime       = 3 * time.Millisecond
	lateResponseDelay = 900 * time.Millisecond
	evictionDelay     = 80 * time.Millisecond

	unknownRequestID = "ffffffffffffffff"
)

// play responds to an offer after the service time of the machine.
func (r response) play(c *machineConn, o *offer) {
	after := serviceTime
	switch r {
	case respondNothing:
		return
	case respondReset:
		after = 0
	case respondLate:
		after = lateResponseDelay
	default: // answered after serviceTime
	}
	c.machine.w.network.After(after, func() {
		if o.finishedAt == 0 && c.open {
			r.answer(c, o)
		}
	})
}

// answer writes the answer to an offer that is still in flight.
func (r response) answer(c *machineConn, o *offer) {
	id := o.request.id
	switch r {
	case respondFull:
		c.reject(o, endLineWithNote(id, jsonlines.CauseNoCapacity, "cpu_full"))
	case respondNotSent:
		c.reject(o, endLine(id, jsonlines.CauseNotSent))
	case respondError:
		c.fail(o, endLine(id, jsonlines.CauseError))
	case respondTemporaryFailure:
		c.fail(o, endLine(id, jsonlines.CauseTemporaryFailure))
	case respondEvicted:
		c.fail(o, endLineWithNote(id, jsonlines.CauseTemporaryFailure, "oom"))
	case respondReset:
		c.reset()
	case respondGarbled:
		c.fail(o, `{"op":"accept","call":"`+"\n")
		c.garbled = true
	case respondOtherFirst:
		c.write(acceptLine(unknownRequestID, "another"))
		c.accept(o)
	default:
		c.acceptAnd(o, r)
	}
}

// reject rejects an offer. The line reports that its container never ran.
func (c *machineConn) reject(o *offer, line string) {
	o.finish()
	o.rejected = true
	o.release(o.finishedAt)
	c.writeMarked(line, func() { o.rejectionRead = true })
}

// fail reports that an offer failed. Its container may have run.
func (c *machineConn) fail(o *offer, line string) {
	o.finish()
	o.release(o.finishedAt)
	c.write(line)
}

// accept starts the container of an offer and accepts the offer.
func (c *machineConn) accept(o *offer) *placement {
	o.finish()
	p := c.machine.start(o, c)
	c.writeMarked(acceptLine(o.request.id, p.description), func() { o.acceptRead = true })
	return p
}

// acceptAnd accepts an offer and takes the further steps of the response, such as ending the container.
func (c *machineConn) acceptAnd(o *offer, r response) {
	p := c.accept(o)
	m := c.machine
	switch r {
	case respondTwice:
		c.write(acceptLine(o.request.id, p.description))
	case respondAcceptAndEnd:
		m.finish(p, jsonlines.CauseNormal)
	case respondAcceptAndClose:
		c.close()
		c.conn.Close()
	case respondEvictsLater:
		m.w.network.After(evictionDelay, func() { m.finish(p, jsonlines.CauseTemporaryFailure) })
	default: // only the accept
	}
}
