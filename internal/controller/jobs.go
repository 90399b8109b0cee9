package controller

import (
	"maps"
	"slices"
)

// job holds the latest spec and count of a job, and its replicas.
type job struct {
	id       string
	spec     Spec
	revision int // incremented by each change of spec
	count    int
	replicas []*replica // by index; those beyond count are terminating
}

// update adopts the spec and count of an event. A changed spec starts a new revision.
func (j *job) update(e JobSet) {
	if j.spec != e.Spec {
		j.spec = e.Spec
		j.revision++
	}
	j.count = e.Count
}

// trim drops the removed replicas at the end of the list that are beyond the count.
func (j *job) trim() {
	n := len(j.replicas)
	for n > j.count && j.replicas[n-1].state == replicaRemoved {
		n--
	}
	j.replicas = j.replicas[:n]
}

// nextToReplace returns a running replica of an earlier revision. It returns nil if there is none, or if another
// replica is being replaced.
func (j *job) nextToReplace() *replica {
	var next *replica
	for _, r := range j.replicas {
		if r.state == replicaRemoved || r.terminating {
			continue
		}
		if r.rollingOut() {
			return nil
		}
		if next == nil && r.state == replicaRunning && r.revision != j.revision {
			next = r
		}
	}
	return next
}

// jobRegistry holds the jobs that have not been deleted, and deleted jobs with replicas that have not ended.
type jobRegistry struct{ byID map[string]*job }

func newJobRegistry() *jobRegistry { return &jobRegistry{byID: map[string]*job{}} }

// find returns a job, or nil if there is no such job.
func (g *jobRegistry) find(id string) *job { return g.byID[id] }

func (g *jobRegistry) add(j *job) { g.byID[j.id] = j }

// trim drops the removed replicas at the end of a job, and the job itself if its count is 0 and no replica is left.
func (g *jobRegistry) trim(j *job) {
	j.trim()
	if j.count == 0 && len(j.replicas) == 0 {
		delete(g.byID, j.id)
	}
}

// sorted returns the jobs in order of their ids.
func (g *jobRegistry) sorted() []*job {
	jobs := make([]*job, 0, len(g.byID))
	for _, id := range slices.Sorted(maps.Keys(g.byID)) {
		jobs = append(jobs, g.byID[id])
	}
	return jobs
}

// sortedReplicas returns all replicas that are not removed, in order of job and index.
func (g *jobRegistry) sortedReplicas() []*replica {
	var all []*replica
	for _, j := range g.sorted() {
		for _, r := range j.replicas {
			if r.state != replicaRemoved {
				all = append(all, r)
			}
		}
	}
	return all
}
