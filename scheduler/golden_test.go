package scheduler

import (
	"fmt"
	"testing"

	"glenport/internal/golden"
)

const decisionsFile = "testdata/decisions.txt"

// TestDecisionsMatchGoldenDigests runs seeded sequences of events through the scheduler and compares a digest of all
// actions with the recorded one. A different digest means a different decision.
func TestDecisionsMatchGoldenDigests(t *testing.T) {
	const sequences = 112
	var got []string
	for i, g := range goldenGroups {
		d := &digest{Digest: golden.NewDigest()}
		for n := range sequences {
			runSequence(d, uint64(i)<<32|uint64(n), g)
		}
		got = append(got, fmt.Sprintf("%s sequences=%d batches=%d actions=%d attempts=%d sha256=%s",
			g.name, sequences, d.batches, d.actions, d.attempts, d.Sum()))
	}
	golden.Check(t, decisionsFile, got)
}

// digest hashes actions: a fixed number for each type, and the field values in order. Names of types, fields and timers
// and the text of log lines are left out.
type digest struct {
	*golden.Digest
	timers                     map[string]uint64 // number of each timer name, by first occurrence in a sequence
	batches, actions, attempts int
}

func (d *digest) batch(now Time, actions []Action) {
	d.batches++
	d.Numbers(uint64(now), uint64(len(actions)))
	for _, a := range actions {
		d.actions++
		d.action(a)
	}
}

func (d *digest) action(a Action) {
	switch a := a.(type) {
	case StartAttempt:
		d.attempts++
		d.Numbers(1)
	case Reject:
		d.Numbers(2)
	case Fail:
		d.Numbers(3)
	case CancelAttempt:
		d.Numbers(4)
	case Probe:
		d.Numbers(5)
	case Disconnect:
		d.Numbers(6)
	case SetTimer:
		d.Numbers(7)
		d.Numbers(uint64(a.After))
		if _, known := d.timers[a.Name]; !known {
			d.timers[a.Name] = uint64(len(d.timers))
		}
		d.Numbers(d.timers[a.Name])
		return
	case WatchMachineList:
		d.Numbers(8)
	case FetchMachineList:
		d.Numbers(9)
	case Log:
		d.Numbers(10)
		return
	default:
		panic(fmt.Sprintf("unknown action %T", a))
	}
	d.Value(a)
}

// Type numbers of values that are not actions.
const (
	snapshotOrdinal    = 101
	explanationOrdinal = 102
)

// fold adds a value that is not an action.
func (d *digest) fold(ordinal uint64, x any) {
	d.Numbers(ordinal)
	d.Value(x)
}
