package faultproxy

import (
	"net"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

// connection is one connection through the proxy. Its mutable fields are guarded by the proxy's lock.
type connection struct {
	proxy     *Proxy
	id        uint32
	peer      protocol.Role
	scheduler string
	peerName  string
	conns     [2]net.Conn     // by direction: caller, target
	arrivals  *arrivalTracker // arrivals in the stream that the scheduler sends
	state     connState
}

// connState is the state of a connection. It only advances.
type connState int

const (
	connOpen     connState = iota
	connEnded              // no more frames are forwarded
	connRecorded           // no more frames are forwarded or recorded
)

// direction is a direction of a connection, or the end that sends in this direction.
type direction int

const (
	fromCaller direction = iota
	fromTarget
)

// schedulerEnd returns which end of the connection is the scheduler.
func (c *connection) schedulerEnd() direction {
	if c.peer == protocol.RoleClient {
		return fromTarget
	}
	return fromCaller
}

// setEnd sets the connection of one end. The stream of the scheduler is sampled from then on.
func (c *connection) setEnd(end direction, conn net.Conn) (err error) {
	c.conns[end] = conn
	if end != c.schedulerEnd() {
		return nil
	}
	if c.arrivals, err = newArrivalTracker(conn); err != nil {
		return err
	}
	c.proxy.sampler.add(c.arrivals)
	return nil
}

// entry returns an entry of the recording for this connection.
func (c *connection) entry(kind EntryKind) Entry {
	return Entry{Kind: kind, ConnID: c.id, Scheduler: c.scheduler, Peer: c.peer, PeerName: c.peerName}
}

// reset resets both ends. The proxy's lock is held.
func (c *connection) reset() {
	c.advance(connEnded)
	for _, conn := range c.conns {
		loopback.Reset(conn)
	}
}

// advance moves to a state, unless the connection has reached it already. The proxy's lock is held.
func (c *connection) advance(to connState) {
	c.state = max(c.state, to)
	c.proxy.stateChanged.Broadcast()
}

// run forwards in both directions, starting with the frame that has been read already. The end of one direction ends
// the other; run returns when both have ended.
func (c *connection) run(first rawFrame) {
	done := make(chan struct{}, 2)
	c.proxy.background.Go(func() {
		c.stream(fromCaller).forward(first)
		done <- struct{}{}
	})
	c.proxy.background.Go(func() {
		c.stream(fromTarget).forward(nil)
		done <- struct{}{}
	})
	<-done
	c.proxy.mu.Lock()
	c.advance(connEnded)
	c.proxy.mu.Unlock()
	loopback.CloseQuietly(c.conns[fromTarget])
	loopback.CloseQuietly(c.conns[fromCaller])
	<-done
}

// stream returns the stream that one end sends.
func (c *connection) stream(from direction) *stream {
	s := &stream{connection: c, source: c.conns[from], destination: c.conns[1-from], sender: senderPeer}
	if from == c.schedulerEnd() {
		s.sender = senderScheduler
	}
	return s
}

// awaitPartitionEnd waits until the connection is not partitioned and returns its current fault; open is false if the
// connection has ended.
func (c *connection) awaitPartitionEnd() (fault Fault, open bool) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	fault = p.rule(c.scheduler, c.peer, c.peerName)
	for fault.Partitioned && c.state == connOpen && !p.closed {
		p.stateChanged.Wait()
		fault = p.rule(c.scheduler, c.peer, c.peerName)
	}
	return fault, c.state == connOpen && !p.closed
}

// chance returns true with the given probability. If the probability is zero, it draws no random number.
func (p *Proxy) chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return probability > 0 && p.rng.Float64() < probability
}

// recordClose records the close of the scheduler's end and ends the recording and forwarding of the connection.
func (c *connection) recordClose() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.advance(connRecorded)
	c.proxy.recorder.addSince(c.entry(Closed), c.arrivals.lastSampleBefore(endOfStream))
}

// recordSent records a frame from the scheduler that ends at a position of its stream.
func (c *connection) recordSent(frame rawFrame, position uint64) {
	c.record(FromScheduler, frame, func(entry Entry) {
		c.proxy.recorder.addSince(entry, c.arrivals.lastSampleBefore(position))
	})
}

// recordBeforeForward records a frame to the scheduler before it is forwarded or dropped. It returns false if the
// recording of the connection has ended.
func (c *connection) recordBeforeForward(kind EntryKind, frame rawFrame) bool {
	return c.record(kind, frame, c.proxy.recorder.add)
}

// record records a frame. It returns false if the scheduler's end has closed, which ends the recording of a connection.
func (c *connection) record(kind EntryKind, frame rawFrame, add func(Entry)) bool {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if c.state == connRecorded {
		return false
	}
	entry := c.entry(kind)
	entry.Frame = frame.payload()
	add(entry)
	return true
}
