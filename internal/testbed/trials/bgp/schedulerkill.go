package bgp

import (
	"fmt"
	"time"

	"glenport/internal/testbed/emulator"
)

// runSchedulerKill kills the scheduler while containers of two services run. One container ends while the scheduler is
// down. After the restart, the route of the running container must never have been withdrawn, and the route of the
// ended container must be withdrawn.
func (t *Trial) runSchedulerKill() (string, error) {
	if _, _, err := t.client.place(survivingService, time.Hour); err != nil {
		return "", err
	}
	id, _, err := t.client.place(endWhileDownService, 1500*time.Millisecond)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitUntil("both routes are announced", func() bool {
			return announced(p, survivingService) && announced(p, endWhileDownService)
		}); err != nil {
			return "", err
		}
		p.Changes()
	}
	scheduler := t.cluster.Schedulers[0]
	t.cluster.KillScheduler(scheduler)
	if err := t.waitUntil("a container ends while the scheduler is down", func() bool {
		return !t.ends.endOf(id).IsZero()
	}); err != nil {
		return "", err
	}
	began := time.Now()
	if err := t.cluster.StartScheduler(scheduler); err != nil {
		return "", err
	}
	for k, p := range t.peers {
		t.checkRoutesAfterRestart(k, p)
	}
	return fmt.Sprintf(
		"routes are correct %d ms after the start, the route of the running container was never withdrawn",
		time.Since(began).Milliseconds(),
	), nil
}

func (t *Trial) checkRoutesAfterRestart(peer int, p *emulator.BGPPeer) {
	if err := t.waitUntil("the ended container's route is withdrawn, the other one is not stale", func() bool {
		has, stale := p.Route(prefix(survivingService))
		return has && !stale && !announced(p, endWhileDownService)
	}); err != nil {
		t.Failf("peer %d: %v", peer, err)
	}
	for _, update := range p.Changes() {
		if update.Prefix == prefix(survivingService) && update.Withdrawn {
			t.Failf("peer %d lost the route of a service that ran without interruption", peer)
		}
	}
}
