package scheduler

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	stdhash "hash"
	"math"
	"reflect"
	"testing"
)

const decisionsFile = "testdata/decisions.txt"

// TestDecisionsMatchGoldenDigests runs seeded sequences of events through the scheduler and compares a digest of
// all its actions with the recorded one. A changed digest is a changed decision.
func TestDecisionsMatchGoldenDigests(t *testing.T) {
	const sequences = 112
	var got []string
	for i, g := range goldenGroups {
		d := &digest{hash: sha256.New()}
		for n := range sequences {
			runSequence(d, uint64(i)<<32|uint64(n), g)
		}
		got = append(got, fmt.Sprintf("%s sequences=%d batches=%d actions=%d attempts=%d sha256=%x",
			g.name, sequences, d.batches, d.actions, d.attempts, d.hash.Sum(nil)))
	}
	if *update {
		writeLines(t, decisionsFile, got)
	}
	want := readLines(t, decisionsFile)
	if len(want) != len(got) {
		t.Fatalf("%d groups recorded, %d run", len(want), len(got))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("decisions changed:\n got %s\nwant %s", got[i], want[i])
		}
	}
}

// digest folds actions by a fixed number for each type and by their field values in order; names of types,
// fields and timers and the text of logs do not count.
type digest struct {
	hash                       stdhash.Hash
	buffer                     []byte
	timers                     map[string]uint64 // by first appearance in a sequence
	batches, actions, attempts int
}

func (d *digest) batch(now Time, actions []Action) {
	d.batches++
	d.buffer = d.buffer[:0]
	d.number(uint64(now))
	d.number(uint64(len(actions)))
	for _, a := range actions {
		d.actions++
		d.action(a)
	}
	d.hash.Write(d.buffer)
}

func (d *digest) action(a Action) {
	switch a := a.(type) {
	case StartAttempt:
		d.attempts++
		d.number(1)
	case Reject:
		d.number(2)
	case Fail:
		d.number(3)
	case CancelAttempt:
		d.number(4)
	case Probe:
		d.number(5)
	case Disconnect:
		d.number(6)
	case SetTimer:
		d.number(7)
		d.number(uint64(a.After))
		if _, known := d.timers[a.Name]; !known {
			d.timers[a.Name] = uint64(len(d.timers))
		}
		d.number(d.timers[a.Name])
		return
	case WatchMachineList:
		d.number(8)
	case FetchMachineList:
		d.number(9)
	case Log:
		d.number(10)
		return
	default:
		panic(fmt.Sprintf("unknown action %T", a))
	}
	d.value(reflect.ValueOf(a))
}

// Numbers of values that are no actions.
const (
	snapshotOrdinal    = 101
	explanationOrdinal = 102
)

// fold adds a value that is no action.
func (d *digest) fold(ordinal uint64, x any) {
	d.buffer = d.buffer[:0]
	d.number(ordinal)
	d.value(reflect.ValueOf(x))
	d.hash.Write(d.buffer)
}

func (d *digest) number(n uint64) { d.buffer = binary.BigEndian.AppendUint64(d.buffer, n) }

func (d *digest) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			d.number(1)
		} else {
			d.number(0)
		}
	case reflect.Int, reflect.Int64:
		d.number(uint64(v.Int()))
	case reflect.Uint8, reflect.Uint64:
		d.number(v.Uint())
	case reflect.Float64:
		d.number(math.Float64bits(v.Float()))
	case reflect.String:
		d.number(uint64(v.Len()))
		d.buffer = append(d.buffer, v.String()...)
	case reflect.Slice:
		d.number(uint64(v.Len()))
		for i := range v.Len() {
			d.value(v.Index(i))
		}
	case reflect.Struct:
		for _, field := range v.Fields() {
			d.value(field)
		}
	default:
		panic("no digest of a " + v.Kind().String())
	}
}
