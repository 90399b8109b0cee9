package bgp

import (
	"fmt"
	"time"

	"glenport/internal/testbed/emulator"
)

const (
	minUpdateInterval = time.Second
	clockTolerance    = 30 * time.Millisecond // for the delay from the scheduler's write to the peer's read
)

// runFlaps starts and ends containers of one service fifty times a second for eight seconds.
func (t *Trial) runFlaps() (string, error) {
	const flaps = 400
	for _, p := range t.peers {
		p.Changes()
	}
	began := time.Now()
	for i := range flaps {
		time.Sleep(time.Until(began.Add(time.Duration(i) * 20 * time.Millisecond)))
		go func() {
			// some containers may be rejected under this load; only the route is checked
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
			t.Failf("peer %d still has the route of a service without a running container", k)
		}
	}
	return fmt.Sprintf(
		"%d starts, %.1f updates a peer, at least %d ms apart",
		flaps,
		float64(updates)/float64(len(t.peers)),
		shortest.Milliseconds(),
	), nil
}

// checkUpdateInterval checks the time between two updates of the flapping service at a peer. It returns the shortest
// such time and the number of updates.
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
				t.Failf("peer %d received two updates of %s within %v", peer, update.Prefix, gap)
			}
		}
		last = update.At
	}
	return shortest, updates
}
