package faultproxy

import (
	"net"
	"time"

	"glenport/internal/testbed/loopback"
)

// maxQueuedFrames is more than the number of frames that the buffers of a real connection hold.
const maxQueuedFrames = 100_000

// sender is the end of a connection that sends a stream.
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
	position            uint64 // number of bytes read from the source
}

// queuedFrame is a frame that waits for delivery.
type queuedFrame struct {
	frame  rawFrame
	sentAt time.Time
}

// forward forwards the first frame, if it has been read already, and all later frames of the source. Reading does not
// wait for the end of a fault, so that the frames of a scheduler are recorded when they are sent.
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
	// Frames that a peer sent before it closed are still delivered unless a fault prevents it. The close of a scheduler
	// is recorded at once, and its undelivered frames are lost.
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
	default: // a real network would have blocked the sender before
		loopback.CloseQuietly(s.source)
	}
}

// deliver writes a frame to the destination, unless a fault drops it. A frame to a scheduler is recorded before it is
// written: the scheduler may reply at once, and the reply must not precede the frame in the recording.
func (s *stream) deliver(queued queuedFrame) {
	if !s.awaitDelivery(queued) {
		return
	}
	if s.sender == senderPeer && !s.recordBeforeForward(ToScheduler, queued.frame) {
		return
	}
	if _, err := s.destination.Write(queued.frame); err != nil {
		loopback.CloseQuietly(s.source)
	}
}

// awaitDelivery waits for the end of a partition and for the delay. It returns false if the frame must be dropped.
func (s *stream) awaitDelivery(queued queuedFrame) bool {
	fault, open := s.awaitPartitionEnd()
	if !open {
		return false
	}
	if s.sender == senderPeer && queued.frame.isAccept() && s.proxy.chance(fault.AcceptLoss) {
		s.recordBeforeForward(Lost, queued.frame)
		return false
	}
	time.Sleep(fault.Delay - time.Since(queued.sentAt))
	return true
}
