package eventloop

// After schedules a callback to run once, delay ticks after Now, with the timers of the first iteration at that time or
// later, and never before After has returned. A timer expires a tick after timers ran last at the earliest: with a
// delay of 0 or less it runs in this iteration if the clock has advanced since the one before and timers have not run
// yet, else in the first iteration at a later tick.
func (l *Loop) After(delay Tick, callback func()) *Timer {
	return l.wheel.Schedule(l.now+delay, callback)
}

// Cancel keeps a timer from running. It has no effect on nil and on timers that have run or were cancelled.
func (l *Loop) Cancel(timer *Timer) { l.wheel.Cancel(timer) }

// TimerCount is the number of timers scheduled and not yet run or cancelled.
func (l *Loop) TimerCount() int { return l.wheel.Len() }

// ReadClock reads the loop's clock anew: wall time at New, advanced by monotonic time. Within an iteration it goes on
// where Now stands.
func (l *Loop) ReadClock() Tick {
	return l.base + Tick(l.kernel.Since(l.started).Microseconds()/microsecondsPerTick)
}

// waitTimeout is how long to wait for events, in milliseconds; -1 means without limit. It is rounded up: a timer may
// run up to a millisecond late, never early.
func (l *Loop) waitTimeout() int {
	if l.state != loopWaiting {
		return 0
	}
	expiry, scheduled := l.wheel.NextExpiry()
	if !scheduled {
		return -1
	}
	left := expiry - l.ReadClock()
	return int(min(max(0, (left+Millisecond-1)/Millisecond), maxWaitMilliseconds))
}
