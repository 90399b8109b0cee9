package emulator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"glenport/internal/protocol"
)

const defaultRuntime = time.Second

// resources is an amount of cores and memory.
type resources struct{ cores, memory float64 }

// containerRuntime starts and ends the containers of a machine and accounts for the resources reserved for them.
type containerRuntime struct {
	host         host
	spec         *MachineSpec
	behavior     *behavior
	dedup        *DedupGroup
	containers   map[attemptKey]*container
	reserved     resources
	starts       startQueue
	images       *imageCache
	totalStarted int
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

// sorted returns the containers ordered by attempt, so that random draws do not depend on map order.
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

// runningSpecs returns the specs of the running containers.
func (r *containerRuntime) runningSpecs() []protocol.ContainerSpec {
	var specs []protocol.ContainerSpec
	for _, c := range r.containers {
		if c.isRunning() {
			specs = append(specs, c.spec)
		}
	}
	return specs
}

// inventory lists the accepted and running containers of a scheduler.
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

// free returns the resources that are not reserved; they are negative on an overcommitted machine.
func (r *containerRuntime) free() resources {
	return resources{cores: r.spec.Cores - r.reserved.cores, memory: r.spec.Memory - r.reserved.memory}
}

// utilization returns the reserved fraction of the cores, at most 1.
func (r *containerRuntime) utilization() float64 { return min(1, r.reserved.cores/r.spec.Cores) }

// shortage returns the reason for which a container does not fit; ReasonNone if it fits.
func (r *containerRuntime) shortage(spec *protocol.ContainerSpec) protocol.Reason {
	switch {
	case r.reserved.cores+spec.Cores > r.spec.Cores*r.spec.AcceptCores:
		return protocol.ReasonNoCores
	case r.reserved.memory+spec.Memory > r.spec.Memory*r.spec.AcceptMemory:
		return protocol.ReasonNoMemory
	}
	return protocol.ReasonNone
}

// claimKey claims the idempotency key of a container if its class is deduplicated. It returns false if another
// container holds the key, or held it within the deduplication window.
func (r *containerRuntime) claimKey(c *container) bool {
	return c.spec.DedupWindow <= 0 || r.dedup.claim(c, fromProtocol(c.spec.DedupWindow))
}

// waitingStarts returns the number of accepted containers that wait to start.
func (r *containerRuntime) waitingStarts() int { return r.starts.length() }

// accept reserves the resources of a container and starts it once the limit of concurrent starts allows.
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

// startNext starts waiting containers up to the limit of concurrent starts.
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

// startTime draws the start time of a container of a service and puts the image into the cache.
func (r *containerRuntime) startTime(service string) time.Duration {
	took := float64(r.behavior.vary(r.spec.StartTime)) / r.host.startPace()
	if !r.images.has(service) {
		took *= max(1, r.spec.ImageMissFactor)
	}
	r.images.touch(service)
	return time.Duration(took)
}

// markRunning moves a started container to running, unless the scheduler no longer waits for the accept.
func (r *containerRuntime) markRunning(c *container) {
	if time.Now().After(c.deadline) && r.spec.AcceptMeansRunning {
		r.end(c, protocol.OutcomeFull, protocol.ReasonWrongMachine)
		return
	}
	c.applyOrLog(startCompleted)
	r.totalStarted++
	r.images.acquire(c.spec.Service)
	r.host.sendTo(c, &protocol.Accept{AttemptID: c.key.attemptID, Running: true})
	r.host.after(c.runtime(), func() {
		if !c.hasEnded() {
			r.end(c, protocol.OutcomeFinished, protocol.ReasonNone)
		}
	})
}

// end ends a container, frees its resources and sends the result to its scheduler.
func (r *containerRuntime) end(c *container, outcome protocol.Outcome, reason protocol.Reason) {
	r.discard(c)
	r.host.sendTo(c, &protocol.Result{
		AttemptID: c.key.attemptID, Outcome: outcome, Reason: reason, Report: r.host.report(),
	})
}

// discard ends a container and frees its resources without sending a result.
func (r *containerRuntime) discard(c *container) {
	last := c.state
	c.applyOrLog(containerTerminated)
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

// discardAll ends all containers without sending results.
func (r *containerRuntime) discardAll() {
	for _, c := range r.sorted() {
		r.discard(c)
	}
	r.reserved = resources{}
	r.starts.reset()
	r.images = newImageCache(r.spec.CachedImages)
}

// evacuateOne ends one running container, if any.
func (r *containerRuntime) evacuateOne() {
	for _, c := range r.sorted() {
		if c.isRunning() {
			r.end(c, protocol.OutcomeLost, protocol.ReasonDrained)
			return
		}
	}
}
