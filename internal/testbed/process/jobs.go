package process

import (
	"fmt"
	"net/http"
)

// JobRuntimeMS is the runtime of the containers of a job.
const JobRuntimeMS = 3600_000

// The container states by which the API is queried.
const (
	anyState     = ""
	StateRunning = "running"
)

// The workload classes of the settings in scenarios/.
const (
	WorkloadMatcher    = "matcher"
	WorkloadAtMostOnce = "corpus-merge"
	WorkloadReport     = "report-run"
	WorkloadLargeOnly  = "on-large"
)

// JobSpec is the JSON representation of a job in API requests.
type JobSpec struct {
	ID        string  `json:"id,omitempty"`
	Service   string  `json:"service"`
	Workload  string  `json:"workload"`
	Cores     float64 `json:"cores"`
	MemoryGiB float64 `json:"memory_gib"`
	Count     int     `json:"count"`
	RunForMS  int     `json:"run_for_ms"`
}

// CreateJob creates a job without waiting for its containers. Its service has the same name as the job.
func (c *Controller) CreateJob(id, workload string, count int, cores, memory float64) error {
	return c.Do(http.MethodPost, "/v1/jobs", NewJobSpec(id, workload, count, cores, memory), nil)
}

// ReplaceJob replaces a job. Its service has the same name as the job.
func (c *Controller) ReplaceJob(id, workload string, count int, cores, memory float64) error {
	return c.Do(http.MethodPut, "/v1/jobs/"+id, NewJobSpec(id, workload, count, cores, memory), nil)
}

// NewJobSpec returns a job whose service has the same name.
func NewJobSpec(id, workload string, count int, cores, memory float64) JobSpec {
	return JobSpec{
		ID:        id,
		Service:   id,
		Workload:  workload,
		Cores:     cores,
		MemoryGiB: memory,
		Count:     count,
		RunForMS:  JobRuntimeMS,
	}
}

// DeleteJob deletes a job and waits until its containers have ended.
func (c *Controller) DeleteJob(id string) error {
	if err := c.Do(http.MethodDelete, "/v1/jobs/"+id, nil, nil); err != nil {
		return err
	}
	return WaitUntil(id+" has ended", jobTimeout, func() bool { return c.CountContainers(id, anyState) == 0 })
}

// CountContainers counts the containers of a job in a state. It returns -1 if the request fails.
func (c *Controller) CountContainers(job, state string) int {
	var all struct{ Items []struct{ State string } }
	if c.Get(fmt.Sprintf("/v1/containers?limit=%d&field=job=%s", pageLimit, job), &all) != nil {
		return -1
	}
	n := 0
	for _, container := range all.Items {
		if state == anyState || container.State == state {
			n++
		}
	}
	return n
}

// CountByState counts the containers of all jobs in a state. It returns -1 if the request fails.
func (c *Controller) CountByState(state string) int {
	var all struct{ Items []any }
	if c.Get(fmt.Sprintf("/v1/containers?limit=%d&field=state=%s", pageLimit, state), &all) != nil {
		return -1
	}
	return len(all.Items)
}

// WaitRunning waits until exactly n containers of a job are running.
func (c *Controller) WaitRunning(job string, n int) error {
	return WaitUntil(
		fmt.Sprintf("%d containers of job %s are running", n, job),
		jobTimeout,
		func() bool { return c.CountContainers(job, StateRunning) == n },
	)
}
