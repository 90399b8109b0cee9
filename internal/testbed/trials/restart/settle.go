package restart

import (
	"fmt"
	"strings"
	"time"

	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/process"
	"glenport/scheduler"
)

// waitSettled compares the jobs of the API with the acknowledged ones and waits until exactly the wanted containers
// run.
func (r *killRun) waitSettled() (wanted, running int) {
	wanted = r.client.wantedContainers()
	var all struct{ Items []listedJob }
	if err := process.WaitUntil("the controller answers", process.ControllerTimeout, func() bool {
		return r.controller.Get("/v1/jobs?limit=1000", &all) == nil
	}); err != nil {
		r.report("%v", err)
		return wanted, 0
	}
	r.client.compareJobs(all.Items, r.report)
	err := process.WaitUntil("exactly the wanted containers run on the machines", time.Minute, func() bool {
		running = 0
		for _, copies := range runningJobCopies(r.cluster) {
			running += copies.count
		}
		return running == wanted && r.controller.CountByState(process.StateRunning) == wanted
	})
	if err != nil {
		r.report(
			"%v: %d run on the machines, %d run according to the API, %d are wanted",
			err,
			running,
			r.controller.CountByState(process.StateRunning),
			wanted,
		)
		r.reportUnwanted()
	}
	return wanted, running
}

// reportUnwanted reports the running containers without a job, and those that run more than once.
func (r *killRun) reportUnwanted() {
	for id, copies := range runningJobCopies(r.cluster) {
		job, _, _ := strings.Cut(id, "/")
		if _, ok := r.client.jobs[job]; !ok || copies.count > 1 {
			r.report("%s runs %d times:%s", id, copies.count, copies.where)
		}
	}
}

// runningCopies describes the running copies of one container.
type runningCopies struct {
	count    int
	workload int
	where    string // machines, idempotency keys and container IDs
}

// runningJobCopies counts the running copies of the jobs' containers in the state of the machines, by job, index and
// workload class. A job that was deleted and created again with another class counts as another job.
func runningJobCopies(c *cluster.Cluster) map[string]runningCopies {
	all := map[string]runningCopies{}
	for _, m := range c.Machines {
		for _, spec := range m.RunningContainers() {
			if !strings.HasPrefix(spec.IdempotencyKey, "job-") {
				continue
			}
			container := spec.IdempotencyKey[:strings.LastIndex(spec.IdempotencyKey, "/")]
			id := fmt.Sprintf("%s of %s", container, c.Config.WorkloadClasses[spec.WorkloadClass])
			copies := all[id]
			copies.count++
			copies.workload = spec.WorkloadClass
			copies.where += " " + m.Name + " " + spec.IdempotencyKey + " as " + spec.ContainerID
			all[id] = copies
		}
	}
	return all
}

// watchDuplicates watches the state of the machines for at-most-once containers that run more than once, until a
// channel is closed.
func (r *killRun) watchDuplicates(done chan struct{}) {
	for {
		for id, copies := range runningJobCopies(r.cluster) {
			class := r.cluster.Config.Policy.WorkloadClasses[copies.workload]
			if copies.count > 1 && class.Idempotency == scheduler.AtMostOnce {
				r.duplicates.Add(1)
				r.report("%s runs %d times at once:%s", id, copies.count, copies.where)
			}
		}
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
