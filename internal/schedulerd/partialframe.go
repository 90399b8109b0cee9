package schedulerd

import "glenport/internal/eventloop"

// partialFrame records the time since which a received frame has been incomplete.
type partialFrame struct{ since eventloop.Tick } // 0: no frame is incomplete

// update applies the number of bytes that remain buffered after a read.
func (p *partialFrame) update(buffered int, now eventloop.Tick) {
	switch {
	case buffered == 0:
		p.since = 0
	case p.since == 0:
		p.since = now
	}
}

// age returns for how long the frame has been incomplete.
func (p *partialFrame) age(now eventloop.Tick) eventloop.Tick { return now - p.since }

func (p *partialFrame) overdue(now, limit eventloop.Tick) bool {
	return p.since > 0 && now-p.since > limit
}
