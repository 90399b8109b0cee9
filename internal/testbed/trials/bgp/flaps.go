package bgp

import (
	"fmt"
	"time"

	"glenport/internal/testbed/emulator"
)

const (
	minUpdateInterval = time.Second
	clockTolerance    = 30 * time.Millisecond // between a peer's reading and the scheduler's writing
)

// playFlaps starts and ends containers of one service fifty times a second for eight seconds.
func (t *Trial) playFlaps() (string, error) {
	const flaps = 400
	for _, p := range t.peers {
		p.Changes()
	}
	began := time.Now()
	for i := range flaps {
		time.Sleep(time.Until(began.Add(time.Duration(i) * 20 * time.Millisecond)))
		go func() {
			// under this load some may be rejected; the route is what counts
			_, _, _ = t.client.place(flapService, 10*time.Millisecond)
		}()
	}
	time.Sleep(3 * time.Second)
	shortest, updates := time.Hour, 0
	for k, p := range t.peers {
		gap, n := t.checkUpdateInterval(k, p)
		shortest = min(shortest, gap)
		updates += n
		if announced(p, flapService) {
			t.Missf("peer %d still has the route of a service without a container", k)
		}
	}
	return fmt.Sprintf(
		"%d starts, %.1f updates a peer, none within %d ms of another",
		flaps,
		float64(updates)/float64(len(t.peers)),
		shortest.Milliseconds(),
	), nil
}

// checkUpdateInterval returns the shortest time between two updates of the flapping service, and their number.
func (t *Trial) checkUpdateInterval(peer int, p *emulator.BGPPeer) (shortest time.Duration, updates int) {
	shortest = time.Hour
	var last time.Time
	for _, update := range p.Changes() {
		if update.Prefix != prefix(flapService) {
			continue
		}
		updates++
		if gap := update.At.Sub(last); !last.IsZero() {
			shortest = min(shortest, gap)
			if gap < minUpdateInterval-clockTolerance {
				t.Missf("peer %d received two updates of %s within %v", peer, update.Prefix, gap)
			}
		}
		last = update.At
	}
	return shortest, updates
}
