package eventloop

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

// expiryOrderDigest is the recorded digest of the expiry order.
const expiryOrderDigest = "85e9d97acd14c599e427d5b4724296c8c7a8fcbd5f3970036198dad6f1d4679e"

// wheelHistory runs a seeded history of operations on one wheel and adds the results to a digest.
type wheelHistory struct {
	rng    *rand.Rand
	digest *golden.Digest
	wheel  *TimerWheel
	now    Tick
	timers []*Timer
	ran    int
}

func (h *wheelHistory) note(values ...int64) {
	for _, value := range values {
		h.digest.Bytes(binary.LittleEndian.AppendUint64(nil, uint64(value)))
	}
}

func (h *wheelHistory) schedule() {
	number := int64(len(h.timers))
	delay := h.rng.Int64N(1<<h.rng.IntN(16)) &^ 3 // so that many timers share a tick
	h.timers = append(h.timers, h.wheel.Schedule(h.now+Tick(delay), func() { h.run(number) }))
}

func (h *wheelHistory) run(number int64) {
	h.ran++
	h.note(number, int64(h.now))
	switch h.rng.IntN(4) {
	case 0:
		h.schedule()
	case 1:
		h.cancelOne()
	}
}

func (h *wheelHistory) cancelOne() {
	h.note(boolValue[h.wheel.Cancel(h.timers[h.rng.IntN(len(h.timers))])])
}

func (h *wheelHistory) step() {
	switch h.rng.IntN(6) {
	case 0, 1, 2, 3:
		h.schedule()
	case 4:
		if len(h.timers) > 0 {
			h.cancelOne()
		}
	default:
		h.now += Tick(h.rng.Int64N(1 << h.rng.IntN(14)))
		h.wheel.Advance(h.now)
	}
	next, scheduled := h.wheel.NextExpiry()
	h.note(int64(next), boolValue[scheduled], int64(h.wheel.Len()))
}

var boolValue = map[bool]int64{false: 0, true: 1}

// Callers may not rely on the order of timers of the same tick, but it must be the same in every run of a history:
// otherwise seeded simulations of the scheduler would not be reproducible.
func TestExpiryOrderMatchesGoldenDigest(t *testing.T) {
	digest, ran := golden.NewDigest(), 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 30))
		now := Tick(rng.Int64N(1 << 40))
		h := &wheelHistory{rng: rng, digest: digest, wheel: NewTimerWheel(now), now: now}
		for range 400 {
			h.step()
		}
		ran += h.ran
	}
	got := digest.Sum()
	testutil.Expect(t, got == expiryOrderDigest, "digest of %d callbacks is %s, want %s", ran, got, expiryOrderDigest)
}
