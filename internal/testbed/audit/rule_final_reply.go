package audit

import (
	"fmt"
	"maps"
	"slices"

	"glenport/internal/protocol"
	"glenport/scheduler"
)

// submitted takes a placement request. A second one of the same container leaves the first owed.
func (c *checker) submitted(s *schedulerState, connection uint32, f *protocol.Submit) {
	c.report.Submitted++
	container := f.Spec.ContainerID
	if r := s.requests[container]; r != nil && r.replies == 0 {
		return
	}
	s.requests[container] = &request{
		container:  container,
		spec:       f.Spec,
		connection: connection,
		submitted:  c.now.at,
		deadline:   c.now.at + scheduler.Time(f.TimeToDeadline),
	}
}

// cancelled notes a cancel by key: a reply says what became of the key where the scheduler knows the container no more.
// It is the only reply to a container that was not submitted here; a request may have got its own before.
func (s *schedulerState) cancelled(f *protocol.CancelContainer) {
	if f.IdempotencyKey == "" {
		return
	}
	if r := s.requests[f.ContainerID]; r != nil {
		r.keyedCancels++
		return
	}
	s.lookups[f.ContainerID] = true
}

// terminated notes that the client of a container was notified of its end. Where a cancel by key ended the container,
// that is the answer to the cancel, and no reply is due.
func (s *schedulerState) terminated(f *protocol.Termination) {
	r := s.requests[f.ContainerID]
	if r == nil {
		return
	}
	r.terminated = true
	stopped := f.Outcome == protocol.OutcomeStopped && f.Reason == protocol.ReasonNone
	if stopped && r.keyedCancels > 0 {
		r.keyedCancels--
	}
}

// answersCancel reports whether a further reply answers a cancel by key that crossed the end of its request: the
// scheduler had rejected or failed the request, or had reported the end of its container, and says that nothing runs.
// Each cancel has one answer; that of a request which it ended is its answer as well.
func (r *request) answersCancel(f *protocol.PlacementReply) bool {
	if f.Verdict != protocol.VerdictFailed || f.Message != protocol.MessageCancelled || r.keyedCancels == 0 {
		return false
	}
	r.keyedCancels--
	return r.replies > 0 && (r.verdict != protocol.VerdictPlaced || r.terminated)
}

// replied checks that a reply is the only one to its request, in time and allowed.
func (c *checker) replied(s *schedulerState, f *protocol.PlacementReply) {
	r := s.requests[f.ContainerID]
	if r == nil {
		if !s.lookups[f.ContainerID] {
			c.report.violate(RuleFinalReply, c.now.at, nil,
				"a reply for %s, which was not submitted to %s", f.ContainerID, s.name)
		}
		delete(s.lookups, f.ContainerID)
		return
	}
	if r.answersCancel(f) {
		return
	}
	c.report.Replies[f.Verdict]++
	text := fmt.Sprintf("%.1f ms reply for %s: %s", milliseconds(c.now.at), r.container, f.Verdict)
	c.checkReplyCount(r, f.Verdict, text)
	if !c.report.inTime(c.now, r.deadline+c.replyGrace()) {
		c.report.violate(RuleFinalReply, c.now.at, []string{text},
			"container %s gets its reply %.1f ms after its deadline", r.container, milliseconds(c.now.at-r.deadline))
	}
	r.verdict, r.repliedAt = f.Verdict, c.now.at
	if f.Verdict == protocol.VerdictRejected {
		c.duplicateRun.checkRejectIsSafe(r, c.now.at, text)
	}
}

// checkReplyCount counts a reply. A container submitted twice may be refused admission the second time.
func (c *checker) checkReplyCount(r *request, verdict protocol.Verdict, text string) {
	if r.replies > 0 && verdict == protocol.VerdictNotAdmitted {
		return
	}
	r.replies++
	if r.replies > 1 {
		earlier := fmt.Sprintf("%.1f ms reply for %s: %s", milliseconds(r.repliedAt), r.container, r.verdict)
		c.report.violate(RuleFinalReply, c.now.at, []string{earlier, text},
			"container %s gets %d replies", r.container, r.replies)
	}
}

// checkOfferIsOwed checks that an offer belongs to a request without a reply, and returns the request.
func (c *checker) checkOfferIsOwed(s *schedulerState, a *attempt) *request {
	r := s.requests[a.spec.ContainerID]
	if r == nil {
		c.report.violate(RuleFinalReply, c.now.at, []string{a.text},
			"container %s was not submitted to %s", a.spec.ContainerID, s.name)
		r = &request{container: a.spec.ContainerID, spec: a.spec, abandoned: true}
		s.requests[r.container] = r
	}
	if r.replies > 0 && !c.report.inTime(a.sent, r.repliedAt+c.header.Slack) {
		c.report.violate(RuleFinalReply, c.now.at, []string{a.text},
			"container %s is offered after its reply, %s at %.1f ms", r.container, r.verdict, milliseconds(r.repliedAt))
	}
	return r
}

// abandon ends requests whose connection or scheduler is gone: no reply is owed, unless one was due before.
func (c *checker) abandon(s *schedulerState, which func(*request) bool) {
	for _, container := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[container]
		if !which(r) {
			continue
		}
		if r.replies == 0 && !r.abandoned {
			c.checkReplyWasNotDue(r)
		}
		r.abandoned = true
	}
}

func (c *checker) checkReplyWasNotDue(r *request) {
	if c.report.inTime(c.now, r.deadline+c.replyGrace()) {
		c.report.Abandoned++
		return
	}
	evidence := []string{fmt.Sprintf("%.1f ms submit %s, deadline in %.1f ms", milliseconds(r.submitted), r.container,
		milliseconds(r.deadline-r.submitted))}
	for _, a := range r.attempts {
		evidence = append(evidence, a.text)
	}
	c.report.violate(RuleFinalReply, r.deadline, evidence, "container %s gets no final reply", r.container)
}

// replyGrace is how long after the deadline a reply may be recorded.
func (c *checker) replyGrace() scheduler.Time { return c.header.Config.AnswerGrace + c.header.Slack }
