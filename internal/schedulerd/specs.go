package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// spec returns the container spec for an offer.
func (c *container) spec() protocol.ContainerSpec {
	r := &c.request
	return protocol.ContainerSpec{
		ContainerID:     string(r.ID),
		IdempotencyKey:  r.IdempotencyKey,
		Service:         r.Service,
		WorkloadClass:   r.WorkloadClass,
		Tenant:          r.Tenant,
		Cores:           r.Cores,
		Memory:          r.Memory,
		DedupWindow:     c.dedupWindow,
		ExpectedRuntime: protocol.Duration(r.ExpectedRuntime),
		ClientRetry:     r.ClientRetry,
	}
}

// requestFromSpec returns the request for a container spec, without a deadline.
func requestFromSpec(spec *protocol.ContainerSpec) scheduler.PlacementRequest {
	return scheduler.PlacementRequest{
		ID:              scheduler.ContainerID(spec.ContainerID),
		IdempotencyKey:  spec.IdempotencyKey,
		Service:         spec.Service,
		WorkloadClass:   spec.WorkloadClass,
		Tenant:          spec.Tenant,
		Cores:           spec.Cores,
		Memory:          spec.Memory,
		ExpectedRuntime: scheduler.Time(spec.ExpectedRuntime),
		ClientRetry:     spec.ClientRetry,
	}
}
