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
	accepted bool // the process serves the connection, or has initiated it

	toPeer     pipe
	toProcess  pipe
	input      []byte // bytes that have arrived and that the process has not read
	inputEnded bool   // the end of the peer's stream has arrived
	reset      bool   // a reset by the peer has arrived
	bytesRead  int    // number of bytes that the process has read
	readMarks  []readMark
}

// pipe is one direction of a connection.
type pipe struct {
	capacity    int           // maximum of buffered; 0: the pipe has no limit
	buffered    int           // number of bytes that are in transit or unread
	lastArrival time.Duration // later arrivals are not scheduled before this time
	ended       bool          // the sender has ended the stream
	congested   bool          // the last write did not fit
}

// readMark is a callback for when the process has read a number of bytes.
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

// free returns how many bytes a write can take.
func (p *pipe) free() int { return p.capacity - p.buffered }

// scheduleArrival schedules a callback at the receiving end of a pipe, after everything that was sent earlier.
func (c *connection) scheduleArrival(p *pipe, do func()) {
	p.lastArrival = max(p.lastArrival, c.network.now+c.network.delay())
	c.network.After(p.lastArrival-c.network.now, do)
}

// split divides data at random into one or two parts, which arrive one after the other.
func (c *connection) split(data []byte) [][]byte {
	data = bytes.Clone(data)
	if len(data) < 2 || !c.network.oneIn(splitOneIn) {
		return [][]byte{data}
	}
	at := 1 + c.network.random.IntN(len(data)-1)
	return [][]byte{data[:at], data[at:]}
}

// sendToPeer sends data that the process has written.
func (c *connection) sendToPeer(data []byte, iteration int) {
	congested := c.toPeer.congested
	for _, part := range c.split(data) {
		chunk := Chunk{Data: part, WrittenAt: c.network.now, Iteration: iteration, Congested: congested}
		c.toPeer.buffered += len(part)
		c.scheduleArrival(&c.toPeer, func() { c.peer.receive(chunk) })
	}
}

// endToPeer ends the stream to the peer: with io.EOF, or with the errno of a reset.
func (c *connection) endToPeer(reason error) {
	if !c.toPeer.ended || !errors.Is(reason, io.EOF) {
		c.toPeer.ended = true
		c.scheduleArrival(&c.toPeer, func() { c.peer.end(reason) })
	}
}

// sendToProcess sends data that the peer has written.
func (c *connection) sendToProcess(data []byte) {
	for _, part := range c.split(data) {
		c.scheduleArrival(&c.toProcess, func() { c.deliver(part) })
	}
}

// deliver adds bytes to the input of the process. If the process has closed its end, the peer receives a reset.
func (c *connection) deliver(part []byte) {
	if c.closed {
		c.endToPeer(unix.ECONNRESET)
		return
	}
	c.input = append(c.input, part...)
}

// read copies input to a buffer of the process, and runs the read marks that are reached.
func (c *connection) read(p []byte) int {
	count := copy(p, c.input)
	c.input = c.input[count:]
	c.bytesRead += count
	for len(c.readMarks) > 0 && c.readMarks[0].bytes <= c.bytesRead {
		mark := c.readMarks[0]
		c.readMarks = c.readMarks[1:]
		mark.onRead()
	}
	return count
}

// closeByProcess closes the process's end. As on Linux, the peer receives a reset if input is left unread.
func (c *connection) closeByProcess() {
	if len(c.input) > 0 {
		c.resetByProcess()
		return
	}
	c.closed, c.closedAt = true, c.network.now
	c.endToPeer(io.EOF)
}

// resetByProcess closes the process's end with a reset.
func (c *connection) resetByProcess() {
	c.closed, c.closedAt = true, c.network.now
	c.endToPeer(unix.ECONNRESET)
}
