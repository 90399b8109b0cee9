package restart

import (
	"errors"
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"glenport/internal/controller"
	"glenport/internal/controller/server"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testbed/bench"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

const (
	startMachines    = 20                       // of the bench on which starts are timed
	loadServices     = 500                      // that the containers of a log belong to
	submitTimeout    = protocol.Duration(40000) // 4 s
	recordsPerCommit = 500                      // of a log that is written in advance
	containersPerJob = 1000                     // of such a log
	placeTimeout     = 20 * time.Second
	longRuntime      = protocol.Duration(36_000_000) // an hour
	atMostOnceClass  = 2
)

// writeLog writes a log as an earlier incarnation would have left it.
func writeLog(folder, kind string, n int, record func(i int) (key string, value any)) (err error) {
	fs, err := vfs.OpenLocked(folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fs.Close()) }()
	log, _, err := wal.Open(fs, wal.Options{})
	if err != nil {
		return err
	}
	var batch []wal.Change
	var commitErr error
	for i := range n {
		key, value := record(i)
		encoded, err := cbor.Marshal(value)
		if err != nil {
			return errors.Join(err, log.Close())
		}
		batch = append(batch, wal.Change{Kind: kind, Key: key, Value: encoded})
		if last := i == n-1; last || len(batch) == recordsPerCommit {
			log.Commit(batch, last, func(err error) {
				if err != nil {
					commitErr = err
				}
			})
			batch = nil
		}
	}
	if err := log.Close(); err != nil {
		return err
	}
	return commitErr
}

// placeContainer submits one container and waits until it is placed.
func placeContainer(address string, spec protocol.ContainerSpec) error {
	c, err := process.DialProtocol(address, placeTimeout, protocol.NewHello(protocol.RoleClient, "restart", 1),
		&protocol.Submit{TimeToDeadline: submitTimeout, Spec: spec})
	if err != nil {
		return err
	}
	defer process.CloseQuietly(c)
	reply, err := process.ReadUntil[*protocol.PlacementReply](c)
	if err != nil {
		return err
	}
	if reply.Verdict != protocol.VerdictPlaced {
		return fmt.Errorf("%s: %s %s", spec.ContainerID, reply.Verdict, reply.Message)
	}
	return nil
}

// measureStart times a start with n containers in the log: of a scheduler to its first container placed, of a
// controller to the first that runs.
func (t *Trial) measureStart(s *scenario.Scenario, dir string, program []string, n int) error {
	b, err := bench.Start(s.Template, dir, program, startMachines, false)
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
	state := filepath.Join(dir, "keeper.state")
	if err := writeControllerLog(state, b.Scheduler.Address, n); err != nil {
		return err
	}
	return t.measureControllerStart(b, program[0], state, n)
}

// writeSchedulerLog writes n attempts.
func writeSchedulerLog(dir string, n int) error {
	return writeLog(filepath.Join(dir, "state"), schedulerd.AttemptKind, n, func(i int) (string, any) {
		id := fmt.Sprint("old-", i)
		return fmt.Sprintf("%016x", i+1), reconcile.Attempt{
			Request: scheduler.PlacementRequest{
				ID: scheduler.ContainerID(id), IdempotencyKey: id, Service: fmt.Sprint("s", i%loadServices),
				WorkloadClass: atMostOnceClass, Cores: 1, Memory: 1,
			},
			Machine:     scheduler.MachineID(fmt.Sprintf("machine-%04d", i%startMachines)),
			Incarnation: 1,
			Number:      uint64(i + 1),
		}
	})
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
	first := time.Since(began)
	spec.ContainerID, spec.IdempotencyKey, spec.WorkloadClass, spec.ClientRetry = "once", "once", atMostOnceClass, true
	if err := placeContainer(b.Scheduler.Address, spec); err != nil {
		return err
	}
	report.Printf(
		t.Out,
		"start of a placer, %d containers in its log: door open after %.0f ms, first container placed after %.0f ms, "+
			"first at-most-once one that came before after %.0f ms\n",
		n,
		milliseconds(listening),
		milliseconds(first),
		milliseconds(time.Since(began)),
	)
	return nil
}

// writeControllerLog writes jobs with n running containers in all.
func writeControllerLog(folder, schedulerAddress string, n int) error {
	jobs := (n + containersPerJob - 1) / containersPerJob
	if err := writeLog(folder, server.RecordJob, jobs, func(i int) (string, any) {
		id := fmt.Sprint("j", i)
		return id, server.JobRecord{Job: server.Job{
			ID: id, Service: "s", WorkloadClass: process.WorkloadMatcher, Cores: 0.01, MemoryGiB: 0.01,
			RunForMS: process.HourMS, Count: min(containersPerJob, n-i*containersPerJob), Version: int64(i + 1),
		}}
	}); err != nil {
		return err
	}
	spec := controller.Spec{Service: "s", Tenant: 2, Cores: 0.01, Memory: 0.01, RunFor: scheduler.Time(longRuntime)}
	return writeLog(folder, server.RecordContainer, n, func(i int) (string, any) {
		job, index := fmt.Sprint("j", i/containersPerJob), i%containersPerJob
		container := controller.Container{
			Job:            job,
			Index:          index,
			State:          controller.StateRunning,
			Machine:        "machine-0000",
			IdempotencyKey: fmt.Sprintf("%s/%d/%d", job, index, i),
			RequestID:      fmt.Sprintf("%s/%d#%d", job, index, i),
			Submitted:      true,
			Starts:         1,
			SubmittedSpec:  spec,
		}
		return fmt.Sprintf("%s.%d", job, index),
			server.ContainerRecord{SchedulerAddress: schedulerAddress, Container: container}
	})
}

func (t *Trial) measureControllerStart(b *bench.Cluster, program, state string, n int) error {
	k, err := process.NewController(b.Dir, program, b.ListAddr(), []*process.Scheduler{b.Scheduler}, nil, state)
	if err != nil {
		return err
	}
	defer k.Terminate()
	began := time.Now()
	if err := k.Launch(); err != nil {
		return err
	}
	if err := process.WaitUntil(
		"the keeper answers",
		30*time.Second,
		func() bool { return k.Get("/v1/jobs?limit=1", nil) == nil },
	); err != nil {
		return err
	}
	listening := time.Since(began)
	if err := process.WaitUntil("the first runs", 30*time.Second, func() bool {
		var all struct{ Items []any }
		return k.Get("/v1/containers?limit=1&field=state=running", &all) == nil && len(all.Items) > 0
	}); err != nil {
		return err
	}
	report.Printf(
		t.Out,
		"start of a keeper, %d containers in its log: API open after %.0f ms, the first found or started after %.0f ms\n",
		n,
		milliseconds(listening),
		milliseconds(time.Since(began)),
	)
	return nil
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
