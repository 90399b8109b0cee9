package bgp

import (
	"fmt"
	"time"

	"glenport/internal/testbed/emulator"
)

// playSchedulerKill kills the scheduler while containers of two services run; one ends meanwhile. When the scheduler is
// back the live one's route must never have been withdrawn, and the other's must be.
func (t *Trial) playSchedulerKill() (string, error) {
	if _, _, err := t.client.place(surviveService, time.Hour); err != nil {
		return "", err
	}
	id, _, err := t.client.place(endWhileDownService, 1500*time.Millisecond)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitUntil("both are announced", func() bool {
			return announced(p, surviveService) && announced(p, endWhileDownService)
		}); err != nil {
			return "", err
		}
		p.Changes()
	}
	scheduler := t.cluster.Schedulers[0]
	t.cluster.KillScheduler(scheduler)
	if err := t.waitUntil("a container ends meanwhile", func() bool { return !t.ends.of(id).IsZero() }); err != nil {
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
		"routes are right %d ms after its start, the live one was never withdrawn",
		time.Since(began).Milliseconds(),
	), nil
}

func (t *Trial) checkRoutesAfterRestart(peer int, p *emulator.BGPPeer) {
	if err := t.waitUntil("the route of the ended container is withdrawn and the live one's fresh", func() bool {
		has, stale := p.Route(prefix(surviveService))
		return has && !stale && !announced(p, endWhileDownService)
	}); err != nil {
		t.Missf("peer %d: %v", peer, err)
	}
	for _, update := range p.Changes() {
		if update.Prefix == prefix(surviveService) && update.Withdrawn {
			t.Missf("peer %d lost the route of a service that ran all the while", peer)
		}
	}
}
