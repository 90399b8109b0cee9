package faultproxy

import (
	"net"
	"time"

	"glenport/internal/testbed/loopback"
)

// maxQueuedFrames is more than the buffers of any real connection hold.
const maxQueuedFrames = 100_000

// sender is which of the two ends of a connection sends what a stream carries.
type sender int

const (
	senderScheduler sender = iota
	senderPeer
)

// stream is one direction of a connection.
type stream struct {
	*connection
	source, destination net.Conn
	sender              sender
	position            uint64 // up to which it was read
}

// queuedFrame is a frame on its way.
type queuedFrame struct {
	frame  rawFrame
	sentAt time.Time
}

// forward carries the first frame, where one was read already, and what the source sends after it. Reading never waits
// for a fault to end: what a scheduler sends is recorded when it is sent.
func (s *stream) forward(first rawFrame) {
	queue := make(chan queuedFrame, maxQueuedFrames)
	delivered := make(chan struct{})
	s.proxy.background.Go(func() {
		defer close(delivered)
		for queued := range queue {
			s.deliver(queued)
		}
	})
	if first != nil {
		s.enqueue(queue, first)
	}
	for {
		frame, err := readFrame(s.source)
		if err != nil {
			break
		}
		s.enqueue(queue, frame)
	}
	// What a peer sent before it closed still arrives where the network lets it. A scheduler's end counts at once, and
	// what it had sent is lost with it.
	if s.sender == senderScheduler {
		s.recordClose()
	}
	close(queue)
	<-delivered
}

func (s *stream) enqueue(queue chan<- queuedFrame, frame rawFrame) {
	s.position += uint64(len(frame))
	if s.sender == senderScheduler {
		s.recordSent(frame, s.position)
	}
	select {
	case queue <- queuedFrame{frame, time.Now()}:
	default: // a real network would have blocked the sender long before
		loopback.CloseQuietly(s.source)
	}
}

// deliver writes a frame to the destination, unless the network loses it. A frame to a scheduler is recorded before it
// is written: the scheduler may answer at once, and the recording must not show the answer first.
func (s *stream) deliver(queued queuedFrame) {
	if !s.awaitDelivery(queued) {
		return
	}
	if s.sender == senderPeer && !s.recordAhead(ToScheduler, queued.frame) {
		return
	}
	if _, err := s.destination.Write(queued.frame); err != nil {
		loopback.CloseQuietly(s.source)
	}
}

// awaitDelivery waits for the end of a partition and for the delay, and reports whether the frame arrives at all.
func (s *stream) awaitDelivery(queued queuedFrame) bool {
	fault, open := s.awaitPartitionEnd()
	if !open {
		return false
	}
	if s.sender == senderPeer && queued.frame.isAccept() && s.proxy.chance(fault.LoseAccepts) {
		s.recordAhead(Lost, queued.frame)
		return false
	}
	time.Sleep(fault.Delay - time.Since(queued.sentAt))
	return true
}
