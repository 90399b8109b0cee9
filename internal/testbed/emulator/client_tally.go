package emulator

import (
	"time"

	"glenport/internal/protocol"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	lateAfter        = time.Second // a placement that took longer counts as late
)

// Tally counts what clients saw. Every submission ends in one of Placed, Rejected, Failed, NotAdmitted, Unanswered,
// Unsent and Pending.
type Tally struct {
	Submitted        int
	Placed           int
	Rejected         int
	Failed           int
	NotAdmitted      int
	Unanswered       int                     // the connection to the scheduler ended first
	DuplicateReplies int                     // replies beyond the first
	Retried          int                     // submissions that repeat an earlier one
	Ended            int                     // placed containers whose termination a client received
	Evicted          int                     // of the ended, for memory
	Lost             int                     // of the ended, with their machine
	Unsent           int                     // no scheduler could be reached
	Pending          int                     // without an answer when the clients closed
	PlacedLate       int                     // of the placed, those that took more than a second
	PlacementLatency *hdrhistogram.Histogram // in microseconds
}

// newLatencyHistogram counts latencies in microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// countPlaced counts a placement.
func (t *Tally) countPlaced(latency time.Duration) {
	t.Placed++
	// A latency above the histogram's bound is not recorded, the error is ignored: the placement still counts as late.
	_ = t.PlacementLatency.RecordValue(max(1, latency.Microseconds()))
	if latency > lateAfter {
		t.PlacedLate++
	}
}

// countRefused counts a reply that places nothing.
func (t *Tally) countRefused(verdict protocol.Verdict) {
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

// countEnded counts the end of a placed container.
func (t *Tally) countEnded(termination *protocol.Termination) {
	t.Ended++
	switch {
	case termination.Reason == protocol.ReasonOutOfMemory:
		t.Evicted++
	case termination.Outcome == protocol.OutcomeLost:
		t.Lost++
	}
}
