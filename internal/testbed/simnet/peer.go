package simnet

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Chunk is a part of the bytes that the process has written on a connection.
type Chunk struct {
	Data      []byte
	WrittenAt time.Duration
	Iteration int  // Kernel.Iteration at the time of the write
	Congested bool // the previous write did not fit in the buffer
}

// PeerHandler handles the events of a peer's end of a connection. Its methods are called while the process waits.
type PeerHandler interface {
	// Connected is called once, when the connection is established.
	Connected(c *PeerConn)
	// Received is called with the bytes that the process has written, in order.
	Received(c *PeerConn, chunk Chunk)
	// Ended is called once: with io.EOF when the process has ended its stream, otherwise with an errno. It is not
	// called after Close and Reset.
	Ended(c *PeerConn, reason error)
}

// Endpoint is an address at which the process can connect to a peer. Its fields may be changed at any time.
type Endpoint struct {
	Accept func() PeerHandler // returns the handler of a new connection
	Refuse bool               // connection attempts are refused
	Silent bool               // connection attempts are never answered
	Delay  time.Duration      // additional delay of connection attempts
}

// Listen sets the endpoint that answers the process's connection attempts to an address. Attempts to connect to an
// address without an endpoint are refused.
func (n *Network) Listen(address netip.AddrPort, endpoint *Endpoint) { n.endpoints[address] = endpoint }

// Dial connects a peer to a listener of the process.
func (n *Network) Dial(address netip.AddrPort, handler PeerHandler) *PeerConn {
	conn := newConnection(n, handler)
	n.After(n.delay(), func() {
		listener := n.listeners[address]
		if listener == nil {
			n.After(n.delay(), func() { conn.peer.end(unix.ECONNREFUSED) })
			return
		}
		listener.backlog = append(listener.backlog, conn)
		n.After(n.delay(), conn.peer.establish)
	})
	return conn.peer
}

// PeerConn is a peer's end of a connection.
type PeerConn struct {
	conn    *connection
	handler PeerHandler
	ended   bool // the handler is not called any more
	paused  bool
	unread  []Chunk // chunks that arrived while paused
	written int     // number of bytes that the peer has written
}

// Write sends bytes to the process. onRead, if any, is called when the process has read them all.
func (p *PeerConn) Write(data []byte, onRead func()) {
	if p.conn.toProcess.ended {
		return
	}
	p.written += len(data)
	if onRead != nil {
		p.conn.readMarks = append(p.conn.readMarks, readMark{p.written, onRead})
	}
	p.conn.sendToProcess(data)
}

// CloseWrite ends the peer's stream. The peer still receives.
func (p *PeerConn) CloseWrite() {
	if p.conn.toProcess.ended {
		return
	}
	p.conn.toProcess.ended = true
	p.conn.scheduleArrival(&p.conn.toProcess, func() { p.conn.inputEnded = true })
}

// Close closes the peer's end. Bytes that arrive from the process afterwards are answered with a reset.
func (p *PeerConn) Close() {
	p.ended = true
	p.CloseWrite()
}

// Reset closes the peer's end with a reset, which arrives after all that was sent before.
func (p *PeerConn) Reset() {
	p.ended = true
	p.conn.toProcess.ended = true
	p.conn.scheduleArrival(&p.conn.toProcess, func() { p.conn.reset = true })
}

// PauseReading leaves the bytes from the process unread for a span of time.
func (p *PeerConn) PauseReading(span time.Duration) {
	if p.paused {
		return
	}
	p.paused = true
	p.conn.network.After(span, func() {
		p.paused = false
		unread := p.unread
		p.unread = nil
		for _, chunk := range unread {
			p.receive(chunk)
		}
	})
}

// IsEnded reports whether the connection has ended for the peer.
func (p *PeerConn) IsEnded() bool { return p.ended }

// WasAccepted reports whether the process has begun to serve the connection. It is false for a connection that the
// process accepted and closed at once for lack of descriptors.
func (p *PeerConn) WasAccepted() bool { return p.conn.accepted }

// Congested reports whether the process's last write did not fit in the buffer, because the peer reads too slowly.
func (p *PeerConn) Congested() bool { return p.conn.toPeer.congested }

// ClosedAt returns when the process closed its end, or 0 if it has not.
func (p *PeerConn) ClosedAt() time.Duration { return p.conn.closedAt }

// Unread returns the number of bytes that the peer has written and the process has not read.
func (p *PeerConn) Unread() int { return p.written - p.conn.bytesRead }

func (p *PeerConn) establish() {
	if !p.ended {
		p.handler.Connected(p)
	}
}

func (p *PeerConn) receive(chunk Chunk) {
	if p.paused {
		p.unread = append(p.unread, chunk)
		return
	}
	p.conn.toPeer.buffered -= len(chunk.Data)
	if p.ended {
		p.answerWithReset()
		return
	}
	p.handler.Received(p, chunk)
}

// answerWithReset sends a reset to the process, because the peer's end is closed.
func (p *PeerConn) answerWithReset() {
	p.conn.scheduleArrival(&p.conn.toProcess, func() { p.conn.reset = true })
}

// end notifies the handler that the process has ended its stream or that the connection failed.
func (p *PeerConn) end(reason error) {
	if p.paused { // the end comes after the unread bytes
		p.conn.network.After(time.Millisecond, func() { p.end(reason) })
		return
	}
	if !p.ended {
		p.ended = true
		p.handler.Ended(p, reason)
	}
}
