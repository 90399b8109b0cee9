package eventloop

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"testing"
)

// expiryOrderDigest was recorded before the wheel's code was divided into smaller functions.
const expiryOrderDigest = "85e9d97acd14c599e427d5b4724296c8c7a8fcbd5f3970036198dad6f1d4679e"

// Timers of one tick run in an order that callers may not rely on, but that must be the same in every run of one
// history: seeded runs of the whole scheduler repeat to the digit only then.
func TestExpiryOrderIsTheRecordedOne(t *testing.T) {
	digest, ran := sha256.New(), 0
	note := func(values ...int64) {
		for _, value := range values {
			digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(value)))
		}
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 30))
		now := Tick(rng.Int64N(1 << 40))
		wheel := NewTimerWheel(now)
		var timers []*Timer
		var schedule func()
		schedule = func() {
			number := int64(len(timers))
			delay := rng.Int64N(1<<rng.IntN(16)) &^ 3 // many of one tick
			timers = append(timers, wheel.Schedule(now+Tick(delay), func() {
				ran++
				note(number, int64(now))
				switch rng.IntN(4) {
				case 0:
					schedule()
				case 1:
					note(boolValue(wheel.Cancel(timers[rng.IntN(len(timers))])))
				}
			}))
		}
		for range 400 {
			switch rng.IntN(6) {
			case 0, 1, 2, 3:
				schedule()
			case 4:
				if len(timers) > 0 {
					note(boolValue(wheel.Cancel(timers[rng.IntN(len(timers))])))
				}
			default:
				now += Tick(rng.Int64N(1 << rng.IntN(14)))
				wheel.Advance(now)
			}
			next, scheduled := wheel.NextExpiry()
			note(int64(next), boolValue(scheduled), int64(wheel.Len()))
		}
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != expiryOrderDigest {
		t.Errorf("digest of %d callbacks is %s, want %s", ran, got, expiryOrderDigest)
	}
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
