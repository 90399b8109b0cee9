package restart

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"glenport/internal/testbed/process"
)

// acknowledgedJob is the last state of a job that the API acknowledged.
type acknowledgedJob struct {
	spec    process.JobSpec
	version int64
}

// jobClient continuously creates, changes and deletes jobs. It retries each change until it is acknowledged.
type jobClient struct {
	*process.Controller
	jobs                map[string]acknowledgedJob
	acknowledgedChanges int
	retries             int
	err                 error // an unexpected reply, which ends the changes
}

// jobChange is one request to the API.
type jobChange struct {
	method, path, key string
	spec              process.JobSpec
}

// changeJobs changes random jobs until stop is closed.
func (c *jobClient) changeJobs(stop chan struct{}, r *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+r.IntN(40)) * time.Millisecond):
		}
		change := c.nextChange(r)
		change.key = fmt.Sprintf("key-%d", n)
		if c.err = c.apply(change); c.err != nil {
			return
		}
	}
}

// nextChange draws a random job and a change of it.
func (c *jobClient) nextChange(r *rand.Rand) jobChange {
	id := fmt.Sprint("job-", r.IntN(24))
	job, exists := c.jobs[id]
	workloads := []string{process.WorkloadMatcher, process.WorkloadAtMostOnce, process.WorkloadReport}
	spec := process.NewJobSpec(id, workloads[r.IntN(len(workloads))], 1+r.IntN(4), 0.1, 0.1)
	if !exists {
		return jobChange{method: http.MethodPost, path: "/v1/jobs", spec: spec}
	}
	spec.Workload = job.spec.Workload // the workload class of a job cannot change
	if r.IntN(4) == 0 {
		return jobChange{method: http.MethodDelete, path: "/v1/jobs/" + id, spec: spec}
	}
	return jobChange{method: http.MethodPut, path: "/v1/jobs/" + id, spec: spec}
}

// apply sends a change until it is acknowledged. A retried deletion may find the job deleted by an earlier try.
func (c *jobClient) apply(change jobChange) error {
	var body any
	if change.method != http.MethodDelete {
		body = change.spec
	}
	for try := 1; ; try++ {
		status, version, err := c.ChangeJob(change.method, change.path, change.key, body)
		deletedBefore := change.method == http.MethodDelete && status == http.StatusNotFound && try > 1
		if err == nil && status < http.StatusMultipleChoices || deletedBefore {
			c.acknowledge(change, version)
			return nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return fmt.Errorf("%s %s, try %d: unexpected status %d", change.method, change.path, try, status)
		}
		c.retries++
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *jobClient) acknowledge(change jobChange, version int64) {
	c.acknowledgedChanges++
	if change.method == http.MethodDelete {
		delete(c.jobs, change.spec.ID)
	} else {
		c.jobs[change.spec.ID] = acknowledgedJob{change.spec, version}
	}
}

// wantedContainers returns the number of containers of the acknowledged jobs.
func (c *jobClient) wantedContainers() (n int) {
	for _, job := range c.jobs {
		n += job.spec.Count
	}
	return n
}

// listedJob is a job as the API lists it.
type listedJob struct {
	ID       string
	Workload string
	Count    int
	Version  int64
}

// compareJobs reports where the jobs that the API lists differ from the jobs that it has acknowledged.
func (c *jobClient) compareJobs(listed []listedJob, report func(format string, args ...any)) {
	seen := map[string]bool{}
	for _, job := range listed {
		acknowledged, ok := c.jobs[job.ID]
		seen[job.ID] = true
		if !ok {
			report("job %s is listed, but its deletion was acknowledged", job.ID)
			continue
		}
		want := listedJob{
			ID:       job.ID,
			Workload: acknowledged.spec.Workload,
			Count:    acknowledged.spec.Count,
			Version:  acknowledged.version,
		}
		if job != want {
			report("job %s is listed as %+v, but was acknowledged as %+v", job.ID, job, want)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if !seen[id] {
			report("job %s was acknowledged, but is not listed", id)
		}
	}
}
