package server

import (
	"fmt"

	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// door is the link to one placer.
type door struct {
	h      *Host
	number int
	addr   string
	name   string
	conn   *eventloop.Conn
	reader protocol.Reader
	open   bool
}

func (d *door) call() {
	d.reader = protocol.Reader{}
	d.conn = d.h.loop.Dial(d.addr, d, output, eventloop.Second)
}

func (d *door) write(f protocol.Frame) {
	p, err := protocol.Append(nil, f)
	if err == nil && d.conn != nil {
		err = d.conn.Write(p)
	}
	if err != nil {
		d.h.log.Warn("not sent", "placer", d.addr, "why", err)
		if d.conn != nil {
			d.conn.Reset()
		}
	}
}

func (d *door) Opened(*eventloop.Conn) {
	d.write(protocol.Greeting(protocol.Owner, d.h.place.Name, uint64(d.h.loop.Now())))
}

func (d *door) Read(c *eventloop.Conn, p []byte) {
	if err := d.reader.Feed(p, d.take); err != nil {
		d.h.log.Warn("link closed", "placer", d.addr, "why", err)
		c.Reset()
	}
}

func (d *door) Closed(_ *eventloop.Conn, why error) {
	d.conn = nil
	if d.open {
		d.open = false
		d.h.log.Warn("placer lost", "placer", d.name, "why", why)
		d.h.events = append(d.h.events, controller.Door{Number: d.number, Open: false})
	}
	d.h.loop.After(redial, d.call)
}

func (d *door) take(f protocol.Frame) error {
	h := d.h
	switch f := f.(type) {
	case *protocol.Hello:
		if f.Role != protocol.Placer {
			return fmt.Errorf("a %s answers where a placer was called", f.Role)
		}
		d.name, d.open = f.Name, true
		h.log.Info("placer found", "placer", f.Name, "door", d.addr)
		h.events = append(h.events, controller.Door{Number: d.number, Open: true})
	case *protocol.Answer:
		h.events = append(h.events, controller.Answered{Ask: f.Container, Verdict: verdictOf(f.Verdict), Machine: f.Machine,
			HoldOff: scheduler.Time(f.HoldOff), Text: f.Text})
	case *protocol.Fate:
		h.events = append(h.events, controller.Fated{Ask: f.Container, Outcome: f.Outcome.Decided(), Reason: scheduler.Reason(f.Reason)})
	case *protocol.Why:
		h.answered(f.Seq, f)
	case *protocol.Beat:
	case *protocol.Bye:
		return fmt.Errorf("placer says: %s", f.Text)
	default:
		return fmt.Errorf("%T is not for a keeper", f)
	}
	return nil
}

func verdictOf(v protocol.Verdict) controller.Verdict {
	switch v {
	case protocol.Placed:
		return controller.Placed
	case protocol.PushedBack:
		return controller.PushedBack
	case protocol.TurnedAway:
		return controller.TurnedAway
	}
	return controller.GivenUp
}

// listing is the link to the list, for the machines that the API shows.
type listing struct {
	h       *Host
	conn    *eventloop.Conn
	reader  protocol.Reader
	version int64
}

func (l *listing) call() {
	l.reader = protocol.Reader{}
	l.conn = l.h.loop.Dial(l.h.place.List, l, output, eventloop.Second)
}

func (l *listing) send(f protocol.Frame) {
	if p, err := protocol.Append(nil, f); err == nil {
		l.conn.Write(p)
	}
}

func (l *listing) Opened(*eventloop.Conn) {
	l.send(protocol.Greeting(protocol.Placer, l.h.place.Name, uint64(l.h.loop.Now())))
	l.send(&protocol.Watch{On: true, Since: l.version})
}

func (l *listing) Read(c *eventloop.Conn, p []byte) {
	if err := l.reader.Feed(p, l.take); err != nil {
		l.h.log.Warn("link closed", "peer", "list", "why", err)
		c.Reset()
	}
}

func (l *listing) Closed(*eventloop.Conn, error) {
	l.conn = nil
	l.h.loop.After(relist, l.call)
}

func (l *listing) take(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Listed:
		l.version = f.Version
		l.h.learn(f)
	case *protocol.Failed:
		l.h.loop.After(relist, func() {
			if l.conn != nil {
				l.send(&protocol.Watch{On: true, Since: l.version})
			}
		})
	}
	return nil
}

// learn shows the machines of the list.
func (h *Host) learn(f *protocol.Listed) {
	named := map[string]bool{}
	for _, e := range f.Entries {
		named[e.Machine] = e.State != protocol.Gone
		if e.State == protocol.Gone {
			continue
		}
		h.halls[e.Machine] = e
		m := Machine{ID: e.Machine, Hall: e.Zone, State: e.State.String(), FreeCores: e.FreeCores, FreeMemoryGiB: e.FreeMemory,
			Incarnation: e.Incarnation}
		if e.Kind < len(h.place.Site.Kinds) {
			m.Kind = h.place.Site.Kinds[e.Kind]
		}
		h.publish(Machines, m.ID, m, false, true)
	}
	for id := range h.halls {
		if on, said := named[id]; said && !on || f.Whole && !on {
			delete(h.halls, id)
			h.publish(Machines, id, Machine{ID: id}, true, true)
		}
	}
}
