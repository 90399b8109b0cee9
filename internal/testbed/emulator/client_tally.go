package emulator

import (
	"time"

	"glenport/internal/protocol"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	lateAfter        = time.Second // placements that took longer count as late
)

// Tally counts the outcomes of submissions. Each submission is counted in exactly one of Placed, Rejected, Failed,
// NotAdmitted, Unanswered, Unsent and Pending.
type Tally struct {
	Submitted        int
	Placed           int
	Rejected         int
	Failed           int
	NotAdmitted      int
	Unanswered       int                     // the connection ended before the reply
	DuplicateReplies int                     // replies beyond the first
	Retried          int                     // submissions that are retries
	Ended            int                     // placed containers whose termination a client received
	Evicted          int                     // ended containers that were evicted for lack of memory
	Lost             int                     // ended containers that were lost for a reason other than memory
	Unsent           int                     // no scheduler was connected
	Pending          int                     // without a reply when the clients were closed
	PlacedLate       int                     // placements that took more than a second
	PlacementLatency *hdrhistogram.Histogram // in microseconds
}

// newLatencyHistogram returns a histogram of latencies in microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

func (t *Tally) countPlaced(latency time.Duration) {
	t.Placed++
	// The error is ignored: a latency above the range of the histogram is not recorded, but counts as late below.
	_ = t.PlacementLatency.RecordValue(max(1, latency.Microseconds()))
	if latency > lateAfter {
		t.PlacedLate++
	}
}

// countNotPlaced counts a reply other than a placement.
func (t *Tally) countNotPlaced(verdict protocol.Verdict) {
	switch verdict {
	case protocol.VerdictRejected:
		t.Rejected++
	case protocol.VerdictFailed:
		t.Failed++
	case protocol.VerdictNotAdmitted:
		t.NotAdmitted++
	case protocol.VerdictPlaced:
	}
}

func (t *Tally) countEnded(termination *protocol.Termination) {
	t.Ended++
	switch {
	case termination.Reason == protocol.ReasonOutOfMemory:
		t.Evicted++
	case termination.Outcome == protocol.OutcomeLost:
		t.Lost++
	}
}
