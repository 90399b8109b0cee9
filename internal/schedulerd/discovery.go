package schedulerd

import (
	"errors"
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// discoveryClient is the link to the list of machines. When and how often it is asked the placer module decides.
type discoveryClient struct {
	server             *Server
	conn               *eventloop.Conn
	reader             protocol.Reader
	serviceIncarnation uint64 // of the service that told the version
	version            int64
	cache              machineListCache
	lastReadAt         eventloop.Tick
	lastFrameAt        eventloop.Tick // when a frame of it last came
	awaitingReply      bool           // an answer is due, or changes are: a break is a failed call
}

// requestList sends a question to the list, over a new link where there is none.
func (h *Server) requestList(f protocol.Frame) {
	l := &h.discovery
	l.server = h
	if l.conn == nil {
		l.reader, l.lastReadAt = protocol.Reader{}, h.loop.Now()
		l.conn = h.loop.Dial(h.config.ListAddr, l, h.config.Output, h.config.Connect)
		l.send(protocol.NewHello(protocol.RoleScheduler, h.config.Name, h.incarnation))
	}
	l.awaitingReply = true
	l.send(f)
}

func (l *discoveryClient) send(f protocol.Frame) {
	p, err := l.server.encode(f)
	if err == nil {
		err = l.conn.Write(p)
	}
	if err != nil {
		l.server.logConnectionClosed("list", err)
		l.conn.Reset()
	}
}

func (l *discoveryClient) Opened(*eventloop.Conn) {}

func (l *discoveryClient) Read(c *eventloop.Conn, p []byte) {
	l.lastReadAt = l.server.loop.Now()
	l.lastFrameAt = l.lastReadAt
	if err := l.reader.Feed(p, l.handleFrame); err != nil && c == l.conn {
		l.server.logConnectionClosed("list", err)
		c.Reset()
	}
}

func (l *discoveryClient) Closed(c *eventloop.Conn, why error) {
	if c != l.conn {
		return
	}
	l.conn = nil
	if l.awaitingReply {
		l.awaitingReply = false
		l.server.enqueueSchedulerEvent(scheduler.MachineListUpdate{Mode: scheduler.UpdateFailed})
	}
}

func (l *discoveryClient) checkTimeouts(now eventloop.Tick) {
	if l.conn != nil && now-l.lastReadAt > l.server.config.Silent {
		l.server.logConnectionClosed("list", fmt.Errorf("nothing heard for %d ms", (now-l.lastReadAt)/eventloop.Millisecond))
		l.conn.Reset()
	}
}

func (l *discoveryClient) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		if f.Role != protocol.RoleMachineList {
			return fmt.Errorf("a %s answers where the list was called", f.Role)
		}
		if was := l.version; f.Incarnation != l.serviceIncarnation {
			if l.serviceIncarnation, l.version = f.Incarnation, 0; was > 0 { // what it was asked for, changes since then, are another life's
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
		l.server.applyList(mode, f.Version, f.Entries)
	case *protocol.MachineListError:
		l.server.log.Warn("list call failed", "why", f.Message)
		l.server.enqueueSchedulerEvent(scheduler.MachineListUpdate{Mode: scheduler.UpdateFailed})
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return errors.New("the list says: " + f.Message)
	default:
		return fmt.Errorf("%T is not for a placer", f)
	}
	return nil
}

// applyList notes where machines are and hands the list on. A machine's start is reckoned once for each of its
// incarnations: an age that came by another way must not look like another start.
func (h *Server) applyList(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
	now := scheduler.Time(h.loop.Now())
	e := scheduler.MachineListUpdate{Mode: mode, Version: version, Entries: make([]scheduler.MachineEntry, 0, len(entries))}
	named := map[scheduler.MachineID]bool{}
	var ids []scheduler.MachineID
	var started []*machine
	for i := range entries {
		l := &entries[i]
		m := h.machineFor(scheduler.MachineID(l.Machine))
		if l.State != protocol.MachineGone {
			named[m.id] = true
			ids = append(ids, m.id)
		}
		m.gone = l.State == protocol.MachineGone
		if drains := l.State == protocol.MachineDraining; drains != m.draining {
			m.draining = drains
			for _, b := range attemptsInOrder(m.attempts) {
				if b.accepted {
					h.announce(b, true)
				}
			}
		}
		if m.addr != l.Address && l.Address != "" {
			if m.addr = l.Address; m.conn != nil {
				m.conn.Reset() // it has moved
			}
		}
		if l.Incarnation > m.incarnation || l.Incarnation == m.incarnation && (m.startedAt == 0 || m.selfReported) {
			m.incarnation, m.startedAt, m.selfReported = l.Incarnation, 0, false
			if l.Age >= 0 {
				m.startedAt = max(1, now-scheduler.Time(l.Age))
			}
			started = append(started, m)
		}
		e.Entries = append(e.Entries, m.listEntry(l))
	}
	for id, m := range h.machines {
		if mode != scheduler.DeltaUpdate && !named[id] {
			m.gone = true
		}
		if m.gone {
			h.enqueueOwnershipEvent(reconcile.MachineRemoved{Machine: id})
			m.removeIfGone()
		}
	}
	h.enqueueSchedulerEvent(e)
	if h.state != nil {
		h.state.restoreListed()
		for _, m := range started {
			h.state.noteIncarnation(m)
		}
	}
	h.enqueueOwnershipEvent(reconcile.MachinesListed{Machines: ids, FullSnapshot: mode == scheduler.FullSnapshot})
	h.discovery.cache.merge(mode, version, entries)
}

func (m *machine) listEntry(l *protocol.MachineEntry) scheduler.MachineEntry {
	return scheduler.MachineEntry{Machine: m.id, Zone: l.Zone, MachineType: l.MachineType, RackGroup: l.RackGroup, State: scheduler.MachineState(l.State),
		FreeCores: l.FreeCores, FreeMemory: l.FreeMemory, PowerHint: l.PowerHint, StartedAt: m.startedAt}
}

// machineHello takes up a start of which no list has told yet: the machine's own word is the first. It says which start, not
// how old; until a list does, it counts as new.
func (h *Server) machineHello(m *machine, start uint64) {
	l, listed := h.discovery.cache.entries[string(m.id)]
	if start <= m.incarnation || !listed {
		return
	}
	m.incarnation, m.startedAt, m.selfReported = start, scheduler.Time(h.loop.Now()), true
	h.enqueueSchedulerEvent(scheduler.MachineListUpdate{Mode: scheduler.SelfReported, Version: h.discovery.version, Entries: []scheduler.MachineEntry{m.listEntry(&l)}})
	if h.state != nil {
		h.state.restoreListed()
		h.state.noteIncarnation(m)
	}
}

// machineListCache is the list as last heard.
type machineListCache struct {
	entries map[string]protocol.MachineEntry
	version int64
}

func (l *machineListCache) merge(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
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
