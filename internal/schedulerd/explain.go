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
	found, ok := i.decisions.explain(scheduler.PlacementRequest{
		IdempotencyKey: f.Spec.IdempotencyKey, Service: f.Spec.Service,
		WorkloadClass: f.Spec.WorkloadClass, Tenant: f.Spec.Tenant, Cores: f.Spec.Cores, Memory: f.Spec.Memory,
	})
	if !ok {
		return reply
	}
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
