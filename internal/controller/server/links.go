package server

import (
	"fmt"

	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/link"
	"glenport/scheduler"
)

// door is the link to one placer.
type door struct {
	h      *Host
	number int
	addr   string
	name   string
	conn   *eventloop.Conn
	reader link.Reader
	open   bool
}

func (d *door) call() {
	d.reader = link.Reader{}
	d.conn = d.h.loop.Dial(d.addr, d, output, eventloop.Second)
}

func (d *door) write(f link.Frame) {
	p, err := link.Append(nil, f)
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
	d.write(link.Greeting(link.Owner, d.h.place.Name, uint64(d.h.loop.Now())))
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

func (d *door) take(f link.Frame) error {
	h := d.h
	switch f := f.(type) {
	case *link.Hello:
		if f.Role != link.Placer {
			return fmt.Errorf("a %s answers where a placer was called", f.Role)
		}
		d.name, d.open = f.Name, true
		h.log.Info("placer found", "placer", f.Name, "door", d.addr)
		h.events = append(h.events, controller.Door{Number: d.number, Open: true})
	case *link.Answer:
		h.events = append(h.events, controller.Answered{Ask: f.Container, Verdict: verdictOf(f.Verdict), Machine: f.Machine,
			HoldOff: scheduler.Time(f.HoldOff), Text: f.Text})
	case *link.Fate:
		h.events = append(h.events, controller.Fated{Ask: f.Container, Outcome: f.Outcome.Decided(), Reason: scheduler.Reason(f.Reason)})
	case *link.Why:
		h.answered(f.Seq, f)
	case *link.Beat:
	case *link.Bye:
		return fmt.Errorf("placer says: %s", f.Text)
	default:
		return fmt.Errorf("%T is not for a keeper", f)
	}
	return nil
}

func verdictOf(v link.Verdict) controller.Verdict {
	switch v {
	case link.Placed:
		return controller.Placed
	case link.PushedBack:
		return controller.PushedBack
	case link.TurnedAway:
		return controller.TurnedAway
	}
	return controller.GivenUp
}

// listing is the link to the list, for the machines that the API shows.
type listing struct {
	h       *Host
	conn    *eventloop.Conn
	reader  link.Reader
	version int64
}

func (l *listing) call() {
	l.reader = link.Reader{}
	l.conn = l.h.loop.Dial(l.h.place.List, l, output, eventloop.Second)
}

func (l *listing) send(f link.Frame) {
	if p, err := link.Append(nil, f); err == nil {
		l.conn.Write(p)
	}
}

func (l *listing) Opened(*eventloop.Conn) {
	l.send(link.Greeting(link.Placer, l.h.place.Name, uint64(l.h.loop.Now())))
	l.send(&link.Watch{On: true, Since: l.version})
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

func (l *listing) take(f link.Frame) error {
	switch f := f.(type) {
	case *link.Listed:
		l.version = f.Version
		l.h.learn(f)
	case *link.Failed:
		l.h.loop.After(relist, func() {
			if l.conn != nil {
				l.send(&link.Watch{On: true, Since: l.version})
			}
		})
	}
	return nil
}

// learn shows the machines of the list.
func (h *Host) learn(f *link.Listed) {
	named := map[string]bool{}
	for _, e := range f.Entries {
		named[e.Machine] = e.State != link.Gone
		if e.State == link.Gone {
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
