package emulator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"glenport/internal/protocol"
)

const defaultRuntime = time.Second

// resources are an amount of cores and memory.
type resources struct{ cores, memory float64 }

// containerRuntime has the containers of a machine and what is reserved for them. It starts those that were accepted
// and ends them.
type containerRuntime struct {
	host       host
	spec       *MachineSpec
	behavior   *behavior
	dedup      *DedupGroup
	containers map[attemptKey]*container
	reserved   resources
	starts     startQueue
	images     *imageCache
	totalRan   int
}

func newContainerRuntime(h host, spec *MachineSpec, b *behavior, dedup *DedupGroup) *containerRuntime {
	return &containerRuntime{
		host:       h,
		spec:       spec,
		behavior:   b,
		dedup:      dedup,
		containers: map[attemptKey]*container{},
		starts:     startQueue{limit: max(1, spec.ConcurrentStarts)},
		images:     newImageCache(spec.CachedImages),
	}
}

func (r *containerRuntime) add(c *container) { r.containers[c.key] = c }

func (r *containerRuntime) find(key attemptKey) *container { return r.containers[key] }

// sorted orders by attempt, so that chance does not depend on map order.
func (r *containerRuntime) sorted() []*container {
	all := make([]*container, 0, len(r.containers))
	for _, c := range r.containers {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *container) int {
		return cmp.Or(
			cmp.Compare(a.key.attemptID, b.key.attemptID),
			strings.Compare(a.key.scheduler, b.key.scheduler),
			cmp.Compare(a.key.incarnation, b.key.incarnation),
		)
	})
	return all
}

// runningSpecs lists what runs.
func (r *containerRuntime) runningSpecs() []protocol.ContainerSpec {
	var specs []protocol.ContainerSpec
	for _, c := range r.containers {
		if c.isRunning() {
			specs = append(specs, c.spec)
		}
	}
	return specs
}

// inventory lists what the machine holds for a scheduler.
func (r *containerRuntime) inventory(scheduler string) []protocol.InventoryItem {
	var items []protocol.InventoryItem
	for _, c := range r.sorted() {
		if c.key.scheduler == scheduler && c.holdsResources() {
			items = append(items, protocol.InventoryItem{
				SchedulerIncarnation: c.key.incarnation,
				AttemptID:            c.key.attemptID,
				Running:              c.isRunning(),
				Spec:                 c.spec,
			})
		}
	}
	return items
}

// free is what is not reserved; it is negative where the machine accepts more than its size.
func (r *containerRuntime) free() resources {
	return resources{cores: r.spec.Cores - r.reserved.cores, memory: r.spec.Memory - r.reserved.memory}
}

// utilization is the reserved part of the cores, at most 1.
func (r *containerRuntime) utilization() float64 { return min(1, r.reserved.cores/r.spec.Cores) }

// shortage says which resource a container would exceed; ReasonNone where it fits.
func (r *containerRuntime) shortage(spec *protocol.ContainerSpec) protocol.Reason {
	switch {
	case r.reserved.cores+spec.Cores > r.spec.Cores*r.spec.AcceptCores:
		return protocol.ReasonNoCores
	case r.reserved.memory+spec.Memory > r.spec.Memory*r.spec.AcceptMemory:
		return protocol.ReasonNoMemory
	}
	return protocol.ReasonNone
}

// claimKey claims a container's idempotency key, where it has one that is deduplicated; false where another copy runs,
// or ran within its window.
func (r *containerRuntime) claimKey(c *container) bool {
	return c.spec.DedupWindow <= 0 || r.dedup.claim(c, fromProtocol(c.spec.DedupWindow))
}

// waitingStarts is the number of accepted containers that wait to be started.
func (r *containerRuntime) waitingStarts() int { return r.starts.length() }

// accept reserves a container's resources and starts it as soon as the limit on starts allows.
func (r *containerRuntime) accept(c *container) {
	c.applyOrLog(offerAccepted)
	r.reserved.cores += c.spec.Cores
	r.reserved.memory += c.spec.Memory
	if !r.spec.AcceptMeansRunning {
		r.host.sendTo(c, &protocol.Accept{AttemptID: c.key.attemptID})
	}
	r.starts.push(c)
	r.startNext()
}

// startNext starts accepted containers, as many at a time as the machine may.
func (r *containerRuntime) startNext() {
	for {
		c, ok := r.starts.next()
		if !ok {
			return
		}
		r.host.after(r.startTime(c.spec.Service), func() {
			r.starts.done()
			if !c.hasEnded() {
				r.markRunning(c)
			}
			r.startNext()
		})
	}
}

// startTime is how long a container of a service takes to start, whose image is then in the cache.
func (r *containerRuntime) startTime(service string) time.Duration {
	took := float64(r.behavior.vary(r.spec.StartTime)) / r.host.startPace()
	if !r.images.has(service) {
		took *= max(1, r.spec.ImageMissFactor)
	}
	r.images.touch(service)
	return time.Duration(took)
}

// markRunning makes a started container run, unless its scheduler has stopped waiting for it.
func (r *containerRuntime) markRunning(c *container) {
	if time.Now().After(c.deadline) && r.spec.AcceptMeansRunning {
		r.end(c, protocol.OutcomeFull, protocol.ReasonWrongMachine)
		return
	}
	c.applyOrLog(startCompleted)
	r.totalRan++
	r.images.acquire(c.spec.Service)
	r.host.sendTo(c, &protocol.Accept{AttemptID: c.key.attemptID, Running: true})
	r.host.after(c.runtime(), func() {
		if !c.hasEnded() {
			r.end(c, protocol.OutcomeFinished, protocol.ReasonNone)
		}
	})
}

// end ends a container, frees what it held and sends the result to its scheduler.
func (r *containerRuntime) end(c *container, outcome protocol.Outcome, reason protocol.Reason) {
	r.discard(c)
	r.host.sendTo(c, &protocol.Result{
		AttemptID: c.key.attemptID, Outcome: outcome, Reason: reason, Report: r.host.report(),
	})
}

// discard ends a container without a result to its scheduler.
func (r *containerRuntime) discard(c *container) {
	last := c.state
	c.applyOrLog(containerGone)
	delete(r.containers, c.key)
	switch last {
	case containerAccepted:
		r.unreserve(c)
		r.dedup.cancel(c)
	case containerRunning:
		r.unreserve(c)
		r.host.containerStopped(c.spec.ContainerID)
		r.images.release(c.spec.Service)
		r.dedup.expire(c)
	case containerOffered, containerEnded:
	}
}

func (r *containerRuntime) unreserve(c *container) {
	r.reserved.cores -= c.spec.Cores
	r.reserved.memory -= c.spec.Memory
}

// discardAll ends all containers without a result.
func (r *containerRuntime) discardAll() {
	for _, c := range r.sorted() {
		r.discard(c)
	}
	r.reserved = resources{}
	r.starts.reset()
	r.images = newImageCache(r.spec.CachedImages)
}

// evacuateOne ends a running container, if there is one.
func (r *containerRuntime) evacuateOne() {
	for _, c := range r.sorted() {
		if c.isRunning() {
			r.end(c, protocol.OutcomeLost, protocol.ReasonDrained)
			return
		}
	}
}
