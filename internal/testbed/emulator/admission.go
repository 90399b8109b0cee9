package emulator

import (
	"slices"
	"time"

	"glenport/internal/protocol"
)

// admission examines offers one at a time, in order of arrival.
type admission struct {
	host      host
	spec      *MachineSpec
	behavior  *behavior
	runtime   *containerRuntime
	queue     []*container
	examining bool
}

// offer queues an offer for examination, or rejects it at once.
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
	if reason := a.rejectReason(c); reason != protocol.ReasonNone {
		a.runtime.end(c, protocol.OutcomeFull, reason)
		return
	}
	a.runtime.accept(c)
}

// rejectReason returns the reason for which the machine rejects a container. ReasonNone means that the container fits
// and its idempotency key has been claimed.
func (a *admission) rejectReason(c *container) protocol.Reason {
	if a.host.rejectsOffers() || time.Now().After(c.deadline) || !a.suits(c.spec.WorkloadClass) {
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

// suits reports whether the machine is of the type that a workload class requires.
func (a *admission) suits(workload int) bool {
	if workload >= len(a.spec.RequiredMachineType) {
		return false
	}
	required := a.spec.RequiredMachineType[workload]
	return required < 0 || required == a.spec.MachineTypeIndex
}

// remove removes a container from the queue, if it is there.
func (a *admission) remove(c *container) {
	if i := slices.Index(a.queue, c); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// takeQueued removes the offers of a scheduler from the queue and returns them.
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
