package why

import (
	"time"

	"glenport/internal/testbed/process"
)

// unplaceableJob has one container that never runs, because no machine is large enough.
const unplaceableJob, unplaceableContainer = "huge", "huge.0"

func (t *Trial) runListUnavailable() error {
	since := time.Now()
	if err := t.CreateJob(unplaceableJob, process.WorkloadMatcher, 1, 500, 1); err != nil {
		return err
	}
	if err := t.expect("too large for all machines", unplaceableContainer, since,
		codes{reasonNoMachine}, codes{reasonNoRoom, reasonListUnavailable}); err != nil {
		return err
	}
	since = time.Now()
	t.cluster.List.BecomeUnreachable()
	if err := t.expect("the machine list is unavailable", unplaceableContainer, since.Add(listSilenceLimit),
		codes{reasonListUnavailable, reasonNoMachine}, nil); err != nil {
		return err
	}
	t.cluster.List.BecomeReachable()
	// The schedulers reconnect after a backoff; the reason must disappear within a second of that.
	return process.WaitUntil("the machine list is available again", 10*time.Second, func() bool {
		codes, _, err := t.readCodes(unplaceableContainer)
		return err == nil && !codes[reasonListUnavailable]
	})
}

// runSchedulersKilled kills all schedulers while the unplaceable container is pending.
func (t *Trial) runSchedulersKilled() error {
	since := time.Now()
	for _, p := range t.cluster.Schedulers {
		t.cluster.KillScheduler(p)
	}
	if err := t.expect("all schedulers killed", unplaceableContainer, since,
		codes{reasonNoScheduler}, codes{reasonNoMachine}); err != nil {
		return err
	}
	for _, p := range t.cluster.Schedulers {
		if err := t.cluster.StartScheduler(p); err != nil {
			return err
		}
	}
	if err := t.expect("all schedulers restarted", unplaceableContainer, time.Now(),
		nil, codes{reasonNoScheduler}); err != nil {
		return err
	}
	return t.DeleteJob(unplaceableJob)
}
