package controller

import "glenport/scheduler"

// clock is the time of the present call of Handle.
type clock struct{ time scheduler.Time }

func (c *clock) now() scheduler.Time { return c.time }

func (c *clock) set(now scheduler.Time) { c.time = now }

// sequence numbers keys, requests and timers. No number comes twice.
type sequence struct{ last uint64 }

func (s *sequence) next() uint64 {
	s.last++
	return s.last
}

// skipTo leaves out all numbers up to n.
func (s *sequence) skipTo(n uint64) { s.last = max(s.last, n) }
