package why

import (
	"errors"
	"time"

	"glenport/internal/testbed/process"
)

// runFencing loses the reply to an at-most-once attempt. The container must stay pending for the fencing delay and be
// placed after it.
func (t *Trial) runFencing() error {
	const job, container = "guarded", "guarded.0"
	t.cluster.FreezeAll()
	since := time.Now()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, 2, 0.1, 0.1); err != nil {
		return err
	}
	err := t.expect("attempt failed, container may run", container,
		since.Add(placementTimeout), codes{reasonFencing}, nil)
	_, answer, readErr := t.readCodes(container)
	t.cluster.UnfreezeAll()
	if err := errors.Join(err, readErr); err != nil {
		return err
	}
	fencing, _ := answer.find(reasonFencing) // if it is missing, its zero time fails the check below
	ends := time.UnixMilli(fencing.UntilMS)
	if left := time.Until(ends); left <= 0 || left > 9*time.Second {
		t.Failf("the fencing delay is reported to end in %v", left)
		return nil
	}
	time.Sleep(time.Until(ends))
	if err := t.expect("the fencing delay is over", container, ends, nil, codes{reasonFencing}); err != nil {
		return err
	}
	if err := t.WaitRunning(job, 2); err != nil {
		return err
	}
	return t.DeleteJob(job)
}

// connectAllMachines places containers on every machine, so that each has a connection. An earlier freeze has broken
// connections. An attempt without an established connection provably never runs and needs no fencing.
func (t *Trial) connectAllMachines() error {
	const job = "warm"
	capacity := t.spreadCapacity()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, capacity, 0.1, 0.1); err != nil {
		return err
	}
	if err := t.waitRunningCount("every machine is used", job, func(n int) bool { return n == capacity }); err != nil {
		return err
	}
	return t.DeleteJob(job)
}

// runScaleDownWhileFenced scales a job down while its containers are fenced. None of them may keep running.
func (t *Trial) runScaleDownWhileFenced() error {
	const job = "shrinks"
	if err := t.connectAllMachines(); err != nil {
		return err
	}
	t.cluster.FreezeAll()
	since := time.Now()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, 2, 0.1, 0.1); err != nil {
		return err
	}
	err := t.expect("fenced", "shrinks.1", since.Add(placementTimeout), codes{reasonFencing}, nil)
	if err == nil {
		err = t.ReplaceJob(job, process.WorkloadAtMostOnce, 0, 0.1, 0.1)
	}
	t.cluster.UnfreezeAll()
	if err != nil {
		return err
	}
	if err := t.DeleteJob(job); err != nil {
		return err
	}
	return process.WaitUntil("no container of the job runs", 10*time.Second, func() bool {
		return t.cluster.CountRunning() == 0
	})
}
