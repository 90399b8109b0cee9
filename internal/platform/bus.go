package platform

import (
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const (
	longestEvent = 4 << 20
	busSilentFor = 2 * eventloop.Second // twice the span in which a line is due
	busAgain     = eventloop.Second / 5
)

// bus follows the event bus, one connection at a time.
type bus struct {
	p       *Platform
	addr    string
	conn    *eventloop.Conn
	lines   jsonlines.LineSplitter
	last    int64 // number of the last event that was taken in
	heardAt eventloop.Tick
	broken  bool
	goes    bool // an event came on this connection: the next has the next number
}

func (s *bus) reach() {
	s.lines, s.goes = jsonlines.LineSplitter{MaxBytes: longestEvent}, false
	s.heardAt = s.p.loop.Now()
	s.conn = s.p.loop.Dial(s.addr, s, 1<<10, eventloop.Second)
}

// move goes on at another address.
func (s *bus) move(addr string) {
	if addr == s.addr {
		return
	}
	s.p.log.Info("event bus moves", "to", addr, "last", s.last)
	s.addr = addr
	if c := s.conn; c != nil {
		s.conn = nil
		c.Reset()
	}
	s.reach()
}

func (s *bus) Opened(c *eventloop.Conn) {
	if c == s.conn {
		c.Write(fmt.Appendf(nil, "from %d\n", s.last))
	}
}

func (s *bus) Read(c *eventloop.Conn, b []byte) {
	if c != s.conn {
		return
	}
	s.heardAt = s.p.loop.Now()
	if err := s.lines.Feed(b, s.line); err != nil {
		s.p.log.Warn("event bus left", "why", err, "last", s.last)
		c.Reset()
	}
}

func (s *bus) Closed(c *eventloop.Conn, why error) {
	if c != s.conn {
		return
	}
	s.conn = nil
	if !s.broken {
		s.broken = true
		s.p.log.Warn("event bus broken off", "why", why, "last", s.last)
	}
	s.p.loop.After(busAgain, func() {
		if s.conn == nil {
			s.reach()
		}
	})
}

func (s *bus) house(now eventloop.Tick) {
	if s.conn != nil && now-s.heardAt > busSilentFor {
		s.conn.Reset()
	}
}

// line takes in an event or the number of the last one. Events known already come again after a break.
func (s *bus) line(line []byte) error {
	if s.broken {
		s.broken = false
		s.p.log.Info("event bus followed", "last", s.last)
	}
	e, err := s.p.d.readEvent(line)
	if err != nil {
		return err
	}
	if e.number <= s.last {
		return nil
	}
	// What is missing is asked for again. The first event on a connection may have any number: a bus that has dropped what
	// is old cannot tell it.
	if e.bare || s.goes && e.number > s.last+1 {
		return fmt.Errorf("event %d is missing", s.last+1)
	}
	s.last, s.goes = e.number, true
	for _, fault := range e.faults {
		s.p.log.Warn("machine left out of an event", "event", e.number, "why", fault)
	}
	s.p.learn(scheduler.DeltaUpdate, e)
	return nil
}
