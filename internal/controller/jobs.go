package controller

import "sort"

type job struct {
	id       string
	spec     Spec
	revision int // of spec
	count    int
	replicas []*replica // by index; those beyond count are terminating
}

func (c *Controller) jobSet(e JobSet) {
	j := c.jobs[e.Job]
	if j == nil {
		j = &job{id: e.Job, spec: e.Spec}
		c.jobs[e.Job] = j
	}
	if j.spec != e.Spec {
		j.spec = e.Spec
		j.revision++
	}
	j.count = e.Count
	c.scale(j)
	c.rollOut(j)
}

func (c *Controller) jobDeleted(e JobDeleted) {
	if j := c.jobs[e.Job]; j != nil {
		j.count = 0
		c.scale(j)
	}
}

// scale makes the replicas of a job follow the wanted count: new ones become pending, those beyond it terminate.
func (c *Controller) scale(j *job) {
	for i := range j.count {
		if i == len(j.replicas) {
			j.replicas = append(j.replicas, nil)
		}
		// A removed one stays in its place while one behind it is terminating.
		if j.replicas[i] == nil || j.replicas[i].removed {
			c.createReplica(j, i)
		}
	}
	for i := len(j.replicas) - 1; i >= 0; i-- {
		r := j.replicas[i]
		switch wanted := i < j.count; {
		case wanted && r.Terminating:
			r.Terminating = false
			c.markChanged(r)
		case !wanted && !r.Terminating:
			c.terminate(r)
		}
	}
	c.trim(j)
}

func (c *Controller) createReplica(j *job, index int) {
	r := &replica{job: j, revision: j.revision, Container: Container{Job: j.id, Index: index, Scheduler: noScheduler}}
	j.replicas[index] = r
	c.newIdempotencyKey(r)
	c.setPending(r, c.jitter(restartDelay), statusNotRequested)
}

// trim drops removed replicas at the end, and a job that is not wanted with its last one.
func (c *Controller) trim(j *job) {
	for n := len(j.replicas); n > j.count && j.replicas[n-1].removed; n-- {
		j.replicas = j.replicas[:n-1]
	}
	if j.count == 0 && len(j.replicas) == 0 {
		delete(c.jobs, j.id)
	}
}

// rollOut replaces running containers by ones of the job's newest spec, one at a time.
func (c *Controller) rollOut(j *job) {
	var next *replica
	for _, r := range j.replicas {
		if r.removed || r.Terminating {
			continue
		}
		if r.rollingOut() {
			return
		}
		if next == nil && r.State == StateRunning && r.revision != j.revision {
			next = r
		}
	}
	if next != nil {
		next.Replacing = true
		c.markChanged(next)
		c.cancel(next)
	}
}

// rollingOut says that a replica was cancelled for the newest spec, or has it and does not run yet.
func (r *replica) rollingOut() bool {
	if r.Replacing {
		return true
	}
	restarting := r.Starts > 0 && r.State != StateRunning && r.State != StateCompleted
	return r.revision == r.job.revision && restarting
}

func (c *Controller) sortedJobIDs() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// sortedReplicas returns all replicas that are not removed, by job and index.
func (c *Controller) sortedReplicas() []*replica {
	var all []*replica
	for _, id := range c.sortedJobIDs() {
		for _, r := range c.jobs[id].replicas {
			if !r.removed {
				all = append(all, r)
			}
		}
	}
	return all
}
