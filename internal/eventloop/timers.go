package eventloop

// After schedules a callback to run once, in the first iteration that begins at least delay ticks after Now. The
// callback never runs before After has returned. A timer expires at least one tick after the last run of timers: with a
// delay of 0 or less, the callback runs in this iteration if the clock has advanced since the previous one and timers
// have not run yet, otherwise in the first iteration at a later tick.
func (l *Loop) After(delay Tick, callback func()) *Timer {
	return l.wheel.Schedule(l.now+delay, callback)
}

// Cancel cancels a timer. It has no effect on nil and on timers that have run or were cancelled.
func (l *Loop) Cancel(timer *Timer) { l.wheel.Cancel(timer) }

// TimerCount is the number of timers scheduled and not yet run or cancelled.
func (l *Loop) TimerCount() int { return l.wheel.Len() }

// ReadClock reads the loop's clock: wall time at New, advanced by monotonic time. Unlike Now, it advances during an
// iteration.
func (l *Loop) ReadClock() Tick {
	return l.base + Tick(l.kernel.Since(l.started).Microseconds()/microsecondsPerTick)
}

// waitTimeout is the timeout for waiting for events, in milliseconds; -1 means no limit. It is rounded up: a timer may
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
