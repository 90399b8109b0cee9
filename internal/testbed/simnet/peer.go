package simnet

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Chunk is some of what the process has written on a connection.
type Chunk struct {
	Data      []byte
	WrittenAt time.Duration
	Iteration int  // of Kernel.Wait, in which it was written
	Congested bool // the write before it did not fit in the buffer
}

// PeerHandler is the state machine of a peer of the process. Its methods are called while the process waits.
type PeerHandler interface {
	// Connected is called once, when the connection is established.
	Connected(c *PeerConn)
	// Received is called with what the process has written, in order.
	Received(c *PeerConn, chunk Chunk)
	// Ended is called once: with io.EOF when the process sends no more, else with the errno. It is not called after
	// Close and Reset.
	Ended(c *PeerConn, reason error)
}

// Endpoint is an address at which the process can connect to a peer. Its fields may be changed at any time.
type Endpoint struct {
	Accept func() PeerHandler // makes the handler of a connection
	Refuse bool               // connections are refused
	Silent bool               // they are never answered
	Delay  time.Duration      // connection attempts arrive so much later
}

// Listen has the process's connections to an address answered by an endpoint. Where there is none they are refused.
func (n *Network) Listen(address netip.AddrPort, endpoint *Endpoint) { n.endpoints[address] = endpoint }

// Dial connects a peer to the process.
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
	ended   bool // the handler is called no more
	paused  bool
	unread  []Chunk // while paused
	written int     // bytes
}

// Write sends bytes to the process. onRead, if any, is called when the process has read them all.
func (p *PeerConn) Write(data []byte, onRead func()) {
	if p.conn.toProcess.ended {
		return
	}
	p.written += len(data)
	if onRead != nil {
		p.conn.marks = append(p.conn.marks, readMark{p.written, onRead})
	}
	p.conn.sendToProcess(data)
}

// CloseWrite ends what the peer sends; it still receives.
func (p *PeerConn) CloseWrite() {
	if p.conn.toProcess.ended {
		return
	}
	p.conn.toProcess.ended = true
	p.conn.arrive(&p.conn.toProcess, func() { p.conn.inputEnds = true })
}

// Close ends the connection. What the process writes from now on is answered with a reset.
func (p *PeerConn) Close() {
	p.ended = true
	p.CloseWrite()
}

// Reset ends the connection, and the process receives a reset behind all that was sent.
func (p *PeerConn) Reset() {
	p.ended = true
	p.conn.toProcess.ended = true
	p.conn.arrive(&p.conn.toProcess, func() { p.conn.reset = true })
}

// PauseReading leaves what the process writes unread for a while.
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

// WasAccepted reports whether the process has begun to serve the connection. One that it accepts and closes at once, as
// it has no descriptors, was not.
func (p *PeerConn) WasAccepted() bool { return p.conn.accepted }

// Congested reports whether the process has not written all that it last tried to, as the peer took too little.
func (p *PeerConn) Congested() bool { return p.conn.toPeer.congested }

// ClosedAt is when the process has closed its end, if it has.
func (p *PeerConn) ClosedAt() time.Duration { return p.conn.closedAt }

// Unread is how many of the bytes that the peer has written the process has not read.
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
	p.conn.toPeer.held -= len(chunk.Data)
	if p.ended {
		p.answerWithReset()
		return
	}
	p.handler.Received(p, chunk)
}

// answerWithReset resets the process's end, as its peer is closed.
func (p *PeerConn) answerWithReset() {
	p.conn.arrive(&p.conn.toProcess, func() { p.conn.reset = true })
}

// end tells the handler that the process has ended the connection.
func (p *PeerConn) end(reason error) {
	if p.paused { // the end is behind what is unread
		p.conn.network.After(time.Millisecond, func() { p.end(reason) })
		return
	}
	if !p.ended {
		p.ended = true
		p.handler.Ended(p, reason)
	}
}
