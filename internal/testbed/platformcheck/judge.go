package platformcheck

import (
	"fmt"
	"time"
)

// Violation is a broken rule, as a peer observed it.
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
	ruleEndReport = "rule 1 (ends are told)"
	ruleDuplicate = "rule 2 (no effect twice)"
	ruleDraining  = "rule 3 (nothing to a machine that drains)"
	ruleSlowStart = "rule 4 (slow start)"
	ruleSpread    = "rule 5 (spread kept)"
	ruleProcess   = "process"
)

// checker keeps account of what the peers observe.
type checker struct {
	now        func() time.Duration
	after      func(time.Duration, func())
	requests   map[string]*request // by call
	offersOf   map[string][]*offer // by service
	Violations []Violation
}

func (j *checker) report(rule, format string, args ...any) {
	j.Violations = append(j.Violations, Violation{j.now(), rule, fmt.Sprintf(format, args...)})
}

// recordRequest notes a request and has its answer checked in time.
func (j *checker) recordRequest(r *request, left time.Duration) {
	r.sentAt = j.now()
	r.due = r.sentAt + left
	j.after(wireSlack, func() { r.connAcceptedLate = !r.client.conn.WasAccepted() })
	j.after(left+answerSlack+time.Second, func() { j.checkAnswered(r) })
}

func (j *checker) checkAnswered(r *request) {
	switch {
	case !r.awaitsAnswer():
	case r.connAcceptedLate && j.now() < r.due+5*time.Second:
		j.after(time.Second, func() { j.checkAnswered(r) })
	default:
		j.report(ruleAnswer, "request %s (%s) has no answer %v after its time", r.id, r.class.name, j.now()-r.due)
		r.excused = true
	}
}

// recordAnswer takes in a line to a client that ends or accepts a request.
func (j *checker) recordAnswer(r *request, a answer, line receivedLine) {
	if r.answer != unanswered {
		j.report(ruleAnswer, "request %s has a second answer", r.id)
		return
	}
	r.answer, r.answerIteration, r.answerMayBeDelayed = a, line.first.Iteration, line.mayBeDelayed()
	if line.last.WrittenAt > r.due+answerSlack && !r.connAcceptedLate && !line.mayBeDelayed() {
		j.report(ruleAnswer, "request %s is answered %v after its time", r.id, line.last.WrittenAt-r.due)
	}
	if r.cancelled && r.cancelIteration > 0 && r.answerIteration > r.cancelIteration && !line.mayBeDelayed() {
		j.report(ruleAnswer, "request %s is answered after its client took it back", r.id)
	}
	for _, o := range r.offers {
		j.checkOfferAfterEnd(o)
		j.checkRejection(o)
	}
}

// recordConnectionEnd takes in that the process has closed a connection on which a request is open.
//
// A request may cross the end of its connection on the way: one that was sent longer ago than that is lost, but for the
// time in which the process was not run, or was closing a connection whose client did not take the output before it.
func (j *checker) recordConnectionEnd(r *request, onItsWay time.Duration) {
	if !r.awaitsAnswer() {
		return
	}
	r.excused = true
	if r.sentAt == 0 || !r.client.conn.WasAccepted() || r.client.conn.Congested() {
		return // the rest of an answer that a client does not take is not owed
	}
	closedAt := r.client.conn.ClosedAt()
	waitedFrom := max(r.sentAt, r.client.unreadEnd)
	age := closedAt - waitedFrom - r.client.w.stalledWithin(waitedFrom, closedAt)
	switch {
	case r.readIteration > 0:
		j.report(ruleAnswer, "request %s was read, and its connection closed without an answer", r.id)
	case age > onItsWay:
		j.report(ruleAnswer, "request %s was left unread for %v, and its connection closed", r.id, age)
	}
}

// recordOffer takes in an offer that has come whole to a machine.
func (j *checker) recordOffer(o *offer) {
	r := o.request
	r.offers = append(r.offers, o)
	j.checkOfferAfterEnd(o)
	j.checkRejection(o)
	j.checkDraining(o)
	if o.remainingMillis <= 0 {
		j.report(ruleAnswer, "request %s is offered to %s with %d ms left", r.id, o.machine.id, o.remainingMillis)
	}
	j.after(300*time.Millisecond, func() { j.checkPairs(o) })
	j.offersOf[r.service] = append(j.offersOf[r.service], o)
	j.after(spreadCheckDelay, func() { j.checkSpread(o) })
}

// checkOfferAfterEnd checks that nothing is sent for a request that has its answer or was taken back.
func (j *checker) checkOfferAfterEnd(o *offer) {
	r := o.request
	if o.mayBeDelayed {
		return
	}
	if r.answer != unanswered && !r.answerMayBeDelayed && o.iteration > r.answerIteration {
		j.report(ruleAnswer, "request %s is offered to %s after its answer", r.id, o.machine.id)
	}
	if r.cancelled && r.cancelIteration > 0 && o.iteration > r.cancelIteration {
		j.report(ruleAnswer, "request %s is offered to %s after its client took it back", r.id, o.machine.id)
	}
}

// checkRejection checks that a client is told of no effect only where that is so.
func (j *checker) checkRejection(o *offer) {
	r := o.request
	if r.answer == rejected && r.class.effect == effectUnsafe && !o.neverRan() {
		j.report(ruleDuplicate, "request %s (unsafe) is refused although it may run on %s", r.id, o.machine.id)
	}
}

// checkDraining checks that the process was not told long ago that the machine takes nothing new.
func (j *checker) checkDraining(o *offer) {
	told := o.machine.unavailableKnownAt
	if told != 0 && o.writtenAt > told+stopSendingWithin+wireSlack && !o.mayBeDelayed {
		j.report(ruleDraining, "request %s is offered to %s %v after it was told to be %s",
			o.request.id, o.machine.id, o.writtenAt-told, o.machine.state)
	}
}

// checkPairs checks an offer against each other one of its request.
func (j *checker) checkPairs(o *offer) {
	for _, other := range o.request.offers {
		switch {
		case other == o:
		case other.writtenAt < o.writtenAt, other.writtenAt == o.writtenAt && other.finishedBefore(o):
			j.checkPair(other, o)
		default:
			j.checkPair(o, other)
		}
	}
}

// checkPair checks that the later one of two offers was allowed.
func (j *checker) checkPair(first, second *offer) {
	if first.machine.partitioned || second.machine.partitioned || first.mayBeDelayed || second.mayBeDelayed {
		return
	}
	r := first.request
	outFor := second.writtenAt - first.writtenAt
	switch {
	case first.finishedAt == 0 || first.finishedAt > second.writtenAt+20*time.Millisecond:
		j.report(ruleDuplicate, "request %s is offered to %s while it is out to %s",
			r.id, second.machine.id, first.machine.id)
	case first.neverRan() || r.class.effect == effectSafe:
	case r.class.effect == effectUnsafe:
		j.report(ruleDuplicate, "request %s (unsafe) is offered to %s although it may run on %s",
			r.id, second.machine.id, first.machine.id)
	case outFor > keyedWindow+wireSlack:
		j.report(ruleDuplicate, "request %s (keyed) is offered to %s %v after %s",
			r.id, second.machine.id, outFor, first.machine.id)
	}
}
