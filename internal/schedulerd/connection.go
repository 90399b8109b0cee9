package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
)

// maxKeptBuffer is the size from which on an encode buffer is not used again.
const maxKeptBuffer = 1 << 20

// encode returns the bytes of a frame. They are valid until the next call.
func (s *Server) encode(f protocol.Frame) ([]byte, error) {
	encoded, err := protocol.Append(s.encodeBuffer[:0], f)
	s.encodeBuffer = encoded
	if cap(encoded) > maxKeptBuffer {
		s.encodeBuffer = nil
	}
	return encoded, err
}

func (s *Server) hello() *protocol.Hello {
	return protocol.NewHello(protocol.RoleScheduler, s.config.Name, s.incarnation)
}

func (s *Server) logConnectionClosed(peer string, cause error) {
	s.log.Warn("connection closed", "peer", peer, "error", cause)
}

// partialFrame records since when the rest of a frame is missing.
type partialFrame struct{ since eventloop.Tick } // 0: none is missing

// update takes the number of bytes that are left over after a read.
func (p *partialFrame) update(buffered int, now eventloop.Tick) {
	switch {
	case buffered == 0:
		p.since = 0
	case p.since == 0:
		p.since = now
	}
}

func (p *partialFrame) overdue(now, limit eventloop.Tick) bool {
	return p.since > 0 && now-p.since > limit
}
