package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// explainer is a Scheduler that can explain why a request may find no machine.
type explainer interface {
	Explain(scheduler.PlacementRequest) scheduler.Explanation
}

// explainReply explains why a container like that of the request may wait, if the scheduler can explain it.
func (s *Server) explainReply(f *protocol.ExplainRequest) *protocol.ExplainReply {
	reply := &protocol.ExplainReply{Seq: f.Seq, ListAge: -1}
	if s.discovery.lastFrameAt > 0 {
		reply.ListAge = protocol.Duration(s.loop.Now() - s.discovery.lastFrameAt)
	}
	e, ok := s.scheduler.(explainer)
	if !ok {
		return reply
	}
	found := e.Explain(scheduler.PlacementRequest{
		IdempotencyKey: f.Spec.IdempotencyKey, Service: f.Spec.Service,
		WorkloadClass: f.Spec.WorkloadClass, Tenant: f.Spec.Tenant, Cores: f.Spec.Cores, Memory: f.Spec.Memory,
	})
	reply.Known = true
	reply.Machines = found.Machines
	reply.Gone = found.Gone
	reply.WrongMachineType = found.WrongMachineType
	reply.Draining = found.Draining
	reply.TooSmall = found.TooSmall
	reply.SelfDraining = found.SelfDraining
	reply.SpreadExhausted = found.SpreadExhausted
	reply.SlowStartExhausted = found.SlowStartExhausted
	reply.Ejected = found.Ejected
	reply.Suspected = found.Suspected
	reply.InsufficientCores = found.InsufficientCores
	reply.InsufficientMemory = found.InsufficientMemory
	reply.Eligible = found.Eligible
	reply.SheddingLoad = found.SheddingLoad
	reply.FullRatio = found.FullRatio
	return reply
}
