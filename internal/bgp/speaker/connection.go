package speaker

import (
	"errors"

	"glenport/internal/bgp/session"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
)

// outputLimit is the maximum of pending output of a connection in bytes. Beyond it, the connection is reset.
const outputLimit = 1 << 20

// connection is the eventloop.Handler of one BGP connection. It splits the input into messages.
type connection struct {
	speaker *Speaker
	peer    *peer // nil: inbound and not yet assigned to a peer
	id      session.ConnID
	inbound bool
	conn    *eventloop.Conn
	input   []byte // an incomplete message
	closed  bool   // closed by the session, or the end was reported to the session
}

// Opened reports an open connection to the session of its peer.
func (c *connection) Opened(conn *eventloop.Conn) {
	c.conn = conn
	if !c.inbound {
		c.peer.handle(session.ConnOpened{Conn: c.id})
		return
	}
	remote := conn.Peer()
	p := c.speaker.inboundPeer(remote.Addr())
	if p == nil {
		c.speaker.log.Warn("connection from unknown BGP peer rejected", "peer", remote)
		conn.Close()
		return
	}
	c.speaker.lastInboundID++
	c.peer, c.id = p, c.speaker.lastInboundID
	p.connections[c.id] = c
	p.handle(session.ConnOpened{Conn: c.id, Inbound: true})
}

// Read passes each complete message to the session, up to the first invalid one.
func (c *connection) Read(_ *eventloop.Conn, b []byte) {
	if c.closed || c.peer == nil {
		return
	}
	c.input = append(c.input, b...)
	for !c.closed {
		message, length, err := nextMessage(c.input)
		if invalid, ok := errors.AsType[*wire.MessageError](err); ok {
			c.peer.handle(session.MessageInvalid{Conn: c.id, Err: invalid})
			return
		}
		if message == nil {
			return
		}
		c.input = append(c.input[:0], c.input[length:]...)
		c.peer.handle(session.MessageReceived{Conn: c.id, Message: message})
	}
}

// nextMessage decodes the message at the start of input and returns it with its length. The message is nil if the input
// is incomplete. The error is a *wire.MessageError.
func nextMessage(input []byte) (wire.Message, int, error) {
	length, err := wire.MessageLength(input)
	if err != nil || length == 0 || len(input) < length {
		return nil, 0, err
	}
	message, err := wire.Decode(input[:length])
	return message, length, err
}

// Closed reports the end of a connection that the session has not closed.
func (c *connection) Closed(_ *eventloop.Conn, _ error) {
	if c.closed || c.peer == nil {
		return
	}
	c.closed = true
	delete(c.peer.connections, c.id)
	c.peer.handle(session.ConnClosed{Conn: c.id})
}

// send encodes a message and writes it. If the output limit is reached, the connection is reset: a peer that reads so
// slowly would lose the session to the hold timer too.
func (c *connection) send(m wire.Message) {
	encoded, err := wire.Append(nil, m)
	if err != nil {
		c.speaker.log.Error("BGP message not sent", "peer", c.peer.settings.Addr, "error", err)
		return
	}
	if _, isUpdate := m.(*wire.Update); isUpdate {
		c.peer.updatesSent++
		c.peer.bytesSent += len(encoded)
	}
	if c.conn != nil && c.conn.Write(encoded) != nil {
		c.speaker.loop.After(0, c.conn.Reset)
	}
}
