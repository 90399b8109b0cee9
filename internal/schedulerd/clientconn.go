package schedulerd

import (
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// helloTimeout is the time within which a peer has to send its hello.
const helloTimeout = 5 * eventloop.Second

// Reasons that are sent in a Goodbye: they are part of the wire format.
const (
	reasonNoHello      = "no greeting in time"
	reasonPartialFrame = "half a frame"
	reasonGoodbye      = "good bye"
)

// unknownPeer is the name of a peer in log lines until its hello.
const unknownPeer = "unknown"

// clientConn is an accepted connection of a client, or of another scheduler that requests status.
type clientConn struct {
	registry   *clientRegistry
	id         reconcile.ClientID
	state      clientState
	conn       *eventloop.Conn
	reader     protocol.Reader
	name       string
	role       protocol.Role // 0 until the hello
	acceptedAt eventloop.Tick
	partial    partialFrame
}

// Opened implements eventloop.Handler.
func (c *clientConn) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.registry.add(c)
	c.send(c.registry.hello())
}

// Read implements eventloop.Handler.
func (c *clientConn) Read(_ *eventloop.Conn, p []byte) {
	if c.disconnected() {
		return
	}
	if err := c.reader.Feed(p, c.handleFrame); err != nil {
		c.registry.logConnectionClosed(c.name, err)
		c.disconnect(err.Error())
	}
	c.partial.update(c.reader.Buffered(), c.registry.loop.Now())
}

// Closed implements eventloop.Handler.
func (c *clientConn) Closed(*eventloop.Conn, error) {
	c.transition(clientConnClosed)
	c.registry.remove(c)
	if c.role == protocol.RoleClient {
		c.registry.decisions.notifyReconciler(reconcile.ClientDisconnected{Client: c.id})
	}
}

// disconnect sends a Goodbye with a reason and closes the connection.
func (c *clientConn) disconnect(reason string) {
	if c.disconnected() {
		return
	}
	c.send(&protocol.Goodbye{Message: reason})
	if !c.disconnected() { // a failed write has already changed the state
		c.transition(clientGoodbyeSent)
	}
	c.conn.Close()
}

// send sends a frame. It resets the connection of a client that does not read, which bounds the pending output.
func (c *clientConn) send(f protocol.Frame) {
	if c.disconnected() {
		c.registry.stats.countUndelivered()
		return
	}
	encoded, err := c.registry.encode(f)
	if err != nil {
		c.registry.log.Error("frame not sent", "client", c.name, "error", err)
		return
	}
	if err := c.conn.Write(encoded); err != nil {
		c.handleWriteError(err)
	}
}

func (c *clientConn) handleWriteError(err error) {
	c.registry.stats.countUndelivered()
	c.transition(clientWriteFailed)
	c.registry.logConnectionClosed(c.name, fmt.Errorf("%w: %d bytes pending", err, c.conn.PendingOutput()))
	c.conn.Reset()
}

func (c *clientConn) checkTimeouts(now eventloop.Tick) {
	switch {
	case c.role == 0 && now-c.acceptedAt > helloTimeout:
		c.registry.logConnectionClosed(c.name, withDuration(errNoHello, now-c.acceptedAt))
		c.disconnect(reasonNoHello)
	case c.partial.overdue(now, c.registry.config.SilenceTimeout):
		c.registry.logConnectionClosed(c.name, withDuration(errPartialFrame, c.partial.age(now)))
		c.disconnect(reasonPartialFrame)
	}
}

func (c *clientConn) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		return c.handleHello(f)
	case *protocol.Submit:
		c.handleSubmit(f)
	case *protocol.CancelContainer:
		c.registry.decisions.notifyReconciler(reconcile.CancelRequested{
			Client: c.id, ID: scheduler.ContainerID(f.ContainerID), IdempotencyKey: f.IdempotencyKey,
		})
	case *protocol.Lookup:
		c.registry.decisions.notifyReconciler(reconcile.LookupRequested{
			Client: c.id, ID: scheduler.ContainerID(f.ContainerID), IdempotencyKey: f.IdempotencyKey,
		})
	case *protocol.ExplainRequest:
		c.send(c.registry.inspector.explainReply(f))
	case *protocol.RoutesRequest:
		c.send(c.registry.routes.routesReply(f.Service))
	case *protocol.StatusRequest:
		c.send(c.registry.inspector.statusReply())
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		c.disconnect(reasonGoodbye)
	default:
		return unexpectedClientFrameError(f)
	}
	return nil
}

func (c *clientConn) handleHello(f *protocol.Hello) error {
	c.name, c.role = f.Name, f.Role
	switch f.Role {
	case protocol.RoleClient:
		c.transition(clientHelloReceived)
		c.registry.decisions.notifyReconciler(reconcile.ClientConnected{Client: c.id})
		return nil
	case protocol.RoleScheduler:
		c.transition(clientHelloReceived)
		return nil
	default:
		return wrongClientError(f.Role)
	}
}

func (c *clientConn) handleSubmit(f *protocol.Submit) {
	request := requestFromSpec(&f.Spec)
	request.Deadline = c.registry.now() + scheduler.Time(f.TimeToDeadline)
	c.registry.recordSubmission(request.ID)
	c.registry.decisions.notifyReconciler(reconcile.PlacementRequested{Client: c.id, Request: request})
}
