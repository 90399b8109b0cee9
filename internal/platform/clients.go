package platform

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const clientOutputLimit = 256 << 10 // bytes that may wait to be written to a client

// clientConn is one connection of a client. Running containers belong to no connection.
type clientConn struct {
	server *Server
	id     connmanager.ClientID
	conn   *eventloop.Conn
	lines  jsonlines.LineSplitter
}

var (
	// errDuplicateRequest closes the connection: an answer could not be matched to one of its two requests.
	errDuplicateRequest = errors.New("two open requests with one id on one connection")
	errRequestOpen      = errors.New("a request with this id is open")
)

// accept makes the handler of a new client connection.
func (s *Server) accept() (eventloop.Handler, int) {
	s.lastClientID++
	return &clientConn{
		server: s,
		id:     s.lastClientID,
		lines:  jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes},
	}, clientOutputLimit
}

// Opened implements eventloop.Handler.
func (cc *clientConn) Opened(conn *eventloop.Conn) {
	cc.conn = conn
	cc.server.clients[cc.id] = cc
	cc.server.notifyConnManager(connmanager.ClientConnected{Client: cc.id})
}

// Read implements eventloop.Handler.
func (cc *clientConn) Read(_ *eventloop.Conn, data []byte) {
	if err := cc.lines.Feed(data, cc.handleLine); err != nil {
		cc.server.log.Debug("client connection closed", "client", cc.id, "error", err)
		cc.conn.Close()
		return
	}
	cc.server.notifyConnManager(connmanager.BytesReceived{Client: cc.id, Partial: cc.lines.Buffered() > 0})
}

// Closed implements eventloop.Handler: the client's open requests are cancelled.
func (cc *clientConn) Closed(*eventloop.Conn, error) {
	s := cc.server
	delete(s.clients, cc.id)
	s.notifyConnManager(connmanager.ClientDisconnected{Client: cc.id})
	for _, c := range s.containersOf(cc) {
		if !c.answered {
			s.cancelRequest(c)
		}
		c.client = nil
	}
}

// containersOf returns the containers that were requested on a connection, by identifier.
func (s *Server) containersOf(cc *clientConn) []*container {
	var requested []*container
	for _, c := range s.containers {
		if c.client == cc {
			requested = append(requested, c)
		}
	}
	slices.SortFunc(requested, func(a, b *container) int {
		return strings.Compare(string(a.request.ID), string(b.request.ID))
	})
	return requested
}

// send writes a message to a client. A client that takes too little is disconnected.
func (cc *clientConn) send(msg *jsonlines.Message) {
	if cc.conn == nil || !cc.conn.IsOpen() {
		return
	}
	line, err := cc.server.encode(msg)
	if err != nil {
		cc.server.log.Error("message not sent", "client", cc.id, "error", err)
		return
	}
	cc.server.traceMessage("to client", fmt.Sprint(cc.id), msg)
	if err := cc.conn.Write(line); err != nil {
		cc.conn.Reset()
	}
}

// handleLine handles one message. An error closes the connection.
func (cc *clientConn) handleLine(line []byte) error {
	msg, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	cc.server.traceMessage("from client", fmt.Sprint(cc.id), msg)
	switch request := decodeClientMessage(msg).(type) {
	case offerReceived:
		return cc.handleOffer(request)
	case endRequested:
		cc.handleEnd(request)
	case endAcknowledged:
		cc.server.notifyConnManager(connmanager.TerminationAcknowledged{RequestID: request.id, Client: cc.id})
	case livenessTest:
		cc.handleLivenessTest(request)
	}
	return nil
}

// handleOffer handles a request for a container that is to be placed, or the claim that one is running already.
func (cc *clientConn) handleOffer(received offerReceived) error {
	s := cc.server
	offer, err := s.config.decodeOffer(received, s.loop.Now())
	if err == nil && offer.runsOn == "" {
		err = cc.checkUnused(offer.request.ID)
	}
	switch {
	case errors.Is(err, errDuplicateRequest):
		return err
	case err != nil:
		cc.rejectInvalid(received, offer.runsOn, err)
	case offer.runsOn != "":
		s.notifyConnManager(connmanager.ContainerReclaimed{Client: cc.id})
		s.adopt(cc, offer.request, offer.runsOn)
	default:
		s.openContainer(cc, offer)
	}
	return nil
}

// checkUnused returns an error where a request with an identifier is open.
func (cc *clientConn) checkUnused(id scheduler.ContainerID) error {
	c := cc.server.containers[id]
	switch {
	case c == nil:
		return nil
	case !c.answered && c.client == cc:
		return errDuplicateRequest
	}
	return errRequestOpen
}

// rejectInvalid answers a request that is invalid. An invalid claim that a container is running gets no answer.
func (cc *clientConn) rejectInvalid(received offerReceived, runsOn scheduler.MachineID, err error) {
	cc.server.log.Debug("request rejected as invalid", "client", cc.id, "request_id", received.id, "error", err)
	if runsOn != "" {
		return
	}
	cc.send(invalidMessage(received.id))
	cc.server.notifyConnManager(connmanager.MessageSent{Client: cc.id})
	cc.server.notifyConnManager(connmanager.InvalidMessageReceived{Client: cc.id})
}

// handleEnd cancels an open request of this client, or ends a running container. Any client may end a running
// container.
func (cc *clientConn) handleEnd(request endRequested) {
	c := cc.server.containers[request.id]
	switch {
	case c == nil:
	case !c.answered && c.client == cc:
		cc.server.cancelRequest(c)
	case c.attempt != nil && c.attempt.running:
		cc.server.terminateRunning(c, request.cause)
	}
}

// handleLivenessTest answers whether new requests are accepted.
func (cc *clientConn) handleLivenessTest(test livenessTest) {
	cc.send(testResultMessage(test.id, !cc.server.shuttingDown))
	cc.server.notifyConnManager(connmanager.MessageSent{Client: cc.id})
}
