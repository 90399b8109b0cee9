package scheduler

import (
	"cmp"
	"slices"
)

// containerRegistry owns the containers, their services, and their reservations on machines and of tenant quotas.
type containerRegistry struct {
	classes    []WorkloadClass
	quotas     *tenantQuotas
	containers map[ContainerID]*container
	services   map[string]*service
}

func newContainerRegistry(classes []WorkloadClass, quotas *tenantQuotas) *containerRegistry {
	return &containerRegistry{
		classes:    classes,
		quotas:     quotas,
		containers: map[ContainerID]*container{},
		services:   map[string]*service{},
	}
}

// find returns the container, or nil if it is unknown.
func (r *containerRegistry) find(id ContainerID) *container { return r.containers[id] }

// findPlaced returns a container that has a machine, because its attempt is open or because it runs. It returns nil if
// the container has no machine or is unknown.
func (r *containerRegistry) findPlaced(id ContainerID) *container {
	c := r.containers[id]
	if c == nil || c.machine == nil {
		return nil
	}
	return c
}

// add registers a container for a request. It returns nil if the configuration does not have the workload class.
func (r *containerRegistry) add(request PlacementRequest) *container {
	c := r.newUnregistered(request)
	if c == nil {
		return nil
	}
	c.service.containers++
	r.services[request.Service] = c.service
	r.containers[request.ID] = c
	return c
}

// newUnregistered returns a container that is not in the registry, to explain or add a request. It returns nil if the
// configuration does not have the workload class.
func (r *containerRegistry) newUnregistered(request PlacementRequest) *container {
	if request.WorkloadClass >= len(r.classes) {
		return nil
	}
	svc := r.services[request.Service]
	if svc == nil {
		svc = &service{name: request.Service, hash: hash(request.Service), reservations: map[*machine]int{}}
	}
	return &container{request: request, class: &r.classes[request.WorkloadClass], service: svc}
}

// close records that the client needs no further answer. The container is removed now, or by a later call once its
// open attempt has an outcome.
func (r *containerRegistry) close(c *container) {
	c.closed = true
	if c.machine != nil {
		return
	}
	delete(r.containers, c.request.ID)
	for _, m := range c.excludedMachines {
		m.exclusions--
	}
	c.service.containers--
	if c.service.containers == 0 {
		delete(r.services, c.service.name)
	}
}

// startAttempt records an attempt that is sent to a machine.
func (r *containerRegistry) startAttempt(c *container, m *machine, now Time) {
	c.attempts++
	r.reserve(c, m, now)
}

// adopt records a container that already runs, from an attempt of an earlier incarnation of the scheduler.
func (r *containerRegistry) adopt(c *container, m *machine, now Time) {
	c.attempts = 1
	c.accepted = true
	r.reserve(c, m, now)
}

// endAttempt releases the reservations of the container's attempt and returns the state that the attempt had before.
func (r *containerRegistry) endAttempt(c *container) endedAttempt {
	attempt := endedAttempt{
		container: c,
		machine:   c.machine,
		sentAt:    c.sentAt,
		accepted:  c.accepted,
		silent:    c.machineIsSilent(),
	}
	c.accepted = false
	r.release(c)
	return attempt
}

// reserve reserves resources on the machine and of the tenant's quota, from the send of an attempt to its outcome.
func (r *containerRegistry) reserve(c *container, m *machine, now Time) {
	c.machine = m
	c.sentAt = now
	c.usedResources = c.requested()
	c.service.reservations[m]++
	m.load.reserve(c.requested())
	r.quotas.reserve(c.request.Tenant, c.request.Cores)
}

// release undoes reserve.
func (r *containerRegistry) release(c *container) {
	m := c.machine
	c.machine = nil
	c.service.reservations[m]--
	if c.service.reservations[m] == 0 {
		delete(c.service.reservations, m)
	}
	m.load.release(c.requested(), c.usedResources)
	r.quotas.release(c.request.Tenant, c.request.Cores)
}

// reportUse records the measured use of a container that has a machine. Metrics other than cores and memory are
// ignored.
func (r *containerRegistry) reportUse(c *container, metric UsageMetric, value float64) {
	used := c.usedResources
	switch metric {
	case MetricCoresUsed:
		used.cores = value
	case MetricMemoryUsed:
		used.memory = value
	case MetricRunning, MetricServedShare, MetricMachineMemory:
	default:
	}
	c.machine.load.replaceUse(c.usedResources, used)
	c.usedResources = used
}

// silentMachines returns the machines that have sent nothing since an attempt was sent to them more than span ago.
func (r *containerRegistry) silentMachines(span, now Time) map[*machine]bool {
	silent := map[*machine]bool{}
	for _, c := range r.containers {
		if c.machine != nil && !c.accepted && c.machineIsSilent() && now-c.sentAt > span {
			silent[c.machine] = true
		}
	}
	return silent
}

// deadlinesWithin looks at the containers that await an answer, with their deadlines extended by grace. It returns
// those whose deadline has passed, ordered by ID, and the next deadline within the horizon, or 0 if there is none.
func (r *containerRegistry) deadlinesWithin(horizon, grace, now Time) (overdue []*container, next Time) {
	for _, c := range r.containers {
		deadline := c.request.Deadline + grace
		switch {
		case !c.awaitsAnswer() || deadline > now+horizon:
		case deadline <= now:
			overdue = append(overdue, c)
		case next == 0 || deadline < next:
			next = deadline
		}
	}
	slices.SortFunc(overdue, func(a, b *container) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return overdue, next
}
