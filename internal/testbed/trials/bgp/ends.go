package bgp

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const endsPerRound = 50

// containerEnds holds when containers ended, by the machines' own clocks.
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

// of returns when a container ended, and the zero time while it runs.
func (e *containerEnds) of(container string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at[container]
}

// withdrawals measures how long peers take to withdraw a route after its last container's end.
type withdrawals struct {
	delays         *hdrhistogram.Histogram // milliseconds
	count, updates int
}

// playEnds lets the last container behind each address end again and again, and measures until both peers know it.
func (t *Trial) playEnds() (string, error) {
	measured := &withdrawals{delays: hdrhistogram.New(1, 60_000, 3)}
	for round := range t.Rounds {
		first := round * endsPerRound % firstReservedService
		ids, err := t.placeRound(first)
		if err != nil {
			return "", err
		}
		if err := t.waitRoundWithdrawn(first, ids); err != nil {
			return "", err
		}
		t.measureRound(measured, first, ids)
	}
	expected := t.Rounds * endsPerRound * len(t.peers)
	if measured.count < expected {
		t.Missf("%d withdrawals for %d ends at %d peers", measured.count, t.Rounds*endsPerRound, len(t.peers))
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

// placeRound places one container of each of a round's services and returns their names.
func (t *Trial) placeRound(first int) ([]string, error) {
	ids := make([]string, endsPerRound)
	errs := make([]error, endsPerRound)
	var placing sync.WaitGroup
	for i := range endsPerRound {
		placing.Go(func() {
			ids[i], _, errs[i] = t.client.place(first+i, time.Duration(1200+i*13)*time.Millisecond)
		})
	}
	placing.Wait()
	return ids, errors.Join(errs...)
}

func (t *Trial) waitRoundWithdrawn(first int, ids []string) error {
	for i, id := range ids {
		if err := t.waitUntil("the container ends", func() bool { return !t.ends.of(id).IsZero() }); err != nil {
			return err
		}
		for k, p := range t.peers {
			if err := t.waitWithdrawn(
				fmt.Sprintf("peer %d receives the withdrawal of %s", k, prefix(first+i)),
				p,
				first+i,
			); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Trial) measureRound(measured *withdrawals, first int, ids []string) {
	for k, p := range t.peers {
		for _, update := range p.Changes() {
			measured.updates++
			if !update.Withdrawn {
				continue
			}
			service := int(update.Prefix.Addr().As4()[3])
			late := update.At.Sub(t.ends.of(ids[service-first]))
			measured.count++
			_ = measured.delays.RecordValue(max(1, late.Milliseconds())) // longer than its range is a miss below
			if late > withdrawalLimit {
				t.Missf("peer %d received the withdrawal of %s %v after its last container's end",
					k, update.Prefix, late)
			}
		}
	}
}
