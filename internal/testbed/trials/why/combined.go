package why

import (
	"time"

	"glenport/internal/testbed/process"
)

// runCombinedReasons drains a whole zone while the other machines are full of the pending container's own service and
// of other work. Several reasons then apply at once, each confirmed by the state of the machines themselves.
func (t *Trial) runCombinedReasons() error {
	since := time.Now()
	t.drain(inFirstZone)
	if err := t.CreateJob(pendingJob, process.WorkloadLargeOnly, 1, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.expect("a zone drains, the other machines are full", pendingContainer, since,
		codes{reasonZoneDrains, reasonNoRoom, reasonBackingOff}, codes{reasonNoMachine}); err != nil {
		return err
	}
	since = time.Now()
	t.cluster.List.BecomeUnreachable()
	want := codes{reasonZoneDrains, reasonNoRoom, reasonBackingOff, reasonListUnavailable}
	if err := t.expect("a zone drains, the other machines are full, the machine list is unavailable",
		pendingContainer, since.Add(listSilenceLimit), want, codes{reasonNoMachine}); err != nil {
		return err
	}
	t.cluster.List.BecomeReachable()
	t.endDrain(inFirstZone)
	if err := t.DeleteJob(pendingJob); err != nil {
		return err
	}
	return t.DeleteJob(fillerJob)
}
