package server

import (
	"fmt"

	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// schedulerConn is the link to one placer.
type schedulerConn struct {
	h      *Server
	number int
	addr   string
	name   string
	conn   *eventloop.Conn
	reader protocol.Reader
	open   bool
}

func (d *schedulerConn) call() {
	d.reader = protocol.Reader{}
	d.conn = d.h.loop.Dial(d.addr, d, output, eventloop.Second)
}

func (d *schedulerConn) write(f protocol.Frame) {
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

func (d *schedulerConn) Opened(*eventloop.Conn) {
	d.write(protocol.NewHello(protocol.RoleClient, d.h.place.Name, uint64(d.h.loop.Now())))
}

func (d *schedulerConn) Read(c *eventloop.Conn, p []byte) {
	if err := d.reader.Feed(p, d.take); err != nil {
		d.h.log.Warn("link closed", "placer", d.addr, "why", err)
		c.Reset()
	}
}

func (d *schedulerConn) Closed(_ *eventloop.Conn, why error) {
	d.conn = nil
	if d.open {
		d.open = false
		d.h.log.Warn("placer lost", "placer", d.name, "why", why)
		d.h.events = append(d.h.events, controller.SchedulerConnection{Scheduler: d.number, Connected: false})
	}
	d.h.loop.After(redial, d.call)
}

func (d *schedulerConn) take(f protocol.Frame) error {
	h := d.h
	switch f := f.(type) {
	case *protocol.Hello:
		if f.Role != protocol.RoleScheduler {
			return fmt.Errorf("a %s answers where a placer was called", f.Role)
		}
		d.name, d.open = f.Name, true
		h.log.Info("placer found", "placer", f.Name, "door", d.addr)
		h.events = append(h.events, controller.SchedulerConnection{Scheduler: d.number, Connected: true})
	case *protocol.PlacementReply:
		h.events = append(h.events, controller.PlacementAnswered{RequestID: f.ContainerID, Verdict: verdictOf(f.Verdict), Machine: f.Machine,
			RetryAfter: scheduler.Time(f.RetryAfter), Message: f.Message})
	case *protocol.Termination:
		h.events = append(h.events, controller.ContainerEnded{RequestID: f.ContainerID, Outcome: f.Outcome.SchedulerOutcome(), Reason: scheduler.Reason(f.Reason)})
	case *protocol.ExplainReply:
		h.answered(f.Seq, f)
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return fmt.Errorf("placer says: %s", f.Message)
	default:
		return fmt.Errorf("%T is not for a keeper", f)
	}
	return nil
}

func verdictOf(v protocol.Verdict) controller.Verdict {
	switch v {
	case protocol.VerdictPlaced:
		return controller.VerdictAccepted
	case protocol.VerdictRejected:
		return controller.VerdictRejected
	case protocol.VerdictNotAdmitted:
		return controller.VerdictRefused
	}
	return controller.VerdictFailed
}

// machineListConn is the link to the list, for the machines that the API shows.
type machineListConn struct {
	h       *Server
	conn    *eventloop.Conn
	reader  protocol.Reader
	version int64
}

func (l *machineListConn) call() {
	l.reader = protocol.Reader{}
	l.conn = l.h.loop.Dial(l.h.place.MachineList, l, output, eventloop.Second)
}

func (l *machineListConn) send(f protocol.Frame) {
	if p, err := protocol.Append(nil, f); err == nil {
		l.conn.Write(p)
	}
}

func (l *machineListConn) Opened(*eventloop.Conn) {
	l.send(protocol.NewHello(protocol.RoleScheduler, l.h.place.Name, uint64(l.h.loop.Now())))
	l.send(&protocol.WatchMachineList{Enabled: true, SinceVersion: l.version})
}

func (l *machineListConn) Read(c *eventloop.Conn, p []byte) {
	if err := l.reader.Feed(p, l.take); err != nil {
		l.h.log.Warn("link closed", "peer", "list", "why", err)
		c.Reset()
	}
}

func (l *machineListConn) Closed(*eventloop.Conn, error) {
	l.conn = nil
	l.h.loop.After(relist, l.call)
}

func (l *machineListConn) take(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.MachineListUpdate:
		l.version = f.Version
		l.h.learn(f)
	case *protocol.MachineListError:
		l.h.loop.After(relist, func() {
			if l.conn != nil {
				l.send(&protocol.WatchMachineList{Enabled: true, SinceVersion: l.version})
			}
		})
	}
	return nil
}

// learn shows the machines of the list.
func (h *Server) learn(f *protocol.MachineListUpdate) {
	named := map[string]bool{}
	for _, e := range f.Entries {
		named[e.Machine] = e.State != protocol.MachineGone
		if e.State == protocol.MachineGone {
			continue
		}
		h.halls[e.Machine] = e
		m := Machine{ID: e.Machine, Zone: e.Zone, State: e.State.String(), FreeCores: e.FreeCores, FreeMemoryGiB: e.FreeMemory,
			Incarnation: e.Incarnation}
		if e.MachineType < len(h.place.SchedulerConfig.Kinds) {
			m.MachineType = h.place.SchedulerConfig.Kinds[e.MachineType]
		}
		h.publish(KindMachines, m.ID, m, false, true)
	}
	for id := range h.halls {
		if on, said := named[id]; said && !on || f.FullSnapshot && !on {
			delete(h.halls, id)
			h.publish(KindMachines, id, Machine{ID: id}, true, true)
		}
	}
}
