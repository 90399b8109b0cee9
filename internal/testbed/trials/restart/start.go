package restart

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/bench"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testbed/process"
)

const (
	startMachines    = 20                       // machines of the cluster on which starts are timed
	loadServices     = 500                      // services of the containers in a prepared scheduler log
	submitTimeout    = protocol.Duration(40000) // 4 s
	recordsPerCommit = 500                      // in a prepared log
	containersPerJob = 1000                     // in a prepared controller log
	placeTimeout     = 20 * time.Second
	longRuntime      = protocol.Duration(36_000_000) // 1 h
	atMostOnceClass  = 2
)

// placeContainer submits one container and waits until it is placed.
func placeContainer(address string, spec protocol.ContainerSpec) error {
	c, err := process.DialProtocol(address, placeTimeout, protocol.NewHello(protocol.RoleClient, "restart", 1),
		&protocol.Submit{TimeToDeadline: submitTimeout, Spec: spec})
	if err != nil {
		return err
	}
	defer loopback.CloseQuietly(c)
	reply, err := process.ReadUntil[*protocol.PlacementReply](c)
	if err != nil {
		return err
	}
	if reply.Verdict != protocol.VerdictPlaced {
		return fmt.Errorf("%s: %s %s", spec.ContainerID, reply.Verdict, reply.Message)
	}
	return nil
}

// measureStart times starts with n containers in the log: a scheduler until it has placed its first container, and a
// controller until its first container runs.
func (t *Trial) measureStart(n int) error {
	dir := t.path(fmt.Sprint("start-", n))
	b, err := bench.Start(bench.Spec{
		Template: t.scenario.Template, Dir: dir, Program: t.program, Machines: startMachines,
	})
	if err != nil {
		return err
	}
	defer b.Close()
	b.Scheduler.Stop(syscall.SIGTERM) // it persists its machine list
	if err := writeSchedulerLog(dir, n); err != nil {
		return err
	}
	if err := t.measureSchedulerStart(b, n); err != nil {
		return err
	}
	state := filepath.Join(dir, "controller.state")
	if err := writeControllerLog(state, b.Scheduler.Address, n); err != nil {
		return err
	}
	return t.measureControllerStart(b, state, n)
}

func (t *Trial) measureSchedulerStart(b *bench.Cluster, n int) error {
	began := time.Now()
	if err := b.Scheduler.Start(); err != nil {
		return err
	}
	listening := time.Since(began)
	spec := protocol.ContainerSpec{
		ContainerID:     "first",
		IdempotencyKey:  "first",
		Service:         "s",
		Cores:           1,
		Memory:          1,
		ExpectedRuntime: longRuntime,
	}
	if err := placeContainer(b.Scheduler.Address, spec); err != nil {
		return err
	}
	firstPlaced := time.Since(began)
	spec.ContainerID, spec.IdempotencyKey, spec.WorkloadClass, spec.ClientRetry = "once", "once", atMostOnceClass, true
	if err := placeContainer(b.Scheduler.Address, spec); err != nil {
		return err
	}
	t.Printf("start of a scheduler, %d containers in its log: listening after %.0f ms, "+
		"first container placed after %.0f ms, first retried at-most-once container after %.0f ms\n",
		n, milliseconds(listening), milliseconds(firstPlaced), milliseconds(time.Since(began)))
	return nil
}

func (t *Trial) measureControllerStart(b *bench.Cluster, state string, n int) error {
	controller, err := b.NewController(t.program[0], state)
	if err != nil {
		return err
	}
	defer controller.Terminate()
	began := time.Now()
	if err := controller.Launch(); err != nil {
		return err
	}
	if err := process.WaitUntil(
		"the controller answers",
		30*time.Second,
		func() bool { return controller.Get("/v1/jobs?limit=1", nil) == nil },
	); err != nil {
		return err
	}
	listening := time.Since(began)
	if err := process.WaitUntil("the first container runs", 30*time.Second, func() bool {
		var all struct{ Items []any }
		return controller.Get("/v1/containers?limit=1&field=state=running", &all) == nil && len(all.Items) > 0
	}); err != nil {
		return err
	}
	t.Printf("start of a controller, %d containers in its log: API open after %.0f ms, "+
		"first container running after %.0f ms\n",
		n, milliseconds(listening), milliseconds(time.Since(began)))
	return nil
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
