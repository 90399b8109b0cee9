package schedulerd

import (
	"time"

	"glenport/internal/protocol"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes of attempts that are counted in addition to those that machines report. The names are part of the status.
const (
	statTimedOut       = "timed out"
	statLateAccept     = "late yes"
	statConnectFailed  = "no connection"
	statConnectionLost = "reset"
	statNotSent        = "not sent"
)

// Range of the placement latency, in microseconds, and its precision. What is beyond is not counted.
const (
	minLatency     = 1
	maxLatency     = 60_000_000
	latencyDigits  = 3
	microsPerMilli = 1000
)

// stats counts what a server does.
type stats struct {
	submitted        int
	running          int
	adopted          int
	undelivered      int // frames for clients that were gone
	attempts         int
	verdicts         map[protocol.Verdict]int
	outcomes         map[string]int
	batches          int // calls of the scheduler
	events           int
	deciding         time.Duration // in all calls of the scheduler
	slowestDecision  time.Duration
	firstAttempts    []time.Duration // submission times of containers whose first attempt is sent in this iteration
	placementLatency *hdrhistogram.Histogram
}

func newStats() stats {
	return stats{
		verdicts:         map[protocol.Verdict]int{},
		outcomes:         map[string]int{},
		placementLatency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

func (s *stats) countSubmission() { s.submitted++ }

func (s *stats) countOutcome(name string) { s.outcomes[name]++ }

func (s *stats) countAnswer(v protocol.Verdict) { s.verdicts[v]++ }

func (s *stats) countUndelivered() { s.undelivered++ }

func (s *stats) containerStarted() { s.running++ }

func (s *stats) containerEnded() { s.running-- }

// containerAdopted counts a container that was found running.
func (s *stats) containerAdopted() {
	s.running++
	s.adopted++
}

// countAttempt counts an offer that was sent.
func (s *stats) countAttempt(c *container) {
	s.attempts++
	if c.attempts == 1 {
		s.firstAttempts = append(s.firstAttempts, c.submittedAt)
	}
}

// flushed records how long first attempts took from the submission until they were written to the socket.
func (s *stats) flushed(now time.Duration) {
	for _, submittedAt := range s.firstAttempts {
		// fails beyond maxLatency only
		_ = s.placementLatency.RecordValue(max(minLatency, (now - submittedAt).Microseconds()))
	}
	s.firstAttempts = s.firstAttempts[:0]
}

func (s *stats) countBatch(took time.Duration, events int) {
	s.batches++
	s.events += events
	s.deciding += took
	s.slowestDecision = max(s.slowestDecision, took)
}
