package schedulerd

import (
	"time"

	"glenport/internal/protocol"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes of attempts that are counted in addition to the outcomes that machines report. The status shows the names.
const (
	statTimedOut       = "timed out"
	statLateAccept     = "late yes"
	statConnectFailed  = "no connection"
	statConnectionLost = "reset"
	statNotSent        = "not sent"
)

// Range of the placement latency in microseconds, and its precision. Larger values are not counted.
const (
	minLatency     = 1
	maxLatency     = 60_000_000
	latencyDigits  = 3
	microsPerMilli = 1000
)

// stats holds the counters of a server.
type stats struct {
	submissions             int
	runningContainers       int
	adoptions               int
	undeliveredFrames       int // frames that could not be sent to a client
	attempts                int
	verdicts                map[protocol.Verdict]int
	outcomes                map[string]int
	batches                 int // calls of the scheduler
	events                  int
	decisionTime            time.Duration // total over all calls of the scheduler
	slowestDecision         time.Duration
	firstAttemptSubmissions []time.Duration // of containers whose first attempt is sent in this iteration
	placementLatency        *hdrhistogram.Histogram
}

func newStats() stats {
	return stats{
		verdicts:         map[protocol.Verdict]int{},
		outcomes:         map[string]int{},
		placementLatency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

func (s *stats) countSubmission() { s.submissions++ }

func (s *stats) countOutcome(name string) { s.outcomes[name]++ }

func (s *stats) countAnswer(v protocol.Verdict) { s.verdicts[v]++ }

func (s *stats) countUndelivered() { s.undeliveredFrames++ }

func (s *stats) countStarted() { s.runningContainers++ }

func (s *stats) countEnded() { s.runningContainers-- }

// countAdopted counts an adopted container, which is already running.
func (s *stats) countAdopted() {
	s.runningContainers++
	s.adoptions++
}

// countAttempt counts an offer that was sent.
func (s *stats) countAttempt() { s.attempts++ }

// addFirstAttempt adds the submission time of a container whose first attempt is sent. The latency is recorded at the
// end of this iteration.
func (s *stats) addFirstAttempt(submittedAt time.Duration) {
	s.firstAttemptSubmissions = append(s.firstAttemptSubmissions, submittedAt)
}

// recordPlacementLatency records the time from the submission until the first attempt was written to the socket.
func (s *stats) recordPlacementLatency(now time.Duration) {
	for _, submittedAt := range s.firstAttemptSubmissions {
		// RecordValue fails only above maxLatency.
		_ = s.placementLatency.RecordValue(max(minLatency, (now - submittedAt).Microseconds()))
	}
	s.firstAttemptSubmissions = s.firstAttemptSubmissions[:0]
}

func (s *stats) countBatch(took time.Duration, events int) {
	s.batches++
	s.events += events
	s.decisionTime += took
	s.slowestDecision = max(s.slowestDecision, took)
}
