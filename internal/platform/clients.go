package platform

import (
	"errors"
	"strconv"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const clientOutputLimit = 256 << 10 // bytes of output that may be pending for a client

// clientConn is one connection of a client. Running containers are not bound to a connection.
type clientConn struct {
	env        *environment
	registry   *clientRegistry
	containers *containerRegistry
	shutdown   *shutdownSequence
	id         connmanager.ClientID
	state      clientState
	conn       *eventloop.Conn
	lines      jsonlines.LineSplitter
}

// Opened implements eventloop.Handler.
func (cc *clientConn) Opened(conn *eventloop.Conn) {
	if cc.transition(clientConnOpened) != nil {
		return
	}
	cc.conn = conn
	cc.registry.add(cc)
}

// Read implements eventloop.Handler.
func (cc *clientConn) Read(_ *eventloop.Conn, data []byte) {
	linesBefore := cc.lines.Lines()
	if err := cc.lines.Feed(data, cc.handleLine); err != nil {
		cc.env.log.Debug("client connection closed", "client", cc.id, "error", err)
		cc.close()
		return
	}
	partial := cc.lines.Buffered() > 0
	if partial && cc.lines.Lines() > linesBefore { // without an incomplete line, BytesReceived implies it
		cc.env.notifyConnManager(connmanager.MessageCompleted{Client: cc.id})
	}
	cc.env.notifyConnManager(connmanager.BytesReceived{Client: cc.id, Partial: partial})
}

// Closed implements eventloop.Handler: the client's open requests are cancelled.
func (cc *clientConn) Closed(*eventloop.Conn, error) {
	if cc.transition(clientConnEnded) != nil {
		return
	}
	cc.registry.remove(cc)
	cc.env.notifyConnManager(connmanager.ClientDisconnected{Client: cc.id})
	cc.containers.clientDisconnected(cc)
}

// close ends the connection once its pending output is written.
func (cc *clientConn) close() {
	if cc.transition(clientCloseRequested) == nil {
		cc.conn.Close()
	}
}

// pauseReading stops reading for some time.
func (cc *clientConn) pauseReading(duration eventloop.Tick) {
	cc.conn.PauseReading()
	cc.env.loop.After(duration, cc.conn.ResumeReading)
}

// send writes a message to the client. A client that reads too slowly is disconnected.
func (cc *clientConn) send(msg *jsonlines.Message) {
	if !cc.isWritable() {
		return
	}
	line, err := cc.env.encode(msg)
	if err != nil {
		cc.env.log.Error("message not sent", "client", cc.id, "error", err)
		return
	}
	cc.trace("to client", msg)
	if err := cc.conn.Write(line); err != nil {
		cc.conn.Reset()
	}
}

func (cc *clientConn) trace(direction string, msg *jsonlines.Message) {
	if cc.env.tracing {
		cc.env.trace(direction, strconv.FormatUint(uint64(cc.id), 10), msg)
	}
}

// handleLine handles one message. An error closes the connection.
func (cc *clientConn) handleLine(line []byte) error {
	msg, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	cc.trace("from client", msg)
	switch request := decodeClientMessage(msg).(type) {
	case offerReceived:
		return cc.handleOffer(request)
	case endRequested:
		cc.handleEnd(request)
	case endAcknowledged:
		cc.env.notifyConnManager(connmanager.TerminationAcknowledged{RequestID: request.id, Client: cc.id})
	case livenessTest:
		cc.handleLivenessTest(request)
	}
	return nil
}

// handleOffer handles a request to place a container, or a claim that a container is already running.
func (cc *clientConn) handleOffer(received offerReceived) error {
	offer, err := cc.env.config.decodeOffer(received, cc.env.loop.Now())
	if err == nil && offer.runsOn == "" {
		err = cc.containers.checkUnused(offer.request.ID, cc)
	}
	switch {
	case errors.Is(err, errDuplicateRequest):
		return err
	case err != nil:
		cc.rejectInvalid(received, offer.runsOn, err)
	case offer.runsOn != "":
		cc.env.notifyConnManager(connmanager.ContainerReclaimed{Client: cc.id})
		cc.containers.handleClaim(runningClaim{client: cc, request: offer.request, machine: offer.runsOn})
	default:
		cc.containers.open(cc, offer)
	}
	return nil
}

// rejectInvalid answers an invalid request. An invalid claim is not answered.
func (cc *clientConn) rejectInvalid(received offerReceived, runsOn scheduler.MachineID, err error) {
	cc.env.log.Debug("request rejected as invalid", "client", cc.id, "request_id", received.id, "error", err)
	if runsOn != "" {
		return
	}
	cc.send(invalidMessage(received.id))
	cc.env.notifyConnManager(connmanager.MessageSent{Client: cc.id})
	cc.env.notifyConnManager(connmanager.InvalidMessageReceived{Client: cc.id})
}

// handleEnd cancels an open request of this client, or ends a running container. Any client may end a running
// container.
func (cc *clientConn) handleEnd(request endRequested) {
	c := cc.containers.lookup(request.id)
	switch {
	case c == nil:
	case c.isOpenRequestOf(cc):
		c.cancel()
	default:
		c.terminate(request.cause)
	}
}

// handleLivenessTest answers whether new requests are accepted.
func (cc *clientConn) handleLivenessTest(test livenessTest) {
	result := testPassed
	if cc.shutdown.inProgress() {
		result = testFailed
	}
	cc.send(testResultMessage(test.id, result))
	cc.env.notifyConnManager(connmanager.MessageSent{Client: cc.id})
}
