package why

import (
	"time"

	"glenport/internal/testbed/process"
)

// unplaceableJob has a container that never runs: no machine is large enough.
const unplaceableJob, unplaceableOne = "huge", "huge.0"

func (t *Trial) playListUnavailable() error {
	since := time.Now()
	if err := t.CreateJob(unplaceableJob, process.WorkloadMatcher, 1, 500, 1); err != nil {
		return err
	}
	if err := t.expect("too large for all", unplaceableOne, since,
		codes{reasonNoMachine}, codes{reasonNoRoom, reasonListAway}); err != nil {
		return err
	}
	since = time.Now()
	t.cluster.List.BecomeUnreachable()
	if err := t.expect("the machine list is unavailable", unplaceableOne, since.Add(listSilenceLimit),
		codes{reasonListAway, reasonNoMachine}, nil); err != nil {
		return err
	}
	t.cluster.List.BecomeReachable()
	// The schedulers connect again after a backoff of their own; the reason must go within a second after that.
	return process.WaitUntil("the machine list is available again", 10*time.Second, func() bool {
		codes, _, err := t.readCodes(unplaceableOne)
		return err == nil && !codes[reasonListAway]
	})
}

// playSchedulersKilled kills all schedulers while the unplaceable container is pending.
func (t *Trial) playSchedulersKilled() error {
	since := time.Now()
	for _, p := range t.cluster.Schedulers {
		t.cluster.KillScheduler(p)
	}
	if err := t.expect("all schedulers killed", unplaceableOne, since,
		codes{reasonNoScheduler}, codes{reasonNoMachine}); err != nil {
		return err
	}
	for _, p := range t.cluster.Schedulers {
		if err := t.cluster.StartScheduler(p); err != nil {
			return err
		}
	}
	if err := t.expect("and up again", unplaceableOne, time.Now(), nil, codes{reasonNoScheduler}); err != nil {
		return err
	}
	return t.DeleteJob(unplaceableJob)
}
