package server

import (
	"fmt"

	"glenport/internal/controller"
	"glenport/internal/controller/watchcache"
	"glenport/internal/storage/wal"

	"github.com/fxamacker/cbor/v2"
)

// restore reads the records of earlier processes. Jobs go into the cache with their versions; all else is for the
// controller.
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

// forEachRecord decodes each record of a kind. An error names the record by what it describes.
func forEachRecord[T any](state *wal.State, kind, what string, handle func(id string, record *T) error) error {
	return state.ForEach(kind, func(id string, value []byte) error {
		var record T
		if err := cbor.Unmarshal(value, &record); err != nil {
			return fmt.Errorf("%s %s: %w", what, id, err)
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

// restoreContainers binds each container to the scheduler with the stored address, by its present number; to none where
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

// restoreOrphans leaves out those of schedulers that are no longer configured: nobody can be asked to end them.
func restoreOrphans(state *wal.State, numbers map[string]int) (orphans []controller.Orphan, err error) {
	err = forEachRecord(state, RecordOrphan, "orphan", func(_ string, record *OrphanRecord) error {
		if number, configured := numbers[record.SchedulerAddress]; configured {
			orphans = append(orphans, controller.Orphan{Scheduler: number, IdempotencyKey: record.IdempotencyKey})
		}
		return nil
	})
	return orphans, err
}
