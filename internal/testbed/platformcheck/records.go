package platformcheck

import (
	"time"

	"glenport/internal/platform/jsonlines"
)

// request is a request of a client, with what became of it.
type request struct {
	id, key, service   string
	class              workloadClass
	spread             spreadLimit // of the class
	client             *client
	line               string
	sentAt, due        time.Duration
	readIteration      int // in which the process read its last byte; 0: not yet
	connAcceptedLate   bool
	excused            bool // no answer is owed any more
	onlyClaimed        bool // a client said that it runs, and never asked for it
	falselyClaimed     bool // a client said that it runs while it was open
	memory             int  // that it asks for
	answer             answer
	answerIteration    int // in which the answer's first byte was written
	answerMayBeDelayed bool
	cancelled          bool
	cancelIteration    int // in which the process read that
	offers             []*offer
	placement          *placement // of the accept that the client was given
	placements         []*placement
}

// answer is what a client was answered.
type answer uint8

const (
	unanswered answer = iota
	accepted
	rejected // it never ran
	failed
)

// offer is an attempt as its machine observed it.
type offer struct {
	request         *request
	machine         *machine
	conn            *machineConn
	writtenAt       time.Duration // its first byte
	iteration       int
	remainingMillis int // milliseconds that the process waits for the answer, as it says
	mayBeDelayed    bool
	finishedAt      time.Duration // 0: it is out
	rejected        bool          // the machine said that it never ran
	rejectionRead   bool          // the process has read that
	incarnation     int           // of the process
	releasedAt      time.Duration // since when the process need not count it any more; 0: it does
	placement       *placement    // nil until the machine accepts
	acceptRead      bool          // the process has read that
}

// neverRan reports whether the process knows that the offer had no effect.
func (o *offer) neverRan() bool { return o.rejected && o.rejectionRead }

// finishedBefore reports whether the offer was over when the other one was not.
func (o *offer) finishedBefore(other *offer) bool {
	return o.finishedAt != 0 && (other.finishedAt == 0 || o.finishedAt <= other.finishedAt)
}

// placement is a container that a machine has accepted.
type placement struct {
	request         *request
	offer           *offer
	machine         *machine
	conn            *machineConn
	description     string
	endedAt         time.Duration   // 0: it runs
	acceptDelivered bool            // the client was given its accept
	cancelled       bool            // its client has ended it: no release is owed
	endRead         bool            // a process has read that it ended
	endReads        []time.Duration // when a process has read that
	endReadBy       int             // the incarnation of the process that has read it last
	endReported     bool
	knownBy         int // the incarnation of the process that was told last that it runs
	claimReadBy     int // the incarnation of the process that was told last by a client that it runs
	claimReadAt     time.Duration
	endNotOwed      bool // it was cut when no process held it, and nobody reports that
}

func (p *placement) runs() bool { return p.endedAt == 0 }

// endsFalseClaim reports whether a message is the end of what a client has claimed to run while the request was open. The
// request is over, and did not get there.
func (r *request) endsFalseClaim(msg *jsonlines.Message) bool {
	return r.falselyClaimed && r.placement == nil && msg.Op == jsonlines.OpEnd && !r.awaitsAnswer()
}

// awaitsAnswer reports whether the process owes an answer.
func (r *request) awaitsAnswer() bool { return r.answer == unanswered && !r.cancelled && !r.excused }
