package platformcheck

import (
	"fmt"
	"time"
)

// Violation is a violation of a rule that a peer observed.
type Violation struct {
	At   time.Duration
	Rule string
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.1f ms  %s: %s", float64(v.At)/float64(time.Millisecond), v.Rule, v.Text)
}

// The rules.
const (
	ruleAnswer    = "rule 1 (one final answer)"
	ruleEndReport = "rule 1 (ends are reported)"
	ruleDuplicate = "rule 2 (no duplicate effect)"
	ruleDraining  = "rule 3 (no offer to a draining machine)"
	ruleSlowStart = "rule 4 (slow start)"
	ruleSpread    = "rule 5 (spread limits)"
	ruleProcess   = "process"
)

// checker records the observations of the peers and checks the rules.
type checker struct {
	now        func() time.Duration
	after      func(time.Duration, func())
	requests   map[string]*request // by ID
	offersOf   map[string][]*offer // by service
	Violations []Violation
}

func (c *checker) report(rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{c.now(), rule, fmt.Sprintf(format, args...)})
}

// recordRequest records a sent request and schedules the check of its answer.
func (c *checker) recordRequest(r *request, left time.Duration) {
	r.sentAt = c.now()
	r.due = r.sentAt + left
	c.after(wireSlack, func() { r.connAcceptedLate = !r.client.conn.WasAccepted() })
	c.after(left+answerSlack+time.Second, func() { c.checkAnswered(r) })
}

func (c *checker) checkAnswered(r *request) {
	switch {
	case !r.awaitsAnswer():
	case r.connAcceptedLate && c.now() < r.due+5*time.Second:
		c.after(time.Second, func() { c.checkAnswered(r) })
	default:
		c.report(ruleAnswer, "request %s (%s) has no answer %v after its deadline", r.id, r.class.name, c.now()-r.due)
		r.excused = true
	}
}

// recordAnswer records and checks a line that answers a request.
func (c *checker) recordAnswer(r *request, a answer, line receivedLine) {
	if r.answer != unanswered {
		c.report(ruleAnswer, "request %s has a second answer", r.id)
		return
	}
	r.answer, r.answerIteration, r.answerMayBeDelayed = a, line.firstChunk.Iteration, line.mayBeDelayed()
	if line.lastChunk.WrittenAt > r.due+answerSlack && !r.connAcceptedLate && !line.mayBeDelayed() {
		c.report(ruleAnswer, "request %s is answered %v after its deadline", r.id, line.lastChunk.WrittenAt-r.due)
	}
	if r.cancelled && r.cancelIteration > 0 && r.answerIteration > r.cancelIteration && !line.mayBeDelayed() {
		c.report(ruleAnswer, "request %s is answered after its cancellation", r.id)
	}
	for _, o := range r.offers {
		c.checkOfferAfterEnd(o)
		c.checkRejection(o)
	}
}

// recordConnectionEnd checks a request that is open when the process closes its connection.
//
// A request that was sent just before the end may still be in transit. A request that was sent earlier must have been
// answered.
// The time in which the process was stalled, or in which the client left its input unread, does not count.
func (c *checker) recordConnectionEnd(r *request, transitLimit time.Duration) {
	if !r.awaitsAnswer() {
		return
	}
	r.excused = true
	if r.sentAt == 0 || !r.client.conn.WasAccepted() || r.client.conn.Congested() {
		return // the process need not answer a client that does not read
	}
	closedAt := r.client.conn.ClosedAt()
	waitedFrom := max(r.sentAt, r.client.unreadUntil)
	age := closedAt - waitedFrom - r.client.w.stalledWithin(waitedFrom, closedAt)
	switch {
	case r.readIteration > 0:
		c.report(ruleAnswer, "request %s was read, and its connection closed without an answer", r.id)
	case age > transitLimit:
		c.report(ruleAnswer, "request %s was left unread for %v, and its connection closed", r.id, age)
	}
}

// recordOffer records and checks an offer that a machine has received.
func (c *checker) recordOffer(o *offer) {
	r := o.request
	r.offers = append(r.offers, o)
	c.checkOfferAfterEnd(o)
	c.checkRejection(o)
	c.checkDraining(o)
	if o.remainingMillis <= 0 {
		c.report(ruleAnswer, "request %s is offered to %s with %d ms left", r.id, o.machine.id, o.remainingMillis)
	}
	c.after(300*time.Millisecond, func() { c.checkPairs(o) })
	c.offersOf[r.service] = append(c.offersOf[r.service], o)
	c.after(spreadCheckDelay, func() { c.checkSpread(o) })
}

// checkOfferAfterEnd checks that no offer is sent for an answered or cancelled request.
func (c *checker) checkOfferAfterEnd(o *offer) {
	r := o.request
	if o.mayBeDelayed {
		return
	}
	if r.answer != unanswered && !r.answerMayBeDelayed && o.iteration > r.answerIteration {
		c.report(ruleAnswer, "request %s is offered to %s after its answer", r.id, o.machine.id)
	}
	if r.cancelled && r.cancelIteration > 0 && o.iteration > r.cancelIteration {
		c.report(ruleAnswer, "request %s is offered to %s after its cancellation", r.id, o.machine.id)
	}
}

// checkRejection checks that a request of an unsafe class is rejected only if it never ran.
func (c *checker) checkRejection(o *offer) {
	r := o.request
	if r.answer == rejected && r.class.effect == effectUnsafe && !o.neverRan() {
		c.report(ruleDuplicate, "request %s (unsafe) is rejected although it may run on %s", r.id, o.machine.id)
	}
}

// checkDraining checks that the process sent the offer at most the grace period after it knew that the machine takes no
// offers.
func (c *checker) checkDraining(o *offer) {
	knownAt := o.machine.unavailableKnownAt
	if knownAt != 0 && o.writtenAt > knownAt+stopSendingWithin+wireSlack && !o.mayBeDelayed {
		c.report(ruleDraining, "request %s is offered to %s %v after the process knew that it is %s",
			o.request.id, o.machine.id, o.writtenAt-knownAt, o.machine.state)
	}
}

// checkPairs checks an offer against each other offer of its request.
func (c *checker) checkPairs(o *offer) {
	for _, other := range o.request.offers {
		switch {
		case other == o:
		case other.writtenAt < o.writtenAt, other.writtenAt == o.writtenAt && other.finishedBefore(o):
			c.checkPair(other, o)
		default:
			c.checkPair(o, other)
		}
	}
}

// checkPair checks that the second of two offers of a request was allowed.
func (c *checker) checkPair(first, second *offer) {
	if first.machine.partitioned || second.machine.partitioned || first.mayBeDelayed || second.mayBeDelayed {
		return
	}
	r := first.request
	elapsed := second.writtenAt - first.writtenAt
	switch {
	case first.finishedAt == 0 || first.finishedAt > second.writtenAt+20*time.Millisecond:
		c.report(ruleDuplicate, "request %s is offered to %s while its offer to %s is in flight",
			r.id, second.machine.id, first.machine.id)
	case first.neverRan() || r.class.effect == effectSafe:
	case r.class.effect == effectUnsafe:
		c.report(ruleDuplicate, "request %s (unsafe) is offered to %s although it may run on %s",
			r.id, second.machine.id, first.machine.id)
	case elapsed > keyedWindow+wireSlack:
		c.report(ruleDuplicate, "request %s (keyed) is offered to %s %v after it was offered to %s",
			r.id, second.machine.id, elapsed, first.machine.id)
	}
}
