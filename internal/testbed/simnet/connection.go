package simnet

import (
	"bytes"
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

// connection is one TCP connection between the process and a peer.
type connection struct {
	network  *Network
	peer     *PeerConn
	closed   bool // the process has closed its end
	closedAt time.Duration
	accepted bool // the process serves the connection, or has made it

	toPeer    pipe
	toProcess pipe
	input     []byte // has arrived and was not read by the process
	inputEnds bool   // the peer's end has arrived
	reset     bool   // a reset by the peer has arrived
	bytesRead int    // by the process
	marks     []readMark
}

// pipe is one direction of a connection.
type pipe struct {
	capacity    int           // of the bytes on their way and unread; 0: without limit
	held        int           // bytes on their way and unread
	lastArrival time.Duration // nothing overtakes
	ended       bool          // the sender has ended it
	congested   bool          // the last write did not fit
}

// readMark is called once the process has read so many bytes.
type readMark struct {
	bytes  int
	onRead func()
}

func newConnection(n *Network, handler PeerHandler) *connection {
	c := &connection{network: n}
	c.peer = &PeerConn{conn: c, handler: handler}
	c.toPeer.capacity = largeBuffer
	if n.oneIn(smallBufferOneIn) {
		c.toPeer.capacity = smallBuffer + n.random.IntN(smallBuffer)
	}
	return c
}

// free is how many bytes a write can take.
func (p *pipe) free() int { return p.capacity - p.held }

// arrive has something happen at the far end of a pipe, behind all that was sent before.
func (c *connection) arrive(p *pipe, do func()) {
	p.lastArrival = max(p.lastArrival, c.network.now+c.network.delay())
	c.network.After(p.lastArrival-c.network.now, do)
}

// split returns the parts in which bytes arrive.
func (c *connection) split(data []byte) [][]byte {
	data = bytes.Clone(data)
	if len(data) < 2 || !c.network.oneIn(splitOneIn) {
		return [][]byte{data}
	}
	at := 1 + c.network.random.IntN(len(data)-1)
	return [][]byte{data[:at], data[at:]}
}

// sendToPeer sends what the process has written.
func (c *connection) sendToPeer(data []byte, iteration int) {
	congested := c.toPeer.congested
	for _, part := range c.split(data) {
		chunk := Chunk{Data: part, WrittenAt: c.network.now, Iteration: iteration, Congested: congested}
		c.toPeer.held += len(part)
		c.arrive(&c.toPeer, func() { c.peer.receive(chunk) })
	}
}

// endToPeer ends what the process sends.
func (c *connection) endToPeer(reason error) {
	if !c.toPeer.ended || !errors.Is(reason, io.EOF) {
		c.toPeer.ended = true
		c.arrive(&c.toPeer, func() { c.peer.end(reason) })
	}
}

// sendToProcess sends what the peer has written.
func (c *connection) sendToProcess(data []byte) {
	for _, part := range c.split(data) {
		c.arrive(&c.toProcess, func() { c.arrived(part) })
	}
}

// arrived takes bytes in at the process's end. One that is closed answers with a reset.
func (c *connection) arrived(part []byte) {
	if c.closed {
		c.endToPeer(unix.ECONNRESET)
		return
	}
	c.input = append(c.input, part...)
}

// read takes bytes that have arrived, as the process reads them.
func (c *connection) read(p []byte) int {
	count := copy(p, c.input)
	c.input = c.input[count:]
	c.bytesRead += count
	for len(c.marks) > 0 && c.marks[0].bytes <= c.bytesRead {
		mark := c.marks[0]
		c.marks = c.marks[1:]
		mark.onRead()
	}
	return count
}

// closeByProcess ends the process's side. The peer is reset where input is left unread, as by Linux.
func (c *connection) closeByProcess() {
	if len(c.input) > 0 {
		c.resetByProcess()
		return
	}
	c.closed, c.closedAt = true, c.network.now
	c.endToPeer(io.EOF)
}

// resetByProcess ends the process's side at once.
func (c *connection) resetByProcess() {
	c.closed, c.closedAt = true, c.network.now
	c.endToPeer(unix.ECONNRESET)
}
