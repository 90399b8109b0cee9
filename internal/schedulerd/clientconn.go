package schedulerd

import (
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// helloTimeout is for how long a connection is kept whose peer has not said who it is.
const helloTimeout = 5 * eventloop.Second

// Reasons that are sent in a Goodbye.
const (
	reasonNoHello      = "no greeting in time"
	reasonPartialFrame = "half a frame"
	reasonGoodbye      = "good bye"
)

// unknownPeer stands for a connection in log lines until its hello.
const unknownPeer = "unknown"

// clientConn is an accepted connection: of a client, or of another scheduler that asks something.
type clientConn struct {
	server       *Server
	id           reconcile.ClientID
	conn         *eventloop.Conn
	reader       protocol.Reader
	name         string
	role         protocol.Role // 0: no hello yet
	acceptedAt   eventloop.Tick
	partial      partialFrame
	disconnected bool // nothing more is read or sent
}

func (s *Server) acceptClient() (eventloop.Handler, int) {
	s.lastClient++
	return &clientConn{
		server: s, id: s.lastClient, reader: protocol.Reader{MaxSize: protocol.MaxClientFrame}, name: unknownPeer,
		acceptedAt: s.loop.Now(),
	}, s.config.MaxOutput
}

// Opened implements eventloop.Handler.
func (c *clientConn) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.server.clients[c.id] = c
	c.send(c.server.hello())
}

// Read implements eventloop.Handler.
func (c *clientConn) Read(_ *eventloop.Conn, p []byte) {
	if c.disconnected {
		return
	}
	if err := c.reader.Feed(p, c.handleFrame); err != nil {
		c.server.logConnectionClosed(c.name, err)
		c.disconnect(err.Error())
	}
	c.partial.update(c.reader.Buffered(), c.server.loop.Now())
}

// Closed implements eventloop.Handler.
func (c *clientConn) Closed(*eventloop.Conn, error) {
	c.disconnected = true
	delete(c.server.clients, c.id)
	if c.role == protocol.RoleClient {
		c.server.enqueueReconcilerEvent(reconcile.ClientDisconnected{Client: c.id})
	}
}

// disconnect closes the connection after a Goodbye with a reason.
func (c *clientConn) disconnect(reason string) {
	if c.disconnected {
		return
	}
	c.send(&protocol.Goodbye{Message: reason})
	c.disconnected = true
	c.conn.Close()
}

// send drops a client that does not read: the answers to it must not pile up.
func (c *clientConn) send(f protocol.Frame) {
	if c.disconnected {
		c.server.stats.undelivered++
		return
	}
	encoded, err := c.server.encode(f)
	if err != nil {
		c.server.log.Error("frame not sent", "client", c.name, "error", err)
		return
	}
	if err := c.conn.Write(encoded); err != nil {
		c.server.stats.undelivered++
		c.disconnected = true
		c.server.logConnectionClosed(c.name, fmt.Errorf("%w: %d bytes pending", err, c.conn.PendingOutput()))
		c.conn.Reset()
	}
}

func (c *clientConn) checkTimeouts(now eventloop.Tick) {
	switch {
	case c.role == 0 && now-c.acceptedAt > helloTimeout:
		c.server.logConnectionClosed(c.name, after(errNoHello, now-c.acceptedAt))
		c.disconnect(reasonNoHello)
	case c.partial.overdue(now, c.server.config.SilenceTimeout):
		c.server.logConnectionClosed(c.name, after(errPartialFrame, now-c.partial.since))
		c.disconnect(reasonPartialFrame)
	}
}

func (c *clientConn) handleFrame(f protocol.Frame) error {
	s := c.server
	switch f := f.(type) {
	case *protocol.Hello:
		return c.handleHello(f)
	case *protocol.Submit:
		c.handleSubmit(f)
	case *protocol.CancelContainer:
		s.enqueueReconcilerEvent(
			reconcile.CancelRequested{
				Client:         c.id,
				ID:             scheduler.ContainerID(f.ContainerID),
				IdempotencyKey: f.IdempotencyKey,
			},
		)
	case *protocol.Lookup:
		s.enqueueReconcilerEvent(
			reconcile.LookupRequested{
				Client:         c.id,
				ID:             scheduler.ContainerID(f.ContainerID),
				IdempotencyKey: f.IdempotencyKey,
			},
		)
	case *protocol.ExplainRequest:
		c.send(s.explainReply(f))
	case *protocol.RoutesRequest:
		c.send(s.routesReply(f.Service))
	case *protocol.StatusRequest:
		c.send(s.statusReply())
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		c.disconnect(reasonGoodbye)
	default:
		return unexpectedFromClient(f)
	}
	return nil
}

func (c *clientConn) handleHello(f *protocol.Hello) error {
	c.name, c.role = f.Name, f.Role
	switch f.Role {
	case protocol.RoleClient:
		c.server.enqueueReconcilerEvent(reconcile.ClientConnected{Client: c.id})
		return nil
	case protocol.RoleScheduler:
		return nil
	}
	return wrongClient(f.Role)
}

func (c *clientConn) handleSubmit(f *protocol.Submit) {
	s := c.server
	request := requestOf(&f.Spec)
	request.Deadline = scheduler.Time(s.loop.Now()) + scheduler.Time(f.TimeToDeadline)
	s.stats.submitted++
	s.submittedAt[request.ID] = s.loop.Elapsed()
	s.enqueueReconcilerEvent(reconcile.PlacementRequested{Client: c.id, Request: request})
}

// sendToClient sends a frame to a client that may have gone.
func (s *Server) sendToClient(id reconcile.ClientID, f protocol.Frame) {
	if client := s.clients[id]; client != nil {
		client.send(f)
	}
}

func (s *Server) closeClient(action reconcile.CloseClient) {
	if client := s.clients[action.Client]; client != nil {
		client.disconnect(action.Reason.Error())
	}
}
