package eventloop

// After schedules a callback to run once, in the first iteration that begins at least delay ticks after Now. The
// callback never runs before After has returned. A timer expires at least one tick after the previous run of timers.
// With a delay of 0 or less, the callback therefore runs in this iteration if its timers have not run yet and the clock
// has advanced since the previous iteration. Otherwise it runs in the first iteration at a later tick.
func (l *Loop) After(delay Tick, callback func()) *Timer {
	return l.wheel.Schedule(l.now+delay, callback)
}

// Cancel cancels a timer. It has no effect on a nil timer or on a timer that has run or was cancelled.
func (l *Loop) Cancel(timer *Timer) { l.wheel.Cancel(timer) }

// TimerCount is the number of timers scheduled and not yet run or cancelled.
func (l *Loop) TimerCount() int { return l.wheel.Len() }

// ReadClock reads the loop's clock: wall time at New, advanced by monotonic time. Unlike Now, it advances during an
// iteration.
func (l *Loop) ReadClock() Tick {
	return l.base + Tick(l.kernel.Since(l.startedAt).Microseconds()/microsecondsPerTick)
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
