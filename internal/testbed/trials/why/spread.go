package why

import (
	"errors"
	"fmt"
	"time"

	"glenport/internal/testbed/process"
)

// spreadCapacity is how many containers of an at-most-once service fit by its spread: two a machine at each scheduler.
func (t *Trial) spreadCapacity() int {
	return 2 * len(t.cluster.Machines) * len(t.cluster.Schedulers)
}

// playSpread submits more of a service than its spread leaves room for.
func (t *Trial) playSpread() error {
	const job = "spread"
	capacity := t.spreadCapacity()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, capacity+4, 0.1, 0.1); err != nil {
		return err
	}
	if err := process.WaitUntil(
		"the spread is full",
		spreadTimeout,
		func() bool { return t.CountContainers(job, process.StateRunning) >= capacity-2 },
	); err != nil {
		return err
	}
	// The spread may be full at one scheduler and not at the other; the true reason is that of the scheduler asked.
	if err := process.WaitUntil(
		"the spread is full at both schedulers",
		spreadTimeout,
		func() bool { return t.CountContainers(job, process.StateRunning) == capacity },
	); err != nil {
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
	if err := t.expect(
		"spread full",
		last,
		time.Now(),
		codes{reasonSpreadFull},
		codes{reasonNoMachine, reasonNoRoom},
	); err != nil {
		return err
	}
	return t.DeleteJob(job)
}
