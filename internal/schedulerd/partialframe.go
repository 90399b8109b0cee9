package schedulerd

import "glenport/internal/eventloop"

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
