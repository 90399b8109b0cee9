package eventloop

import "math/bits"

// Tick is a moment or a span on a loop's clock, in tenths of a millisecond.
type Tick int64

const (
	Millisecond Tick = 10
	Second      Tick = 10_000
)

const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 7
	maxSpan  = Tick(1)<<(slotBits*levels) - 1 // some 13 years
)

// Timer is a moment at which something is due. It belongs to one wheel.
type Timer struct {
	expiry     Tick
	callback   func()
	prev, next *Timer
	slot       *slot
}

type slot struct {
	level, index int
	first        *Timer
}

// TimerWheel is a hierarchical timing wheel: each level holds 64 slots, each slot of a level spans all of the
// level below. Setting and cancelling take constant time; a timer moves down at most once a level.
type TimerWheel struct {
	now      Tick
	size     int
	occupied [levels]uint64
	slots    [levels][slots]slot
}

func NewTimerWheel(now Tick) *TimerWheel {
	w := &TimerWheel{now: now}
	for l := range w.slots {
		for i := range w.slots[l] {
			w.slots[l][i] = slot{level: l, index: i}
		}
	}
	return w
}

// Len is the number of timers set.
func (w *TimerWheel) Len() int { return w.size }

// Schedule makes do run in the first Advance to at or later, never in the one that is under way.
func (w *TimerWheel) Schedule(at Tick, callback func()) *Timer {
	timer := &Timer{expiry: max(at, w.now+1), callback: callback}
	timer.expiry = min(timer.expiry, w.now+maxSpan/2)
	w.insert(timer)
	w.size++
	return timer
}

// Cancel takes a timer out; it tells whether the timer was still set.
func (w *TimerWheel) Cancel(t *Timer) bool {
	if t == nil || t.slot == nil {
		return false
	}
	w.remove(t)
	w.size--
	return true
}

func (w *TimerWheel) insert(t *Timer) {
	level := (bits.Len64(uint64(t.expiry^w.now)|(slots-1)) - 1) / slotBits
	level = min(level, levels-1)
	s := &w.slots[level][int(t.expiry>>(slotBits*level))&(slots-1)]
	t.slot, t.prev, t.next = s, nil, s.first
	if s.first != nil {
		s.first.prev = t
	}
	s.first = t
	w.occupied[level] |= 1 << s.index
}

func (w *TimerWheel) remove(t *Timer) {
	s := t.slot
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		s.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if s.first == nil {
		w.occupied[s.level] &^= 1 << s.index
	}
	t.slot, t.prev, t.next = nil, nil, nil
}

// earliestSlot is the slot that is due first and when it is; its timers may be due later.
func (w *TimerWheel) earliestSlot() (*slot, Tick) {
	for level := range levels {
		occupied := w.occupied[level]
		if occupied == 0 {
			continue
		}
		shift := slotBits * level
		turn := Tick(1) << (shift + slotBits)
		cursor := int(w.now>>shift) & (slots - 1)
		ahead := bits.TrailingZeros64(bits.RotateLeft64(occupied, -cursor))
		index := (cursor + ahead) & (slots - 1)
		at := w.now&^(turn-1) + Tick(index)<<shift
		if index < cursor {
			at += turn
		}
		return &w.slots[level][index], at
	}
	return nil, 0
}

// NextExpiry is the moment at which Advance has something to do.
func (w *TimerWheel) NextExpiry() (Tick, bool) {
	s, at := w.earliestSlot()
	return at, s != nil
}

// Advance moves the wheel on to now and runs what is due, in order of time.
func (w *TimerWheel) Advance(now Tick) {
	for {
		s, at := w.earliestSlot()
		if s == nil || at > now {
			w.now = max(w.now, now)
			return
		}
		w.now = max(w.now, at)
		// All of the slot is taken out before anything runs: what runs may set or cancel timers.
		var due []*Timer
		for t := s.first; t != nil; t = s.first {
			w.remove(t)
			if t.expiry > w.now {
				w.insert(t)
				continue
			}
			t.slot = &expiringSlot
			due = append(due, t)
		}
		for i := len(due) - 1; i >= 0; i-- { // a slot's list starts with the timer set last
			if t := due[i]; t.slot == &expiringSlot {
				t.slot = nil
				w.size--
				t.callback()
			}
		}
	}
}

// expiringSlot marks timers taken out to be run; cancelling one of them keeps it from running.
var expiringSlot slot
