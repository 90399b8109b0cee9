package platformcheck

import (
	"time"

	"glenport/internal/platform/jsonlines"
)

// request is a request of a client, with what became of it.
type request struct {
	call, key, service string
	class              workloadClass
	spread             spreadLimit // of the class
	client             *client
	line               string
	sentAt, due        time.Duration
	readIteration      int // in which the process read its last byte; 0: not yet
	acceptedLate       bool
	excused            bool // no answer is owed any more
	onlyClaimed        bool // a client said that it runs, and never asked for it
	liedAbout          bool // a client said that it runs while it was open
	memory             int  // that it asks for
	answer             answer
	answerIteration    int // in which the answer's first byte was written
	answerHeldUp       bool
	givenUp            bool
	giveUpIteration    int // in which the process read that
	offers             []*offer
	placement          *placement // of the accept that the client was given
	placements         []*placement
}

// answer is what a client was answered.
type answer uint8

const (
	unanswered answer = iota
	accepted
	refused // it never ran
	failed
)

// offer is an attempt as its machine observed it.
type offer struct {
	request     *request
	machine     *machine
	conn        *machineConn
	writtenAt   time.Duration // its first byte
	iteration   int
	left        int // milliseconds that the process waits for the answer, as it says
	heldUp      bool
	overAt      time.Duration // 0: it is out
	refused     bool          // the machine said that it never ran
	refusalRead bool          // the process has read that
	incarnation int           // of the process
	releasedAt  time.Duration // since when the process need not count it any more; 0: it does
	placement   *placement    // nil until the machine accepts
	acceptRead  bool          // the process has read that
}

// neverRan reports whether the process knows that the offer had no effect.
func (o *offer) neverRan() bool { return o.refused && o.refusalRead }

// isOverBefore reports whether the offer was over when the other one was not.
func (o *offer) isOverBefore(other *offer) bool {
	return o.overAt != 0 && (other.overAt == 0 || o.overAt <= other.overAt)
}

// placement is a container that a machine has accepted.
type placement struct {
	request     *request
	offer       *offer
	machine     *machine
	conn        *machineConn
	description string
	endedAt     time.Duration   // 0: it runs
	known       bool            // the client was given its accept
	ordered     bool            // its client has ended it: no release is owed
	releaseRead bool            // a process has read that it ended
	endReads    []time.Duration // when a process has read that
	endReadBy   int             // the incarnation of the process that has read it last
	told        bool
	heldBy      int // the incarnation of the process that was told last that it runs
	claimedFrom int // the incarnation of the process that was told last by a client that it runs
	claimedAt   time.Duration
	unknowable  bool // it was cut when no process held it, and nobody reports that
}

func (p *placement) runs() bool { return p.endedAt == 0 }

// isEndOfLie reports whether a message is the end of what a client has claimed to run while the request was open. The
// request is over, and did not get there.
func (r *request) isEndOfLie(msg *jsonlines.Message) bool {
	return r.liedAbout && r.placement == nil && msg.Op == jsonlines.OpEnd && !r.owed()
}

// owed reports whether the process owes an answer.
func (r *request) owed() bool { return r.answer == unanswered && !r.givenUp && !r.excused }
