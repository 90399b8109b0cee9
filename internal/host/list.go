package host

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sort"
	"sync"

	"glenport/internal/custody"
	"glenport/internal/link"
	"glenport/internal/loop"
	"glenport/placer"

	"github.com/google/renameio/v2"
)

// listLink is the link to the list of machines. When and how often it is asked the placer module decides.
type listLink struct {
	h       *Host
	conn    *loop.Conn
	reader  link.Reader
	version int64
	heardAt loop.Tick
	spokeAt loop.Tick // when a frame of it last came
	asked   bool      // an answer is due, or changes are: a break is a failed call
}

// watch sends a question to the list, over a new link where there is none.
func (h *Host) watch(f link.Frame) {
	l := &h.list
	l.h = h
	if l.conn == nil {
		l.reader, l.heardAt = link.Reader{}, h.loop.Now()
		l.conn = h.loop.Dial(h.site.ListAddr, l, h.site.Output, h.site.Connect)
		l.write(link.Greeting(link.Placer, h.site.Name, h.life))
	}
	l.asked = true
	l.write(f)
}

func (l *listLink) write(f link.Frame) {
	p, err := l.h.frame(f)
	if err == nil {
		err = l.conn.Write(p)
	}
	if err != nil {
		l.h.badLink("list", err)
		l.conn.Reset()
	}
}

func (l *listLink) Opened(*loop.Conn) {}

func (l *listLink) Read(c *loop.Conn, p []byte) {
	l.heardAt = l.h.loop.Now()
	l.spokeAt = l.heardAt
	if err := l.reader.Feed(p, l.take); err != nil && c == l.conn {
		l.h.badLink("list", err)
		c.Reset()
	}
}

func (l *listLink) Closed(c *loop.Conn, why error) {
	if c != l.conn {
		return
	}
	l.conn = nil
	if l.asked {
		l.asked = false
		l.h.feed(placer.ListCame{Mode: placer.ListFailed})
	}
}

func (l *listLink) house(now loop.Tick) {
	if l.conn != nil && now-l.heardAt > l.h.site.Silent {
		l.h.badLink("list", fmt.Errorf("nothing heard for %d ms", (now-l.heardAt)/loop.Millisecond))
		l.conn.Reset()
	}
}

func (l *listLink) take(f link.Frame) error {
	switch f := f.(type) {
	case *link.Hello:
		if f.Role != link.List {
			return fmt.Errorf("a %s answers where the list was called", f.Role)
		}
	case *link.Listed:
		mode := placer.Changes
		if f.Whole {
			mode = placer.WholeList
		}
		l.version = f.Version
		l.h.learn(mode, f.Version, f.Entries)
		l.h.keeper.save(l.h)
	case *link.Failed:
		l.h.log.Warn("list call failed", "why", f.Text)
		l.h.feed(placer.ListCame{Mode: placer.ListFailed})
	case *link.Beat:
	case *link.Bye:
		return errors.New("the list says: " + f.Text)
	default:
		return fmt.Errorf("%T is not for a placer", f)
	}
	return nil
}

// learn notes where machines are and hands the list on. A machine's start is reckoned once for each of its
// incarnations: an age that came by another way must not look like another start.
func (h *Host) learn(mode placer.ListMode, version int64, entries []link.Entry) {
	now := placer.Time(h.loop.Now())
	e := placer.ListCame{Mode: mode, Version: version, Entries: make([]placer.Entry, 0, len(entries))}
	named := map[placer.MachineID]bool{}
	var ids []placer.MachineID
	for i := range entries {
		l := &entries[i]
		m := h.machine(placer.MachineID(l.Machine))
		if l.State != link.Gone {
			named[m.id] = true
			ids = append(ids, m.id)
		}
		m.gone = l.State == link.Gone
		if drains := l.State == link.Draining; drains != m.draining {
			m.draining = drains
			for _, b := range ordered(m.bids) {
				if b.placed {
					h.route(b, true)
				}
			}
		}
		if m.addr != l.Addr && l.Addr != "" {
			if m.addr = l.Addr; m.conn != nil {
				m.conn.Reset() // it has moved
			}
		}
		if m.incarnation != l.Incarnation || m.startedAt == 0 {
			m.incarnation, m.startedAt = l.Incarnation, 0
			if l.Age >= 0 {
				m.startedAt = max(1, now-placer.Time(l.Age))
			}
		}
		e.Entries = append(e.Entries, placer.Entry{Machine: m.id, Zone: l.Zone, Kind: l.Kind, Cell: l.Cell,
			State: placer.MachineState(l.State), FreeCores: l.FreeCores, FreeMemory: l.FreeMemory, PowerHint: l.Hint,
			StartedAt: m.startedAt})
	}
	for id, m := range h.machines {
		if mode != placer.Changes && !named[id] {
			m.gone = true
		}
		if m.gone {
			h.tell(custody.Unnamed{Machine: id})
			m.settle()
		}
	}
	h.feed(e)
	h.tell(custody.Named{Machines: ids})
	h.keeper.merge(mode, version, entries)
}

// keeper holds the list as last heard and writes it to a file, whole or not at all, at most once a second.
type keeper struct {
	entries map[string]link.Entry
	version int64
	due     bool
	writing sync.WaitGroup
}

func (k *keeper) merge(mode placer.ListMode, version int64, entries []link.Entry) {
	if k.entries == nil || mode != placer.Changes {
		k.entries = map[string]link.Entry{}
	}
	k.version = version
	for _, e := range entries {
		if e.State == link.Gone {
			delete(k.entries, e.Machine)
		} else {
			k.entries[e.Machine] = e
		}
	}
}

func (k *keeper) save(h *Host) {
	if k.due || h.site.Keep == "" {
		return
	}
	k.due = true
	h.loop.After(loop.Second, func() {
		k.due = false
		f := &link.Listed{Whole: true, Version: k.version}
		for _, e := range k.entries {
			if m := h.machines[placer.MachineID(e.Machine)]; m != nil && m.startedAt > 0 {
				e.Age = link.Span(placer.Time(h.loop.Now()) - m.startedAt)
			}
			f.Entries = append(f.Entries, e)
		}
		sort.Slice(f.Entries, func(i, j int) bool { return f.Entries[i].Machine < f.Entries[j].Machine })
		data, err := link.Append(binary.BigEndian.AppendUint64(nil, uint64(h.loop.Now())), f)
		if err != nil {
			h.log.Error("list not kept", "why", err)
			return
		}
		k.writing.Go(func() { // file work must not hold up the loop
			if err := renameio.WriteFile(h.site.Keep, data, 0o644); err != nil {
				h.loop.Post(func() { h.log.Warn("list not kept", "why", err) })
			}
		})
	})
}

func (k *keeper) wait() { k.writing.Wait() }

// load reads the kept list; ages have grown since.
func (k *keeper) load(path string, l *loop.Loop) ([]link.Entry, int64, error) {
	if path == "" {
		return nil, 0, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if len(data) < 13 || int(binary.BigEndian.Uint32(data[8:])) != len(data)-12 {
		return nil, 0, fmt.Errorf("%s is cut short or no kept list", path)
	}
	f, err := link.Decode(data[12:])
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	listed, ok := f.(*link.Listed)
	if !ok {
		return nil, 0, fmt.Errorf("%s holds a %T", path, f)
	}
	since := max(0, l.Now()-loop.Tick(binary.BigEndian.Uint64(data)))
	for i := range listed.Entries {
		if e := &listed.Entries[i]; e.Age >= 0 {
			e.Age += link.Span(since)
		}
	}
	return listed.Entries, listed.Version, nil
}
