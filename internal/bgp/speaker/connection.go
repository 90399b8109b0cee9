package speaker

import (
	"errors"

	"glenport/internal/bgp/session"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
)

// outputLimit is how many bytes may wait on a connection before it is reset.
const outputLimit = 1 << 20

// connection is the eventloop.Handler of one connection. It splits the input into messages.
type connection struct {
	speaker *Speaker
	peer    *peer // nil: inbound, and no peer has it yet
	id      session.ConnID
	inbound bool
	conn    *eventloop.Conn
	input   []byte // the beginning of a message
	closed  bool   // by the session, or reported to it
}

// Opened reports an open connection to the session of its peer.
func (c *connection) Opened(conn *eventloop.Conn) {
	c.conn = conn
	if !c.inbound {
		c.peer.handle(session.ConnOpened{Conn: c.id})
		return
	}
	remote := conn.Peer()
	p := c.speaker.peerOf(remote.Addr())
	if p == nil {
		c.speaker.log.Warn("connection of an unknown BGP peer rejected", "peer", remote)
		conn.Close()
		return
	}
	c.speaker.lastInbound++
	c.peer, c.id = p, c.speaker.lastInbound
	p.connections[c.id] = c
	p.handle(session.ConnOpened{Conn: c.id, Inbound: true})
}

// Read hands each whole message, or the first that is invalid, to the session.
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

// nextMessage decodes the message at the start of input, which has the returned length. The message is nil while it is
// incomplete. The error is a *wire.MessageError.
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

// send encodes a message and writes it. A peer that takes so little that the output limit is reached would lose its
// session by the hold time too: its connection is reset.
func (c *connection) send(m wire.Message) {
	encoded, err := wire.Append(nil, m)
	if err != nil {
		c.speaker.log.Error("BGP message not sent", "peer", c.peer.settings.Addr, "error", err)
		return
	}
	if _, isUpdate := m.(*wire.Update); isUpdate {
		c.peer.updates++
		c.peer.bytes += len(encoded)
	}
	if c.conn != nil && c.conn.Write(encoded) != nil {
		c.speaker.loop.After(0, c.conn.Reset)
	}
}
