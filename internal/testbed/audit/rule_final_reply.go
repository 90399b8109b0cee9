package audit

import (
	"fmt"
	"maps"
	"slices"

	"glenport/internal/protocol"
	"glenport/scheduler"
)

// handleSubmit records a placement request. A second submission of a container whose request has no reply yet is
// ignored: the reply to the first one is still due.
func (c *checker) handleSubmit(s *schedulerState, connection uint32, f *protocol.Submit) {
	c.report.Submitted++
	container := f.Spec.ContainerID
	if r := s.requests[container]; r != nil && r.replies == 0 {
		return
	}
	s.requests[container] = &request{
		container:    container,
		spec:         f.Spec,
		connectionID: connection,
		submittedAt:  c.now.at,
		deadline:     c.now.at + scheduler.Time(f.TimeToDeadline),
	}
}

// handleCancel records a cancel by key. A scheduler that no longer knows the container answers the cancel with a reply
// about the key. If the container was not submitted to this scheduler, this is the only reply. If it was, the reply to
// the cancel may come in addition to the reply to the request.
func (s *schedulerState) handleCancel(f *protocol.CancelContainer) {
	if f.IdempotencyKey == "" {
		return
	}
	if r := s.requests[f.ContainerID]; r != nil {
		r.unansweredCancels++
		return
	}
	s.lookups[f.ContainerID] = true
}

// handleTermination records that the client was notified of the end of its container. If a cancel by key ended the
// container, the notification is the answer to the cancel, and no reply to the cancel is due.
func (s *schedulerState) handleTermination(f *protocol.Termination) {
	r := s.requests[f.ContainerID]
	if r == nil {
		return
	}
	r.terminated = true
	stopped := f.Outcome == protocol.OutcomeStopped && f.Reason == protocol.ReasonNone
	if stopped && r.unansweredCancels > 0 {
		r.unansweredCancels--
	}
}

// answersCancel reports whether a further reply answers a cancel by key that crossed the end of its request. In that
// case the scheduler had already rejected or failed the request, or reported the end of its container, when it replied
// that the container is cancelled. Each cancel has one answer. If the cancel ended the request, the reply to the
// request is also the answer to the cancel.
func (r *request) answersCancel(f *protocol.PlacementReply) bool {
	if f.Verdict != protocol.VerdictFailed || f.Message != protocol.MessageCancelled || r.unansweredCancels == 0 {
		return false
	}
	r.unansweredCancels--
	return r.replies > 0 && (r.verdict != protocol.VerdictPlaced || r.terminated)
}

// handleReply checks that a reply is the only one to its request, that it is in time and that its verdict is allowed.
func (c *checker) handleReply(s *schedulerState, f *protocol.PlacementReply) {
	r := s.requests[f.ContainerID]
	if r == nil {
		if !s.lookups[f.ContainerID] {
			c.report.violate(RuleFinalReply, c.now.at, nil,
				"reply for container %s, which was not submitted to %s", f.ContainerID, s.name)
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
			"container %s gets its reply %.1f ms after the deadline", r.container, milliseconds(c.now.at-r.deadline))
	}
	r.verdict, r.repliedAt = f.Verdict, c.now.at
	if f.Verdict == protocol.VerdictRejected {
		c.duplicateRun.checkReject(r, c.now.at, text)
	}
}

// checkReplyCount checks that a request gets one reply. A further reply that refuses admission is not counted, as it
// answers a second submission of the container.
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

// checkRequestOpen checks that an offer belongs to a request that has no reply yet, and returns the request.
func (c *checker) checkRequestOpen(s *schedulerState, a *attempt) *request {
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

// abandon marks the requests selected by which as abandoned, because their connection, their scheduler or the recording
// has ended. No reply to them is due any more. A reply that is already overdue is a violation.
func (c *checker) abandon(s *schedulerState, which func(*request) bool) {
	for _, container := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[container]
		if !which(r) {
			continue
		}
		if r.replies == 0 && !r.abandoned {
			c.checkAbandoned(r)
		}
		r.abandoned = true
	}
}

func (c *checker) checkAbandoned(r *request) {
	if c.report.inTime(c.now, r.deadline+c.replyGrace()) {
		c.report.Abandoned++
		return
	}
	evidence := []string{fmt.Sprintf("%.1f ms submit %s, deadline in %.1f ms", milliseconds(r.submittedAt), r.container,
		milliseconds(r.deadline-r.submittedAt))}
	for _, a := range r.attempts {
		evidence = append(evidence, a.text)
	}
	c.report.violate(RuleFinalReply, r.deadline, evidence, "container %s gets no final reply", r.container)
}

// replyGrace returns how long after the deadline a reply may be recorded.
func (c *checker) replyGrace() scheduler.Time { return c.header.Config.AnswerGrace + c.header.Slack }
