package eventloop

import (
	"math/bits"
	"slices"
)

// Tick is a time or a duration on a loop's clock, in tenths of a millisecond.
type Tick int64

// Common durations.
const (
	Millisecond Tick = 10
	Second      Tick = 1000 * Millisecond
)

const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 7
	maxSpan  = Tick(1)<<(slotBits*levels) - 1 // about 13 years
)

// Timer is a callback scheduled on one wheel. It runs at most once.
type Timer struct {
	expiry     Tick
	callback   func()
	prev, next *Timer // in the list of the slot
	slot       *slot  // nil: the timer has run or was cancelled; &expiringSlot: it is about to run
}

// slot holds the timers of one slot of a level: the digit of their expiry in base 64 at position level is index.
type slot struct {
	level, index int
	head         *Timer // the timer inserted last
}

// TimerWheel is a hierarchical timing wheel. Each level holds 64 slots, and each slot spans the whole level below.
// Scheduling and cancelling take constant time; a timer moves down at most once per level. A wheel is not safe for
// concurrent use.
type TimerWheel struct {
	now      Tick
	size     int
	occupied [levels]uint64 // bit i: slot i of the level holds a timer
	slots    [levels][slots]slot
}

// NewTimerWheel creates an empty wheel at the time now.
func NewTimerWheel(now Tick) *TimerWheel {
	w := &TimerWheel{now: now}
	for level := range w.slots {
		for index := range w.slots[level] {
			w.slots[level][index] = slot{level: level, index: index}
		}
	}
	return w
}

// Len is the number of timers scheduled and not yet run or cancelled.
func (w *TimerWheel) Len() int { return w.size }

// Schedule schedules a callback for the time at. The first later call of Advance that reaches this time runs the
// callback; an Advance that is in progress never runs it. The expiry is limited to half the wheel's span from now,
// about six years.
func (w *TimerWheel) Schedule(at Tick, callback func()) *Timer {
	expiry := min(max(at, w.now+1), w.now+maxSpan/2)
	timer := &Timer{expiry: expiry, callback: callback}
	w.insert(timer)
	w.size++
	return timer
}

// Cancel cancels a timer and reports whether it was still scheduled. For a nil timer it returns false.
func (w *TimerWheel) Cancel(timer *Timer) bool {
	if timer == nil || timer.slot == nil {
		return false
	}
	w.remove(timer)
	w.size--
	return true
}

// insert puts a timer into the slot of the highest base-64 digit in which its expiry differs from now.
func (w *TimerWheel) insert(t *Timer) {
	level := (bits.Len64(uint64(t.expiry^w.now)|(slots-1)) - 1) / slotBits
	level = min(level, levels-1)
	s := &w.slots[level][int(t.expiry>>(slotBits*level))&(slots-1)]
	t.slot, t.prev, t.next = s, nil, s.head
	if s.head != nil {
		s.head.prev = t
	}
	s.head = t
	w.occupied[level] |= 1 << s.index
}

func (w *TimerWheel) remove(t *Timer) {
	s := t.slot
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		s.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if s.head == nil {
		w.occupied[s.level] &^= 1 << s.index
	}
	t.slot, t.prev, t.next = nil, nil, nil
}

// earliestSlot returns the occupied slot that begins first, and the time at which it begins. The timers of the slot may
// expire later. On an empty wheel the slot is nil.
func (w *TimerWheel) earliestSlot() (*slot, Tick) {
	for level := range levels {
		occupied := w.occupied[level]
		if occupied == 0 {
			continue
		}
		shift := slotBits * level
		revolution := Tick(1) << (shift + slotBits) // the span of all slots of the level
		cursor := int(w.now>>shift) & (slots - 1)
		ahead := bits.TrailingZeros64(bits.RotateLeft64(occupied, -cursor))
		index := (cursor + ahead) & (slots - 1)
		begin := w.now&^(revolution-1) + Tick(index)<<shift
		if index < cursor {
			begin += revolution
		}
		return &w.slots[level][index], begin
	}
	return nil, 0
}

// NextExpiry is the time at which Advance next has to be called: the first expiry, or an earlier time at which timers
// move to a lower level. scheduled is false on an empty wheel.
func (w *TimerWheel) NextExpiry() (at Tick, scheduled bool) {
	s, begin := w.earliestSlot()
	return begin, s != nil
}

// Advance moves the wheel to now and runs the expired callbacks in order of expiry. Callbacks of the same tick run in
// an order that depends only on the earlier calls: the order of scheduling, reversed by each move to a lower level. The
// callbacks may schedule and cancel timers.
func (w *TimerWheel) Advance(now Tick) {
	for {
		s, begin := w.earliestSlot()
		if s == nil || begin > now {
			w.now = max(w.now, now)
			return
		}
		w.now = max(w.now, begin)
		w.runExpired(w.takeExpired(s))
	}
}

// takeExpired empties a slot that has begun. It moves timers that expire later to lower levels and returns the others.
// The slot must be empty before the first callback runs, as callbacks may schedule timers into it.
func (w *TimerWheel) takeExpired(s *slot) []*Timer {
	var expired []*Timer
	for t := s.head; t != nil; t = s.head {
		w.remove(t)
		if t.expiry > w.now {
			w.insert(t)
			continue
		}
		t.slot = &expiringSlot
		expired = append(expired, t)
	}
	return expired
}

// runExpired runs the callbacks of timers taken from a slot. It starts with the last one, as a slot's list begins with
// the timer that was inserted last. A timer that an earlier callback cancelled does not run.
func (w *TimerWheel) runExpired(expired []*Timer) {
	for _, t := range slices.Backward(expired) {
		if t.slot != &expiringSlot {
			continue
		}
		t.slot = nil
		w.size--
		t.callback()
	}
}

// expiringSlot marks timers that were taken from their slot and not run yet, so that Cancel can still cancel them.
var expiringSlot slot
