package controller

import "glenport/scheduler"

// clock holds the time of the current call of Handle.
type clock struct{ time scheduler.Time }

func (c *clock) now() scheduler.Time { return c.time }

func (c *clock) set(now scheduler.Time) { c.time = now }

// sequence numbers keys, requests and timers. No number is used twice.
type sequence struct{ last uint64 }

func (s *sequence) next() uint64 {
	s.last++
	return s.last
}

// skipTo makes all further numbers larger than n.
func (s *sequence) skipTo(n uint64) { s.last = max(s.last, n) }
