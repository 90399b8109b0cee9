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
	maxClients         = 16 // well-behaved clients that are connected at the same time
	requestDescription = `"v=0\r\n"`
	reconnectDelay     = 30 * time.Millisecond
	servicesPerClass   = 3
)

// client is a client of the process. It has one connection.
type client struct {
	w             *World
	conn          *simnet.PeerConn
	established   bool
	persistent    bool          // reconnects when its connection ends
	servedAt      time.Duration // when it first received a line
	falseClaimer  bool          // makes false claims and acknowledges nothing
	misbehaved    bool          // sends invalid input, false claims or nothing; the rules do not cover it
	unreadUntil   time.Duration // latest time until which it leaves its input unread
	onEstablished []func()      // called once the connection is established
	lines         lineReader
	requests      []*request // all requests that it submitted
}

// connect connects a new client.
func (w *World) connect() *client {
	c := &client{w: w}
	c.conn = w.network.Dial(processAddr, c)
	w.clients = append(w.clients, c)
	return c
}

// connectPersistent connects a persistent client, which claims all running containers.
func (w *World) connectPersistent() {
	c := w.connect()
	c.persistent = true
	c.whenEstablished(func() { c.write(testLine(w.newRequestID())) })
	c.claimAll()
}

// claimAll claims all containers that clients believe to run.
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
	c.w.tracef("client sends %s", line)
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
	for _, r := range c.requests {
		if !c.misbehaved {
			c.w.checker.recordConnectionEnd(r, c.w.transitLimit())
		}
	}
	if c.persistent && !c.w.runEnded {
		c.w.network.After(reconnectDelay, c.w.connectPersistent)
	}
}

// remove removes the client from the connected ones.
func (c *client) remove() {
	c.w.clients = slices.DeleteFunc(c.w.clients, func(other *client) bool { return other == c })
}

// leaveUnread makes the client read nothing for a time.
func (c *client) leaveUnread(span time.Duration) {
	c.unreadUntil = max(c.unreadUntil, c.w.now()+span)
	c.w.unreadUntil = max(c.w.unreadUntil, c.unreadUntil)
	c.conn.PauseReading(span)
}

// disconnect ends the connection from the client's side. This cancels the open requests.
func (c *client) disconnect(end func(*simnet.PeerConn)) {
	end(c.conn)
	c.remove()
	for _, r := range c.requests {
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

// handle handles a line from the process.
func (c *client) handle(line receivedLine) {
	c.w.tracef("client receives %s", line.text)
	if c.servedAt == 0 {
		c.servedAt = c.w.now()
	}
	msg, err := line.decode()
	if err != nil {
		c.w.checker.report(ruleAnswer, "a line to a client is malformed: %s", line.text)
		return
	}
	if c.falseClaimer || msg.Op == jsonlines.OpTested {
		return
	}
	r := c.w.checker.requests[msg.RequestID]
	switch {
	case r == nil && !c.misbehaved:
		c.w.checker.report(ruleAnswer, "a client got a message about an unknown request: %s", line.text)
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
		c.w.checker.report(ruleAnswer, "a client got a message that no client should get: %s", line.text)
	}
}

func (c *client) handleAccept(r *request, msg *jsonlines.Message, line receivedLine) {
	if c.misbehaved && r.client == c {
		return
	}
	c.w.checker.recordAnswer(r, accepted, line)
	var description string
	if err := json.Unmarshal(msg.Description, &description); err != nil {
		c.w.checker.report(ruleAnswer, "the description in the accept of request %s is not a string: %v", r.id, err)
	}
	for _, p := range r.placements {
		if p.description == description {
			r.placement, p.acceptDelivered, p.knownBy = p, true, c.w.incarnations
			p.cancelled = p.cancelled || r.cancelled
			// If the client reads the accept after its connection was closed, other clients may have sent their claims
			// without this container.
			p.endReportExcused = p.endReportExcused || c.conn.ClosedAt() > 0
			return
		}
	}
	c.w.checker.report(ruleAnswer, "no machine sent the accept of request %s: %s", r.id, line.text)
}

// handleContainerEnd handles the report that a placed container has ended.
func (c *client) handleContainerEnd(r *request) {
	p := r.placement
	if p.runs() && !p.machine.unreliable && !p.cancelled {
		c.w.checker.report(ruleEndReport, "container %s is reported to have ended, but runs on %s", r.id, p.machine.id)
	}
	p.endReported = true
	c.write(endedLine(r.id))
}

func (c *client) handleEnd(r *request, msg *jsonlines.Message, line receivedLine) {
	if r.client != c || c.misbehaved {
		return // the end of a container that another client claimed
	}
	switch msg.CauseOrNone() {
	case jsonlines.CauseNoCapacity, jsonlines.CauseNotSent:
		c.w.checker.recordAnswer(r, rejected, line)
	default:
		c.w.checker.recordAnswer(r, failed, line)
	}
}

// submit sends a request with a deadline.
func (c *client) submit(choice uint32, left time.Duration) {
	w := c.w
	class := choice % uint32(len(workloadClasses))
	r := &request{
		id: w.newRequestID(), client: c, class: workloadClasses[class], spread: w.params.spread[class],
		memory: smallMemory, service: fmt.Sprintf("s%d-%d", class, choice>>4%servicesPerClass),
	}
	r.key = "k" + r.id
	r.line = r.encode(left, "")
	c.requests = append(c.requests, r)
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

// encode returns the line of the request, with more text appended to its extras.
func (r *request) encode(left time.Duration, more string) string {
	idempotency := ""
	if r.class.effect == effectKeyed {
		idempotency = fmt.Sprintf(`"idem":"i%s",`, r.id)
	}
	return fmt.Sprintf(`{"op":"offer","call":%q,"with":{"class":%q,"left":"%d","tenant":"offices","key":%q,%s`+
		`"extras":"cores:1;memory:%d;service:%s%s"},"desc":%s}`+"\n",
		r.id, r.class.name, left.Milliseconds(), r.key, idempotency, r.memory, r.service, more, requestDescription)
}

// lifetimeMillis returns the part of the container's run time, from 0 to 2949 ms, that the request's ID determines.
func (r *request) lifetimeMillis() int64 {
	var sum int64
	for _, digit := range []byte(r.id) {
		sum = (sum*31 + int64(digit)) % 2950
	}
	return sum
}

// claim claims that the container of a request runs on a machine.
func (c *client) claim(r *request, at string, onRead func()) {
	c.whenEstablished(func() { c.writeMarked(r.encode(0, ";at:"+at), onRead) })
}

// cancelOldest cancels the client's oldest open request.
func (c *client) cancelOldest() {
	for _, r := range c.requests {
		if !r.awaitsAnswer() || r.sentAt == 0 {
			continue
		}
		r.cancelled = true
		c.writeMarked(endLine(r.id, jsonlines.CauseNormal), func() { r.cancelIteration = c.w.kernel.Iteration() })
		return
	}
}
