package platformcheck

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
)

const (
	maxClients         = 16 // of the usual sort, that are connected at once
	requestDescription = `"v=0\r\n"`
	reconnectDelay     = 30 * time.Millisecond
	servicesPerClass   = 3
)

// client is a client with one connection.
type client struct {
	w             *World
	conn          *simnet.PeerConn
	established   bool
	persistent    bool          // it connects again whenever its connection ends
	servedAt      time.Duration // when it first heard of the process
	falseClaimer  bool          // it makes up claims, and confirms nothing
	misbehaved    bool          // nothing is owed to it any more
	unreadEnd     time.Duration // until when it leaves its input unread, at most
	onEstablished []func()      // for the connection
	lines         lineReader
	open          []*request
}

// connect makes a client and connects it.
func (w *World) connect() *client {
	c := &client{w: w}
	c.conn = w.network.Dial(processAddr, c)
	w.clients = append(w.clients, c)
	return c
}

// connectPersistent makes a client that stays as long as the process does.
func (w *World) connectPersistent() {
	c := w.connect()
	c.persistent = true
	c.whenEstablished(func() { c.write(testLine(w.newRequestID())) })
	c.claimAll()
}

// claimAll names all that clients hold for running.
func (c *client) claimAll() {
	for _, p := range c.w.knownPlacements() {
		c.claim(p.request, p.machine.id, p.recordClaimRead)
	}
}

func (c *client) whenEstablished(do func()) {
	if c.established {
		do()
		return
	}
	c.onEstablished = append(c.onEstablished, do)
}

func (c *client) write(line string) { c.writeMarked(line, nil) }

func (c *client) writeMarked(line string, onRead func()) {
	c.w.tracef("client says %s", line)
	c.conn.Write([]byte(line), onRead)
}

// Connected implements simnet.PeerHandler.
func (c *client) Connected(*simnet.PeerConn) {
	c.established = true
	for _, do := range c.onEstablished {
		do()
	}
	c.onEstablished = nil
}

// Received implements simnet.PeerHandler.
func (c *client) Received(_ *simnet.PeerConn, chunk simnet.Chunk) { c.lines.feed(chunk, c.handle) }

// Ended implements simnet.PeerHandler.
func (c *client) Ended(conn *simnet.PeerConn, _ error) {
	conn.Close()
	c.remove()
	for _, r := range c.open {
		if !c.misbehaved {
			c.w.checker.recordConnectionEnd(r, c.w.transitLimit())
		}
	}
	if c.persistent && !c.w.finished {
		c.w.network.After(reconnectDelay, c.w.connectPersistent)
	}
}

// remove forgets the client.
func (c *client) remove() {
	c.w.clients = slices.DeleteFunc(c.w.clients, func(other *client) bool { return other == c })
}

// leaveUnread has the client read nothing for a time.
func (c *client) leaveUnread(span time.Duration) {
	c.unreadEnd = max(c.unreadEnd, c.w.now()+span)
	c.w.unreadEnd = max(c.w.unreadEnd, c.unreadEnd)
	c.conn.PauseReading(span)
}

// disconnect ends the connection by the client; its open requests are taken back with it.
func (c *client) disconnect(end func(*simnet.PeerConn)) {
	end(c.conn)
	c.remove()
	for _, r := range c.open {
		r.excused = true
		if r.placement != nil {
			continue
		}
		r.cancelled = true
	}
	if c.persistent {
		c.persistent = false
		c.w.network.After(reconnectDelay, c.w.connectPersistent)
	}
}

// handle takes in a line of the process.
func (c *client) handle(line receivedLine) {
	c.w.tracef("client hears %s", line.text)
	if c.servedAt == 0 {
		c.servedAt = c.w.now()
	}
	msg, err := line.decode()
	if err != nil {
		c.w.checker.report(ruleAnswer, "a line to a client is garbled: %s", line.text)
		return
	}
	if c.falseClaimer || msg.Op == jsonlines.OpTested {
		return
	}
	r := c.w.checker.requests[msg.RequestID]
	switch {
	case r == nil && !c.misbehaved:
		c.w.checker.report(ruleAnswer, "a client is told of what nobody asked for: %s", line.text)
	case r == nil:
	case r.onlyClaimed, r.endsFalseClaim(msg):
		c.write(endedLine(r.id))
	case msg.Op == jsonlines.OpAccept:
		c.handleAccept(r, msg, line)
	case msg.Op == jsonlines.OpEnd && r.placement != nil:
		c.handleContainerEnd(r)
	case msg.Op == jsonlines.OpEnd:
		c.handleEnd(r, msg, line)
	default:
		c.w.checker.report(ruleAnswer, "a client is sent what is not for it: %s", line.text)
	}
}

func (c *client) handleAccept(r *request, msg *jsonlines.Message, line receivedLine) {
	if c.misbehaved && r.client == c {
		return
	}
	c.w.checker.recordAnswer(r, accepted, line)
	var description string
	if err := json.Unmarshal(msg.Description, &description); err != nil {
		c.w.checker.report(ruleAnswer, "the accept of request %s is no text: %v", r.id, err)
	}
	for _, p := range r.placements {
		if p.description == description {
			r.placement, p.acceptDelivered, p.knownBy = p, true, c.w.incarnations
			p.cancelled = p.cancelled || r.cancelled
			p.endNotOwed = p.endNotOwed || c.conn.ClosedAt() > 0 // read late: others have named what runs by then
			return
		}
	}
	c.w.checker.report(ruleAnswer, "request %s has an accept that no machine made: %s", r.id, line.text)
}

// handleContainerEnd takes in the end of a container that ran.
func (c *client) handleContainerEnd(r *request) {
	p := r.placement
	if p.runs() && !p.machine.unreliable && !p.cancelled {
		c.w.checker.report(ruleEndReport, "container %s is told to have ended, and runs on %s", r.id, p.machine.id)
	}
	p.endReported = true
	c.write(endedLine(r.id))
}

func (c *client) handleEnd(r *request, msg *jsonlines.Message, line receivedLine) {
	if r.client != c || c.misbehaved {
		return // the end of what another client said to run
	}
	switch msg.CauseOrNone() {
	case jsonlines.CauseNoCapacity, jsonlines.CauseNotSent:
		c.w.checker.recordAnswer(r, rejected, line)
	default:
		c.w.checker.recordAnswer(r, failed, line)
	}
}

// submit sends a submit that is to be answered within a time.
func (c *client) submit(choice uint32, left time.Duration) {
	w := c.w
	class := choice % uint32(len(workloadClasses))
	r := &request{
		id: w.newRequestID(), client: c, class: workloadClasses[class], spread: w.params.spread[class], memory: smallMemory,
		service: fmt.Sprintf("s%d-%d", class, choice>>4%servicesPerClass),
	}
	r.key = "k" + r.id
	r.line = r.encode(left, "")
	c.open = append(c.open, r)
	w.requestIDs = append(w.requestIDs, r.id)
	w.checker.requests[r.id] = r
	c.whenEstablished(func() {
		if !c.conn.IsEnded() && !w.clientsQuiet() {
			w.checker.recordRequest(r, left)
			c.writeMarked(r.line, func() { r.readIteration = w.kernel.Iteration() })
		} else {
			r.excused = true
		}
	})
}

// encode is the line of a request; more is added to its extras.
func (r *request) encode(left time.Duration, more string) string {
	idempotency := ""
	if r.class.effect == effectKeyed {
		idempotency = fmt.Sprintf(`"idem":"i%s",`, r.id)
	}
	return fmt.Sprintf(`{"op":"offer","call":%q,"with":{"class":%q,"left":"%d","tenant":"offices","key":%q,%s`+
		`"extras":"cores:1;memory:%d;service:%s%s"},"desc":%s}`+"\n",
		r.id, r.class.name, left.Milliseconds(), r.key, idempotency, r.memory, r.service, more, requestDescription)
}

// lifetimeMillis is how long its container runs, from 0.05 to 3 s.
func (r *request) lifetimeMillis() int64 {
	var sum int64
	for _, digit := range []byte(r.id) {
		sum = (sum*31 + int64(digit)) % 2950
	}
	return sum
}

// claim names a container as running at a machine.
func (c *client) claim(r *request, at string, onRead func()) {
	c.whenEstablished(func() { c.writeMarked(r.encode(0, ";at:"+at), onRead) })
}

// cancelOldest takes the client's oldest open request back.
func (c *client) cancelOldest() {
	for _, r := range c.open {
		if !r.awaitsAnswer() || r.sentAt == 0 {
			continue
		}
		r.cancelled = true
		c.writeMarked(endLine(r.id, jsonlines.CauseNormal), func() { r.cancelIteration = c.w.kernel.Iteration() })
		return
	}
}
