package why

import (
	"errors"
	"time"

	"glenport/internal/testbed/process"
)

// playFencing loses the reply to an at-most-once attempt: nothing may be done for the fencing delay, and then it is.
func (t *Trial) playFencing() error {
	const job, first = "guarded", "guarded.0"
	t.cluster.FreezeAll()
	since := time.Now()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, 2, 0.1, 0.1); err != nil {
		return err
	}
	err := t.expect("failed, and it may run", first, since.Add(placementTimeout), codes{reasonFencing}, nil)
	_, answer, readErr := t.readCodes(first)
	t.cluster.UnfreezeAll()
	if err := errors.Join(err, readErr); err != nil {
		return err
	}
	fencing, _ := answer.find(reasonFencing) // its time, if it is missing, is a miss below
	ends := time.UnixMilli(fencing.UntilMS)
	if left := time.Until(ends); left <= 0 || left > 9*time.Second {
		t.Missf("the fencing delay is reported to end in %v", left)
		return nil
	}
	time.Sleep(time.Until(ends))
	if err := t.expect("the fencing delay is over", first, ends, nil, codes{reasonFencing}); err != nil {
		return err
	}
	if err := t.WaitRunning(job, 2); err != nil {
		return err
	}
	return t.DeleteJob(job)
}

// connectAllMachines uses every machine once. A freeze before has cost connections; an attempt over a connection that
// is not up provably never runs, and needs no fencing.
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

// playScaleDownWhileFenced scales a job down while its containers are fenced: none of them may be left running.
func (t *Trial) playScaleDownWhileFenced() error {
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
	return process.WaitUntil("nothing of it runs", 10*time.Second, func() bool { return t.cluster.CountRunning() == 0 })
}
