package server

import (
	"fmt"

	"glenport/internal/controller"
	"glenport/internal/controller/watchcache"
	"glenport/internal/storage/wal"

	"github.com/fxamacker/cbor/v2"
)

// restore reads the records of earlier processes. It puts jobs into the cache with their versions, and returns jobs,
// containers and orphans for the controller.
func (st *stateStore) restore(specs specReader, numbers map[string]int) (restored controller.StateRestored, err error) {
	state := st.log.State()
	err = state.ForEach(RecordVersionCeiling, func(_ string, value []byte) error {
		return cbor.Unmarshal(value, &st.versionCeiling)
	})
	if err != nil {
		return restored, fmt.Errorf("version ceiling: %w", err)
	}
	st.cache.StartAfter(st.versionCeiling)
	if restored.Jobs, err = st.restoreJobs(state, specs); err != nil {
		return restored, err
	}
	if restored.Containers, err = restoreContainers(state, numbers); err != nil {
		return restored, err
	}
	restored.Orphans, err = restoreOrphans(state, numbers)
	return restored, err
}

// forEachRecord decodes each record of a kind and passes it to handle. Decoding errors name the record by noun and ID.
func forEachRecord[T any](state *wal.State, kind, noun string, handle func(id string, record *T) error) error {
	return state.ForEach(kind, func(id string, value []byte) error {
		var record T
		if err := cbor.Unmarshal(value, &record); err != nil {
			return fmt.Errorf("%s %s: %w", noun, id, err)
		}
		return handle(id, &record)
	})
}

func (st *stateStore) restoreJobs(state *wal.State, specs specReader) (jobs []controller.JobSet, err error) {
	err = forEachRecord(state, RecordJob, "job", func(id string, record *JobRecord) error {
		spec, err := specs.read(&record.Job)
		if err != nil {
			return fmt.Errorf("job %s does not fit the scheduler configuration: %w", id, err)
		}
		st.jobs[id] = *record
		st.cache.Apply(watchcache.Object{Kind: KindJobs, ID: id, Version: record.Job.Version, Value: record.Job})
		jobs = append(jobs, controller.JobSet{Job: id, Count: record.Job.Count, Spec: spec})
		return nil
	})
	return jobs, err
}

// restoreContainers assigns to each container the current number of the scheduler with the stored address, or -1 if
// that scheduler is no longer configured.
func restoreContainers(state *wal.State, numbers map[string]int) (containers []controller.Container, err error) {
	err = forEachRecord(state, RecordContainer, "container", func(_ string, record *ContainerRecord) error {
		number, configured := numbers[record.SchedulerAddress]
		if !configured || record.Container.Scheduler < 0 {
			number = -1
		}
		record.Container.Scheduler = number
		containers = append(containers, record.Container)
		return nil
	})
	return containers, err
}

// restoreOrphans skips orphans of schedulers that are no longer configured, because there is no scheduler to send
// their cancellation to.
func restoreOrphans(state *wal.State, numbers map[string]int) (orphans []controller.Orphan, err error) {
	err = forEachRecord(state, RecordOrphan, "orphan", func(_ string, record *OrphanRecord) error {
		if number, configured := numbers[record.SchedulerAddress]; configured {
			orphans = append(orphans, controller.Orphan{Scheduler: number, IdempotencyKey: record.IdempotencyKey})
		}
		return nil
	})
	return orphans, err
}
