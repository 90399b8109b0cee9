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
	conns     [2]net.Conn // by direction: the caller, the called
	arrivals  *arrivals   // of what the scheduler sends
	state     connState
}

// connState is a state of a connection. A connection only goes on to a later one.
type connState int

const (
	connOpen     connState = iota
	connEnded              // nothing more passes
	connRecorded           // and its recording has ended
)

// direction is the index of the end that sends.
type direction int

const (
	fromCaller direction = iota
	fromCalled
)

// schedulerEnd is the end at which the scheduler is.
func (c *connection) schedulerEnd() direction {
	if c.peer == protocol.RoleClient {
		return fromCalled
	}
	return fromCaller
}

// setEnd sets one end. What the scheduler sends is sampled from then on.
func (c *connection) setEnd(end direction, conn net.Conn) (err error) {
	c.conns[end] = conn
	if end != c.schedulerEnd() {
		return nil
	}
	if c.arrivals, err = newArrivals(conn); err != nil {
		return err
	}
	c.proxy.sampler.add(c.arrivals)
	return nil
}

// entry is an entry of the recording on this connection.
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

// advance goes on to a state, unless the connection is there or further. The proxy's lock is held.
func (c *connection) advance(to connState) {
	c.state = max(c.state, to)
	c.proxy.stateChanged.Broadcast()
}

// run forwards both ways, first the frame that was read already, and returns when both directions have ended. The end
// of one ends the other.
func (c *connection) run(first rawFrame) {
	done := make(chan struct{}, 2)
	c.proxy.background.Go(func() {
		c.stream(fromCaller).forward(first)
		done <- struct{}{}
	})
	c.proxy.background.Go(func() {
		c.stream(fromCalled).forward(nil)
		done <- struct{}{}
	})
	<-done
	c.proxy.mu.Lock()
	c.advance(connEnded)
	c.proxy.mu.Unlock()
	loopback.CloseQuietly(c.conns[fromCalled])
	loopback.CloseQuietly(c.conns[fromCaller])
	<-done
}

// stream carries what one end sends.
func (c *connection) stream(from direction) *stream {
	s := &stream{connection: c, source: c.conns[from], destination: c.conns[1-from], sender: senderPeer}
	if from == c.schedulerEnd() {
		s.sender = senderScheduler
	}
	return s
}

// awaitPartitionEnd waits until the connection is not partitioned, and returns its fault then; open is false where the
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
	c.advance(connRecorded)
	c.proxy.recorder.addSince(c.entry(Closed), c.arrivals.lastAbsent(endOfStream))
}

// recordSent records a frame of the scheduler that ends at a position of its stream.
func (c *connection) recordSent(frame rawFrame, position uint64) {
	c.record(FromScheduler, frame, func(entry Entry) {
		c.proxy.recorder.addSince(entry, c.arrivals.lastAbsent(position))
	})
}

// recordAhead records a frame to the scheduler before it is forwarded, or lost.
func (c *connection) recordAhead(kind EntryKind, frame rawFrame) bool {
	return c.record(kind, frame, c.proxy.recorder.add)
}

// record records a frame, unless the scheduler's end has closed: the recording of a connection ends there.
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
