package scheduler

import (
	"cmp"
	"slices"
)

// containerRegistry owns the containers, their services, and what they reserve on machines and of quotas.
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

// find returns nil for a container that is not known.
func (r *containerRegistry) find(id ContainerID) *container { return r.containers[id] }

// findPlaced returns nil for a container that has no attempt out and does not run.
func (r *containerRegistry) findPlaced(id ContainerID) *container {
	c := r.containers[id]
	if c == nil || c.machine == nil {
		return nil
	}
	return c
}

// add returns nil for a workload class that the configuration does not have.
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

// newUnregistered returns a container that is not registered, for questions about a request; nil for a workload class
// that the configuration does not have.
func (r *containerRegistry) newUnregistered(request PlacementRequest) *container {
	if request.WorkloadClass >= len(r.classes) {
		return nil
	}
	of := r.services[request.Service]
	if of == nil {
		of = &service{name: request.Service, hash: hash(request.Service), reservations: map[*machine]int{}}
	}
	return &container{request: request, class: &r.classes[request.WorkloadClass], service: of}
}

// close ends what is owed to the client, and drops the container unless an outcome is still awaited.
func (r *containerRegistry) close(c *container) {
	c.closed = true
	if c.machine != nil {
		return
	}
	delete(r.containers, c.request.ID)
	for _, m := range c.excluded {
		m.exclusions--
	}
	c.service.containers--
	if c.service.containers == 0 {
		delete(r.services, c.service.name)
	}
}

// startAttempt counts an attempt that is sent to a machine.
func (r *containerRegistry) startAttempt(c *container, m *machine, now Time) {
	c.attempts++
	r.reserve(c, m, now)
}

// adopt counts a container that runs already, from an attempt of an earlier incarnation of the scheduler.
func (r *containerRegistry) adopt(c *container, m *machine, now Time) {
	c.attempts = 1
	c.accepted = true
	r.reserve(c, m, now)
}

// endAttempt takes the attempt off its container and machine.
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

// reserve counts an attempt or a running container at its machine, from its sending to its outcome.
func (r *containerRegistry) reserve(c *container, m *machine, now Time) {
	c.machine = m
	c.sentAt = now
	c.used = c.requested()
	c.service.reservations[m]++
	m.load.reserve(c.requested())
	r.quotas.reserve(c.request.Tenant, c.request.Cores)
}

// release takes off what reserve counted.
func (r *containerRegistry) release(c *container) {
	m := c.machine
	c.machine = nil
	c.service.reservations[m]--
	if c.service.reservations[m] == 0 {
		delete(c.service.reservations, m)
	}
	m.load.release(c.requested(), c.used)
	r.quotas.release(c.request.Tenant, c.request.Cores)
}

// reportUse takes in a measurement of a container that has a machine. Other metrics than cores and memory are not
// heeded.
func (r *containerRegistry) reportUse(c *container, metric UsageMetric, value float64) {
	used := c.used
	switch metric {
	case MetricCoresUsed:
		used.cores = value
	case MetricMemoryUsed:
		used.memory = value
	case MetricRunning, MetricServedShare, MetricMachineMemory:
	default:
	}
	c.machine.load.replaceUse(c.used, used)
	c.used = used
}

// silentMachines are those that were not heard of since an attempt was sent to them, longer ago than a span.
func (r *containerRegistry) silentMachines(span, now Time) map[*machine]bool {
	silent := map[*machine]bool{}
	for _, c := range r.containers {
		if c.machine != nil && !c.accepted && c.machineIsSilent() && now-c.sentAt > span {
			silent[c.machine] = true
		}
	}
	return silent
}

// deadlinesWithin returns the containers that no machine has accepted and whose deadline, put off by a grace, has
// passed, by ID, and the next such deadline up to a horizon; 0 where there is none.
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
