package why

import (
	"time"

	"glenport/internal/testbed/process"
)

// playCombinedReasons drains a whole zone while the rest is full of the pending container's own service and other work,
// so that several reasons hold at once, each by the machines' own state.
func (t *Trial) playCombinedReasons() error {
	since := time.Now()
	t.drain(inFirstZone)
	if err := t.CreateJob(pendingJob, process.WorkloadLargeOnly, 1, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.expect("a zone drains, the rest is full", pendingOne, since,
		codes{reasonZoneDrains, reasonNoRoom, reasonBackingOff}, codes{reasonNoMachine}); err != nil {
		return err
	}
	since = time.Now()
	t.cluster.List.BecomeUnreachable()
	want := codes{reasonZoneDrains, reasonNoRoom, reasonBackingOff, reasonListAway}
	if err := t.expect("and the machine list is unavailable", pendingOne, since.Add(listSilenceLimit),
		want, codes{reasonNoMachine}); err != nil {
		return err
	}
	t.cluster.List.BecomeReachable()
	t.endDrain(inFirstZone)
	if err := t.DeleteJob(pendingJob); err != nil {
		return err
	}
	return t.DeleteJob(fillerJob)
}
