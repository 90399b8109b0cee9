package faultproxy

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

// maxQueuedFrames is more than the buffers of any real connection hold.
const maxQueuedFrames = 100_000

// connection is one connection through the proxy. Its mutable fields are guarded by the proxy's lock.
type connection struct {
	proxy         *Proxy
	id            uint32
	peer          protocol.Role
	scheduler     string
	peerName      string
	conns         [2]net.Conn // by direction: the caller, the called
	dead          bool        // nothing more passes
	closeRecorded bool        // the recording of the connection has ended
}

// direction is the index of the end that sends.
type direction int

const (
	fromCaller direction = iota
	fromCalled
)

type queuedFrame struct {
	frame  rawFrame
	sentAt time.Time
}

// entry is an entry of the recording on this connection.
func (c *connection) entry(kind EntryKind) Entry {
	return Entry{Kind: kind, ConnID: c.id, Scheduler: c.scheduler, Peer: c.peer, PeerName: c.peerName}
}

// reset resets both ends. The proxy's lock is held.
func (c *connection) reset() {
	c.dead = true
	for _, conn := range c.conns {
		loopback.Reset(conn)
	}
	c.proxy.stateChanged.Broadcast()
}

// run forwards both ways, first the frame that was read already, and returns when both directions have ended. The end
// of one ends the other.
func (c *connection) run(first rawFrame) {
	done := make(chan struct{}, 2)
	c.proxy.background.Go(func() {
		c.forward(fromCaller, first)
		done <- struct{}{}
	})
	c.proxy.background.Go(func() {
		c.forward(fromCalled, nil)
		done <- struct{}{}
	})
	<-done
	c.proxy.mu.Lock()
	c.dead = true
	c.proxy.stateChanged.Broadcast()
	c.proxy.mu.Unlock()
	loopback.CloseQuietly(c.conns[fromCalled])
	loopback.CloseQuietly(c.conns[fromCaller])
	<-done
}

// forward carries what one end sends to the other. Reading never waits for a fault to end: what a scheduler sends is
// recorded when it is sent.
func (c *connection) forward(from direction, first rawFrame) {
	fromScheduler := (c.peer == protocol.RoleClient) == (from == fromCalled)
	queue := make(chan queuedFrame, maxQueuedFrames)
	delivered := make(chan struct{})
	c.proxy.background.Go(func() {
		defer close(delivered)
		for queued := range queue {
			c.deliver(queued, from, fromScheduler)
		}
	})
	if first != nil {
		c.enqueue(queue, first, from, fromScheduler)
	}
	for {
		frame, err := readFrame(c.conns[from])
		if err != nil {
			break
		}
		c.enqueue(queue, frame, from, fromScheduler)
	}
	// What a peer sent before it closed still arrives where the network lets it. A scheduler's end counts at once, and
	// what it had sent is lost with it.
	if fromScheduler {
		c.recordClose()
	}
	close(queue)
	<-delivered
}

func (c *connection) enqueue(queue chan<- queuedFrame, frame rawFrame, from direction, fromScheduler bool) {
	if fromScheduler {
		c.record(FromScheduler, frame)
	}
	select {
	case queue <- queuedFrame{frame, time.Now()}:
	default: // a real network would have blocked the sender long before
		loopback.CloseQuietly(c.conns[from])
	}
}

// deliver writes a frame to the other end, unless the network loses it. A frame to a scheduler is recorded before it is
// written: the scheduler may answer at once, and the recording must not show the answer first.
func (c *connection) deliver(queued queuedFrame, from direction, fromScheduler bool) {
	if !c.awaitDelivery(queued, fromScheduler) {
		return
	}
	if !fromScheduler && !c.record(ToScheduler, queued.frame) {
		return
	}
	if _, err := c.conns[1-from].Write(queued.frame); err != nil {
		loopback.CloseQuietly(c.conns[from])
	}
}

// awaitDelivery waits for the end of a partition and for the delay, and reports whether the frame arrives at all.
func (c *connection) awaitDelivery(queued queuedFrame, fromScheduler bool) bool {
	fault, open := c.awaitPartitionEnd()
	if !open {
		return false
	}
	if !fromScheduler && queued.frame.isAccept() && c.proxy.chance(fault.LoseAccepts) {
		c.record(Lost, queued.frame)
		return false
	}
	time.Sleep(fault.Delay - time.Since(queued.sentAt))
	return true
}

// awaitPartitionEnd waits until the connection is not partitioned, and returns its fault then; open is false where the
// connection has ended.
func (c *connection) awaitPartitionEnd() (fault Fault, open bool) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	fault = p.rule(c.scheduler, c.peer, c.peerName)
	for fault.Partitioned && !c.dead && !p.closed {
		p.stateChanged.Wait()
		fault = p.rule(c.scheduler, c.peer, c.peerName)
	}
	return fault, !c.dead && !p.closed
}

// chance is true with the given probability; it draws no random number for zero.
func (p *Proxy) chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return probability > 0 && p.rng.Float64() < probability
}

// recordClose ends the recording of the connection and lets nothing more pass.
func (c *connection) recordClose() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.closeRecorded, c.dead = true, true
	c.proxy.stateChanged.Broadcast()
	c.proxy.recorder.add(c.entry(Closed))
}

// record records a frame, unless the scheduler's end has closed: the recording of a connection ends there.
func (c *connection) record(kind EntryKind, frame rawFrame) bool {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if c.closeRecorded {
		return false
	}
	entry := c.entry(kind)
	entry.Frame = frame.payload()
	c.proxy.recorder.add(entry)
	return true
}

const (
	lengthPrefixSize = 4 // bytes before each frame
	acceptFrameType  = 3 // first byte of an accept frame
)

// rawFrame is an encoded frame with its length prefix and at least one byte of payload.
type rawFrame []byte

func (f rawFrame) payload() []byte { return f[lengthPrefixSize:] }

func (f rawFrame) isAccept() bool { return f[lengthPrefixSize] == acceptFrameType }

// readFrame reads a frame without decoding it.
func readFrame(conn net.Conn) (rawFrame, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(conn, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size == 0 || size > protocol.MaxFrame {
		return nil, io.ErrUnexpectedEOF
	}
	frame := make(rawFrame, lengthPrefixSize+size)
	copy(frame, prefix[:])
	if _, err := io.ReadFull(conn, frame.payload()); err != nil {
		return nil, err
	}
	return frame, nil
}
