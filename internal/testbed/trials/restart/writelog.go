package restart

import (
	"errors"
	"fmt"
	"path/filepath"

	"glenport/internal/controller"
	"glenport/internal/controller/server"
	"glenport/internal/schedulerd"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testbed/process"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// writeLog writes a log of n records as an earlier incarnation would have left it.
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

// writeSchedulerLog writes the log of a scheduler with n attempts.
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

// writeControllerLog writes the log of a controller whose jobs have n running containers in total.
func writeControllerLog(folder, schedulerAddress string, n int) error {
	jobs := (n + containersPerJob - 1) / containersPerJob
	if err := writeLog(folder, server.RecordJob, jobs, func(i int) (string, any) {
		id := fmt.Sprint("j", i)
		return id, server.JobRecord{Job: server.Job{
			ID: id, Service: "s", WorkloadClass: process.WorkloadMatcher, Cores: 0.01, MemoryGiB: 0.01,
			RunForMS: process.JobRuntimeMS, Count: min(containersPerJob, n-i*containersPerJob), Version: int64(i + 1),
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
