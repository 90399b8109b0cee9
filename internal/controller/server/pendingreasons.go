package server

import (
	"time"

	"glenport/internal/controller"
	"glenport/internal/controller/pending"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// reasonsTimeout is how long a client waits for reasons once the event loop has started to collect them.
const reasonsTimeout = 5 * time.Second

// PendingReasons returns the state of a container and the reasons why it does not run. It requests an explanation from
// a scheduler unless the container runs or is completed. Times in the reasons are Unix time in units of scheduler.Time.
// Errors are ErrNotFound and ErrStopped.
func (s *Server) PendingReasons(id string) (reasons []pending.Reason, state string, err error) {
	type result struct {
		reasons []pending.Reason
		state   string
	}
	results := make(chan result, 1)
	found := make(chan bool, 1)
	if !s.loop.Post(func() {
		c, ok := s.containers.find(id)
		if found <- ok; !ok {
			return
		}
		s.explainer.explain(c, func(reply *protocol.ExplainReply) {
			if latest, ok := s.containers.find(id); ok {
				c = latest
			}
			results <- result{pending.Explain(scheduler.Time(s.loop.Now()), s.pendingFacts(c, reply)), c.State.String()}
		})
	}) {
		return nil, "", ErrStopped
	}
	exists, err := receive(found, loopTimeout)
	if err != nil {
		return nil, "", err
	}
	if !exists {
		return nil, "", ErrNotFound
	}
	r, err := receive(results, reasonsTimeout)
	return r.reasons, r.state, err
}

// pendingFacts returns the facts that explain why a container is pending. reply is nil if no scheduler replied.
func (s *Server) pendingFacts(c controller.Container, reply *protocol.ExplainReply) pending.Facts {
	facts := pending.Facts{
		Container: c, Schedulers: len(s.schedulers), Zones: s.machines.zones(),
		SlowStartWindow: s.config.SchedulerConfig.Policy.SlowStartWindow,
	}
	for _, conn := range s.schedulers {
		if conn.connected {
			facts.SchedulersConnected++
			facts.SchedulerConnected = facts.SchedulerConnected || conn.number == c.Scheduler
		}
	}
	if reply != nil && reply.Known {
		facts.HasExplanation, facts.ListAge = true, scheduler.Time(reply.ListAge)
		facts.Explanation = explanationOf(reply)
	}
	return facts
}

func explanationOf(r *protocol.ExplainReply) scheduler.Explanation {
	return scheduler.Explanation{
		Machines: r.Machines, Gone: r.Gone, WrongMachineType: r.WrongMachineType, Draining: r.Draining,
		TooSmall: r.TooSmall, SelfDraining: r.SelfDraining, SpreadExhausted: r.SpreadExhausted,
		SlowStartExhausted: r.SlowStartExhausted, Ejected: r.Ejected, Suspected: r.Suspected,
		InsufficientCores: r.InsufficientCores, InsufficientMemory: r.InsufficientMemory, Eligible: r.Eligible,
		SheddingLoad: r.SheddingLoad, FullRatio: r.FullRatio,
	}
}
