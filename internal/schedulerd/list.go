package schedulerd

import (
	"errors"
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// listLink is the link to the list of machines. When and how often it is asked the placer module decides.
type listLink struct {
	h       *Host
	conn    *eventloop.Conn
	reader  protocol.Reader
	life    uint64 // of the service that told the version
	version int64
	held    heldList
	heardAt eventloop.Tick
	spokeAt eventloop.Tick // when a frame of it last came
	asked   bool           // an answer is due, or changes are: a break is a failed call
}

// watch sends a question to the list, over a new link where there is none.
func (h *Host) watch(f protocol.Frame) {
	l := &h.list
	l.h = h
	if l.conn == nil {
		l.reader, l.heardAt = protocol.Reader{}, h.loop.Now()
		l.conn = h.loop.Dial(h.site.ListAddr, l, h.site.Output, h.site.Connect)
		l.write(protocol.NewHello(protocol.RoleScheduler, h.site.Name, h.life))
	}
	l.asked = true
	l.write(f)
}

func (l *listLink) write(f protocol.Frame) {
	p, err := l.h.frame(f)
	if err == nil {
		err = l.conn.Write(p)
	}
	if err != nil {
		l.h.badLink("list", err)
		l.conn.Reset()
	}
}

func (l *listLink) Opened(*eventloop.Conn) {}

func (l *listLink) Read(c *eventloop.Conn, p []byte) {
	l.heardAt = l.h.loop.Now()
	l.spokeAt = l.heardAt
	if err := l.reader.Feed(p, l.take); err != nil && c == l.conn {
		l.h.badLink("list", err)
		c.Reset()
	}
}

func (l *listLink) Closed(c *eventloop.Conn, why error) {
	if c != l.conn {
		return
	}
	l.conn = nil
	if l.asked {
		l.asked = false
		l.h.feed(scheduler.MachineListUpdate{Mode: scheduler.UpdateFailed})
	}
}

func (l *listLink) house(now eventloop.Tick) {
	if l.conn != nil && now-l.heardAt > l.h.site.Silent {
		l.h.badLink("list", fmt.Errorf("nothing heard for %d ms", (now-l.heardAt)/eventloop.Millisecond))
		l.conn.Reset()
	}
}

func (l *listLink) take(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		if f.Role != protocol.RoleMachineList {
			return fmt.Errorf("a %s answers where the list was called", f.Role)
		}
		if was := l.version; f.Incarnation != l.life {
			if l.life, l.version = f.Incarnation, 0; was > 0 { // what it was asked for, changes since then, are another life's
				return fmt.Errorf("the list started anew: version %d was its earlier life's, it is asked for the whole", was)
			}
		}
	case *protocol.MachineListUpdate:
		if f.Version < l.version {
			return fmt.Errorf("list of version %d after one of version %d: not taken", f.Version, l.version)
		}
		mode := scheduler.DeltaUpdate
		if f.FullSnapshot {
			mode = scheduler.FullSnapshot
		}
		l.version = f.Version
		l.h.learn(mode, f.Version, f.Entries)
	case *protocol.MachineListError:
		l.h.log.Warn("list call failed", "why", f.Message)
		l.h.feed(scheduler.MachineListUpdate{Mode: scheduler.UpdateFailed})
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return errors.New("the list says: " + f.Message)
	default:
		return fmt.Errorf("%T is not for a placer", f)
	}
	return nil
}

// learn notes where machines are and hands the list on. A machine's start is reckoned once for each of its
// incarnations: an age that came by another way must not look like another start.
func (h *Host) learn(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
	now := scheduler.Time(h.loop.Now())
	e := scheduler.MachineListUpdate{Mode: mode, Version: version, Entries: make([]scheduler.MachineEntry, 0, len(entries))}
	named := map[scheduler.MachineID]bool{}
	var ids []scheduler.MachineID
	var started []*machine
	for i := range entries {
		l := &entries[i]
		m := h.machine(scheduler.MachineID(l.Machine))
		if l.State != protocol.MachineGone {
			named[m.id] = true
			ids = append(ids, m.id)
		}
		m.gone = l.State == protocol.MachineGone
		if drains := l.State == protocol.MachineDraining; drains != m.draining {
			m.draining = drains
			for _, b := range ordered(m.bids) {
				if b.placed {
					h.route(b, true)
				}
			}
		}
		if m.addr != l.Address && l.Address != "" {
			if m.addr = l.Address; m.conn != nil {
				m.conn.Reset() // it has moved
			}
		}
		if l.Incarnation > m.incarnation || l.Incarnation == m.incarnation && (m.startedAt == 0 || m.greeted) {
			m.incarnation, m.startedAt, m.greeted = l.Incarnation, 0, false
			if l.Age >= 0 {
				m.startedAt = max(1, now-scheduler.Time(l.Age))
			}
			started = append(started, m)
		}
		e.Entries = append(e.Entries, m.entry(l))
	}
	for id, m := range h.machines {
		if mode != scheduler.DeltaUpdate && !named[id] {
			m.gone = true
		}
		if m.gone {
			h.tell(reconcile.MachineRemoved{Machine: id})
			m.settle()
		}
	}
	h.feed(e)
	if h.state != nil {
		h.state.named()
		for _, m := range started {
			h.state.noteIncarnation(m)
		}
	}
	h.tell(reconcile.MachinesListed{Machines: ids, FullSnapshot: mode == scheduler.FullSnapshot})
	h.list.held.merge(mode, version, entries)
}

func (m *machine) entry(l *protocol.MachineEntry) scheduler.MachineEntry {
	return scheduler.MachineEntry{Machine: m.id, Zone: l.Zone, MachineType: l.MachineType, RackGroup: l.RackGroup, State: scheduler.MachineState(l.State),
		FreeCores: l.FreeCores, FreeMemory: l.FreeMemory, PowerHint: l.PowerHint, StartedAt: m.startedAt}
}

// greeted takes up a start of which no list has told yet: the machine's own word is the first. It says which start, not
// how old; until a list does, it counts as new.
func (h *Host) greeted(m *machine, start uint64) {
	l, listed := h.list.held.entries[string(m.id)]
	if start <= m.incarnation || !listed {
		return
	}
	m.incarnation, m.startedAt, m.greeted = start, scheduler.Time(h.loop.Now()), true
	h.feed(scheduler.MachineListUpdate{Mode: scheduler.SelfReported, Version: h.list.version, Entries: []scheduler.MachineEntry{m.entry(&l)}})
	if h.state != nil {
		h.state.named()
		h.state.noteIncarnation(m)
	}
}

// heldList is the list as last heard.
type heldList struct {
	entries map[string]protocol.MachineEntry
	version int64
}

func (l *heldList) merge(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
	if l.entries == nil || mode != scheduler.DeltaUpdate {
		l.entries = map[string]protocol.MachineEntry{}
	}
	l.version = version
	for _, e := range entries {
		if e.State == protocol.MachineGone {
			delete(l.entries, e.Machine)
		} else {
			l.entries[e.Machine] = e
		}
	}
}
