package bgp

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const endsPerRound = 50

// containerEnds holds the times at which containers ended, as their machines reported them.
type containerEnds struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (e *containerEnds) record(container string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.at == nil {
		e.at = map[string]time.Time{}
	}
	e.at[container] = at
}

// endOf returns the time at which a container ended, and the zero time while it runs.
func (e *containerEnds) endOf(container string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at[container]
}

// withdrawals measures the delay from the end of a service's last container until peers receive the withdrawal of its
// route.
type withdrawals struct {
	delays         *hdrhistogram.Histogram // milliseconds
	count, updates int
}

// runEnds repeatedly lets the last container of each service end, and measures the delay until both peers have received
// the withdrawal.
func (t *Trial) runEnds() (string, error) {
	measured := &withdrawals{delays: hdrhistogram.New(1, 60_000, 3)}
	for round := range t.Rounds {
		firstService := round * endsPerRound % firstReservedService
		ids, err := t.placeRound(firstService)
		if err != nil {
			return "", err
		}
		if err := t.waitRoundWithdrawn(firstService, ids); err != nil {
			return "", err
		}
		t.measureRound(measured, firstService, ids)
	}
	expected := t.Rounds * endsPerRound * len(t.peers)
	if measured.count < expected {
		t.Failf("%d withdrawals for %d ends at %d peers", measured.count, t.Rounds*endsPerRound, len(t.peers))
	}
	return fmt.Sprintf(
		"%d ends at %d peers, withdrawn after p50 %d ms, p99 %d ms, worst %d ms; %.1f updates an end and peer",
		t.Rounds*endsPerRound,
		len(t.peers),
		measured.delays.ValueAtQuantile(50),
		measured.delays.ValueAtQuantile(99),
		measured.delays.Max(),
		float64(measured.updates)/float64(expected),
	), nil
}

// placeRound places one container of each service of a round and returns their IDs.
func (t *Trial) placeRound(firstService int) ([]string, error) {
	ids := make([]string, endsPerRound)
	errs := make([]error, endsPerRound)
	var placing sync.WaitGroup
	for i := range endsPerRound {
		placing.Go(func() {
			ids[i], _, errs[i] = t.client.place(firstService+i, time.Duration(1200+i*13)*time.Millisecond)
		})
	}
	placing.Wait()
	return ids, errors.Join(errs...)
}

func (t *Trial) waitRoundWithdrawn(firstService int, ids []string) error {
	for i, id := range ids {
		if err := t.waitUntil("the container ends", func() bool { return !t.ends.endOf(id).IsZero() }); err != nil {
			return err
		}
		for k, p := range t.peers {
			if err := t.waitWithdrawn(
				fmt.Sprintf("peer %d receives the withdrawal of %s", k, prefix(firstService+i)),
				p,
				firstService+i,
			); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Trial) measureRound(measured *withdrawals, firstService int, ids []string) {
	for k, p := range t.peers {
		for _, update := range p.Changes() {
			measured.updates++
			if !update.Withdrawn {
				continue
			}
			service := int(update.Prefix.Addr().As4()[3])
			late := update.At.Sub(t.ends.endOf(ids[service-firstService]))
			measured.count++
			_ = measured.delays.RecordValue(max(1, late.Milliseconds())) // a value beyond its range fails the check
			if late > withdrawalLimit {
				t.Failf("peer %d received the withdrawal of %s %v after its last container's end",
					k, update.Prefix, late)
			}
		}
	}
}
