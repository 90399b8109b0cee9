package platformcheck

import (
	"time"

	"glenport/internal/platform/jsonlines"
)

// request is the record of a client's request.
type request struct {
	id, key, service   string
	class              workloadClass
	spread             spreadLimit // of the class
	client             *client
	line               string // the request as the client sends it
	sentAt, due        time.Duration
	readIteration      int  // of the event loop when the process read the last byte of the request; 0: not read
	connAcceptedLate   bool // wireSlack after the request was sent, its connection was not accepted yet
	excused            bool // no answer is expected any more
	onlyClaimed        bool // a client claimed that its container runs, but the request was never submitted
	falselyClaimed     bool // a client claimed that its container runs while the request was open
	memory             int  // requested memory
	answer             answer
	answerIteration    int // of the event loop when the process wrote the first byte of the answer
	answerMayBeDelayed bool
	cancelled          bool
	cancelIteration    int // of the event loop when the process read the cancellation
	offers             []*offer
	placement          *placement // of the accept that the client received
	placements         []*placement
}

// answer is the kind of answer that a client received.
type answer uint8

const (
	unanswered answer = iota
	accepted
	rejected // the container never ran
	failed
)

// offer is the record of an attempt as its machine observed it.
type offer struct {
	request         *request
	machine         *machine
	conn            *machineConn
	writtenAt       time.Duration // when the process wrote the first byte
	iteration       int           // of the event loop when the process wrote the first byte
	remainingMillis int           // time that the process waits for the answer, as stated in the offer
	mayBeDelayed    bool
	finishedAt      time.Duration // 0: in flight
	rejected        bool          // the machine rejected it; the container never ran
	rejectionRead   bool          // the process has read the rejection
	incarnation     int           // of the process
	releasedAt      time.Duration // when the process may stop counting the offer; 0: it must count the offer
	placement       *placement    // nil until the machine accepts
	acceptRead      bool          // the process has read the accept
}

// neverRan reports whether the process knows that the offer had no effect.
func (o *offer) neverRan() bool { return o.rejected && o.rejectionRead }

// finishedBefore reports whether the offer finished no later than another one.
func (o *offer) finishedBefore(other *offer) bool {
	return o.finishedAt != 0 && (other.finishedAt == 0 || o.finishedAt <= other.finishedAt)
}

// placement is the record of a container that a machine has accepted.
type placement struct {
	request                *request
	offer                  *offer
	machine                *machine
	conn                   *machineConn
	description            string
	endedAt                time.Duration   // 0: running
	acceptDelivered        bool            // the client received the accept
	cancelled              bool            // a client has cancelled it, so no end report is expected
	endRead                bool            // an incarnation of the process has read its end
	endReads               []time.Duration // times at which the process read its end
	endReadBy              int             // last incarnation of the process that has read its end
	endReported            bool
	knownBy                int // last incarnation of the process that knew that the container runs
	claimReadBy            int // last incarnation of the process that has read a claim that the container runs
	claimReadAt            time.Duration
	terminationIncarnation int  // last incarnation of the process that has read a client's order to end it
	endReportExcused       bool // no end report is expected, because the process may never have learned of the end
}

func (p *placement) runs() bool { return p.endedAt == 0 }

// endsFalseClaim reports whether a message reports the end of a container that a client falsely claimed to run while
// the request was open. Such a request is closed and has no accept.
func (r *request) endsFalseClaim(msg *jsonlines.Message) bool {
	return r.falselyClaimed && r.placement == nil && msg.Op == jsonlines.OpEnd && !r.awaitsAnswer()
}

// awaitsAnswer reports whether the process still has to answer the request.
func (r *request) awaitsAnswer() bool { return r.answer == unanswered && !r.cancelled && !r.excused }
