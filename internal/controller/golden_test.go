package controller

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/scheduler"
)

// TestDecisionsMatchGoldenDigests runs seeded histories and compares a digest of all actions, in order and with the
// time at which each was returned, with the digest in testdata. A changed decision changes the digest; a renamed
// identifier does not.
func TestDecisionsMatchGoldenDigests(t *testing.T) {
	const sequences, steps = 120, 160
	var got strings.Builder
	kinds := []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce}
	for group, idempotency := range kinds {
		for _, schedulers := range []int{1, 2, 5} {
			digest := newActionDigest()
			for seed := range sequences {
				h := newHistory(digest, idempotency, schedulers, uint64(1000*group+100_000*schedulers+seed))
				for range steps {
					h.step()
				}
			}
			fmt.Fprintf(&got, "effect %d, %d schedulers: %s\n", idempotency, schedulers, digest.Summary("actions"))
		}
	}
	golden.CheckText(t, "testdata/decisions.txt", got.String())
}

// actionDigest is a digest of actions, each by the ordinal of its type and the values of its fields in order.
type actionDigest struct{ *golden.Digest }

func newActionDigest() *actionDigest { return &actionDigest{golden.NewDigest()} }

func (d *actionDigest) add(now scheduler.Time, a Action) {
	var ordinal uint64
	switch a.(type) {
	case SubmitRequest:
		ordinal = 1
	case LookupRequest:
		ordinal = 2
	case CancelRequest:
		ordinal = 3
	case ContainerChanged:
		ordinal = 4
	case ContainerRemoved:
		ordinal = 5
	case OrphanRecorded:
		ordinal = 6
	case OrphanResolved:
		ordinal = 7
	case SetTimer:
		ordinal = 8
	default:
		panic(fmt.Sprintf("no ordinal for %T", a))
	}
	d.Count(1)
	d.Numbers(uint64(now), ordinal)
	d.Value(a)
}
