package why

import (
	"errors"
	"fmt"
	"time"

	"glenport/internal/testbed/process"
)

// spreadCapacity returns the number of containers of an at-most-once service that its spread limit allows: each
// scheduler may place two on each machine.
func (t *Trial) spreadCapacity() int {
	return 2 * len(t.cluster.Machines) * len(t.cluster.Schedulers)
}

// waitRunningCount waits until the number of a job's running containers meets a condition.
func (t *Trial) waitRunningCount(what, job string, holds func(running int) bool) error {
	return process.WaitUntil(what, spreadTimeout, func() bool {
		return holds(t.CountContainers(job, process.StateRunning))
	})
}

// runSpread submits more containers of a service than its spread limit allows.
func (t *Trial) runSpread() error {
	const job = "spread"
	capacity := t.spreadCapacity()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, capacity+4, 0.1, 0.1); err != nil {
		return err
	}
	nearlyFull := func(n int) bool { return n >= capacity-2 }
	if err := t.waitRunningCount("the spread is nearly full", job, nearlyFull); err != nil {
		return err
	}
	// The limit may be reached at one scheduler and not at the other. The true reason comes from the scheduler that
	// was asked.
	if err := t.waitRunningCount("the spread is full", job, func(n int) bool { return n == capacity }); err != nil {
		return err
	}
	var pending struct{ Items []struct{ ID string } }
	if err := t.Get("/v1/containers?limit=1000&field=job=spread,state!=running", &pending); err != nil {
		return fmt.Errorf("list the pending containers of the spread job: %w", err)
	}
	if len(pending.Items) == 0 {
		return errors.New("no container of the spread job is pending")
	}
	last := pending.Items[len(pending.Items)-1].ID
	if err := t.expect("spread full", last, time.Now(),
		codes{reasonSpreadFull}, codes{reasonNoMachine, reasonNoRoom}); err != nil {
		return err
	}
	return t.DeleteJob(job)
}
