package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// explainReply explains why a container with the requested spec may wait. Known is false in the reply if the scheduler
// cannot explain it.
func (i *inspector) explainReply(f *protocol.ExplainRequest) *protocol.ExplainReply {
	reply := &protocol.ExplainReply{Seq: f.Seq, ListAge: -1}
	if age, received := i.discovery.SinceLastFrame(); received {
		reply.ListAge = protocol.Duration(age)
	}
	explanation, ok := i.decisions.explain(scheduler.PlacementRequest{
		IdempotencyKey: f.Spec.IdempotencyKey, Service: f.Spec.Service,
		WorkloadClass: f.Spec.WorkloadClass, Tenant: f.Spec.Tenant, Cores: f.Spec.Cores, Memory: f.Spec.Memory,
	})
	if !ok {
		return reply
	}
	reply.Known = true
	reply.Machines = explanation.Machines
	reply.Gone = explanation.Gone
	reply.WrongMachineType = explanation.WrongMachineType
	reply.Draining = explanation.Draining
	reply.TooSmall = explanation.TooSmall
	reply.SelfDraining = explanation.SelfDraining
	reply.SpreadExhausted = explanation.SpreadExhausted
	reply.SlowStartExhausted = explanation.SlowStartExhausted
	reply.Ejected = explanation.Ejected
	reply.Suspected = explanation.Suspected
	reply.InsufficientCores = explanation.InsufficientCores
	reply.InsufficientMemory = explanation.InsufficientMemory
	reply.Eligible = explanation.Eligible
	reply.SheddingLoad = explanation.SheddingLoad
	reply.FullRatio = explanation.FullRatio
	return reply
}
