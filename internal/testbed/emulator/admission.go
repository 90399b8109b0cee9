package emulator

import (
	"slices"
	"time"

	"glenport/internal/protocol"
)

// admission examines offers one at a time, in the order in which they came.
type admission struct {
	host      host
	spec      *MachineSpec
	behavior  *behavior
	runtime   *containerRuntime
	queue     []*container
	examining bool
}

// offer queues an offer to be examined, or refuses it at once.
func (a *admission) offer(c *container) {
	switch {
	case a.behavior.throttles(c.spec.Tenant):
		a.runtime.end(c, protocol.OutcomeFull, protocol.ReasonNone)
	case len(a.queue) >= a.spec.MaxQueuedOffers:
		a.runtime.end(c, protocol.OutcomeFull, protocol.ReasonQueueTooLong)
	default:
		a.queue = append(a.queue, c)
		a.examineNext()
	}
}

func (a *admission) examineNext() {
	if a.examining || len(a.queue) == 0 {
		return
	}
	a.examining = true
	a.host.after(a.behavior.vary(a.spec.AdmissionTime), func() {
		a.examining = false
		if len(a.queue) > 0 {
			c := a.queue[0]
			a.queue = a.queue[1:]
			a.examine(c)
		}
		a.examineNext()
	})
}

func (a *admission) examine(c *container) {
	if c.hasEnded() {
		return
	}
	if reason := a.refusal(c); reason != protocol.ReasonNone {
		a.runtime.end(c, protocol.OutcomeFull, reason)
		return
	}
	a.runtime.accept(c)
}

// refusal says why the machine does not take a container; ReasonNone where it does, and the container's idempotency key
// is then claimed.
func (a *admission) refusal(c *container) protocol.Reason {
	if a.host.refusesOffers() || time.Now().After(c.deadline) || !a.suits(c.spec.WorkloadClass) {
		return protocol.ReasonWrongMachine
	}
	if reason := a.runtime.shortage(&c.spec); reason != protocol.ReasonNone {
		return reason
	}
	if !a.runtime.claimKey(c) {
		return protocol.ReasonWrongMachine
	}
	return protocol.ReasonNone
}

// suits reports whether containers of a workload class may run on a machine of this type.
func (a *admission) suits(workload int) bool {
	if workload >= len(a.spec.RequiredMachineType) {
		return false
	}
	required := a.spec.RequiredMachineType[workload]
	return required < 0 || required == a.spec.MachineTypeIndex
}

// remove takes a container out of the queue, where it waits there.
func (a *admission) remove(c *container) {
	if i := slices.Index(a.queue, c); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// takeQueued takes the offers of a scheduler out of the queue.
func (a *admission) takeQueued(scheduler string) []*container {
	var taken, left []*container
	for _, c := range a.queue {
		if c.key.scheduler == scheduler {
			taken = append(taken, c)
		} else {
			left = append(left, c)
		}
	}
	a.queue = left
	return taken
}

func (a *admission) length() int { return len(a.queue) }

func (a *admission) reset() { a.queue, a.examining = nil, false }
