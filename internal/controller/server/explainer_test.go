package server

import (
	"testing"

	"glenport/internal/controller"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
)

// pendingContainer publishes a job, marks a scheduler as connected, and returns a pending container of the job.
func pendingContainer(s *Server) controller.Container {
	s.publisher.put(KindJobs, "reports", validJob())
	s.schedulers[1].connected = true
	return controller.Container{Job: "reports", State: controller.StatePending, Scheduler: -1}
}

func TestExplainRequestsOfAJobShareAReply(t *testing.T) {
	s := openServer(t)
	c := pendingContainer(s)
	var replies []*protocol.ExplainReply
	collect := func(reply *protocol.ExplainReply) { replies = append(replies, reply) }
	s.explainer.explain(c, collect)
	c.Index = 1
	s.explainer.explain(c, collect)
	testutil.Require(t, len(replies) == 0 && len(s.explainer.openRequests) == 1,
		"%d replies and %d open requests, want one request", len(replies), len(s.explainer.openRequests))
	reply := &protocol.ExplainReply{Seq: s.explainer.lastSeq, Known: true, Machines: 7}
	s.explainer.finish(reply.Seq, reply)
	s.explainer.finish(reply.Seq, nil) // the timeout, after the reply
	s.explainer.explain(c, collect)
	testutil.Require(t, len(replies) == 3 && len(s.explainer.openRequests) == 0,
		"%d replies and %d open requests, want three replies", len(replies), len(s.explainer.openRequests))
	for _, got := range replies {
		testutil.Expect(t, got == reply, "got %+v, want the shared reply", got)
	}
	facts := s.pendingFacts(c, reply)
	if !facts.HasExplanation || facts.Explanation.Machines != 7 || facts.Schedulers != 2 ||
		facts.SchedulersConnected != 1 || facts.SchedulerConnected {
		t.Errorf("unexpected facts: %+v", facts)
	}
}

func TestUnansweredExplainRequestEndsWithoutReply(t *testing.T) {
	s := openServer(t)
	c := pendingContainer(s)
	answers := 0
	s.explainer.explain(c, func(reply *protocol.ExplainReply) {
		if answers++; reply != nil {
			t.Errorf("got %+v, want none", reply)
		}
	})
	s.explainer.finish(s.explainer.lastSeq, nil)
	testutil.Expect(t, answers == 1 && len(s.explainer.recentExplanations) == 0,
		"%d answers and %d recent replies, want one answer and no recent reply",
		answers, len(s.explainer.recentExplanations))
}

func TestNoExplainRequestIsSentWithoutAPendingContainerJobAndScheduler(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Server, *controller.Container)
	}{
		{"running", func(_ *Server, c *controller.Container) { c.State = controller.StateRunning }},
		{"completed", func(_ *Server, c *controller.Container) { c.State = controller.StateCompleted }},
		{"no scheduler connected", func(s *Server, _ *controller.Container) { s.schedulers[1].connected = false }},
		{"unknown job", func(_ *Server, c *controller.Container) { c.Job = "none" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := openServer(t)
			c := pendingContainer(s)
			tc.change(s, &c)
			answers := 0
			s.explainer.explain(c, func(reply *protocol.ExplainReply) {
				if answers++; reply != nil {
					t.Errorf("got %+v, want none", reply)
				}
			})
			testutil.Expect(t, answers == 1 && len(s.explainer.openRequests) == 0,
				"%d answers, %d open requests", answers, len(s.explainer.openRequests))
		})
	}
}
