package platformcheck

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"glenport/internal/testbed/simnet"
)

const (
	offsetInterval = time.Second             // a line with the last number comes so often
	toldLimit      = 4500 * time.Millisecond // an event counts as told after this, whatever the bus does
	oldBusLinger   = 1500 * time.Millisecond // an address that was left closes its connections then
)

// discovery is the event bus, at one of its addresses.
type discovery struct {
	w         *World
	endpoints [len(busAddrs)]*simnet.Endpoint
	active    int // index of the address that tells
	events    []listEvent
	watches   []*watch
	silent    bool
}

// listEvent is a line of the bus, with the changes that it tells.
type listEvent struct {
	line    string
	changes []change
}

// change is a new state of a machine.
type change struct {
	machine *machine
	number  int
}

func (w *World) newDiscovery() *discovery {
	d := &discovery{w: w}
	for i := range d.endpoints {
		d.endpoints[i] = &simnet.Endpoint{Accept: func() simnet.PeerHandler { return &watch{discovery: d, address: i} }}
		d.endpoints[i].Refuse = i != d.active
		w.network.Listen(busAddrs[i], d.endpoints[i])
	}
	return d
}

func (d *discovery) address() netip.AddrPort { return busAddrs[d.active] }

// publish numbers an event that names machines, and tells it.
func (d *discovery) publish(whole bool, machines ...*machine) {
	d.number(listEvent{}, whole, machines)
}

// publishWithout is publish of a whole list by which a machine is gone that it does not name.
func (d *discovery) publishWithout(gone *machine, machines ...*machine) {
	d.number(listEvent{changes: []change{{gone, gone.change}}}, true, machines)
}

func (d *discovery) number(event listEvent, whole bool, machines []*machine) {
	offset := len(d.events) + 1
	entries := make([]string, 0, len(machines))
	for _, m := range machines {
		entries = append(entries, m.entry())
		event.changes = append(event.changes, change{m, m.change})
	}
	event.line = fmt.Sprintf(`{"offset":%d,"topology":{"seq":%d,"whole":%t,"hosts":[%s]}}`,
		offset, offset, whole, strings.Join(entries, ","))
	d.events = append(d.events, event)
	d.w.note("the bus has %s", event.line)
	d.w.network.After(toldLimit, func() { d.told(event) })
	if d.silent {
		return
	}
	for _, watch := range d.watches {
		watch.tell(offset)
	}
}

// read notes that the process has read an event.
func (d *discovery) read(event listEvent) {
	d.told(event)
	for _, c := range event.changes {
		m := c.machine
		if m.heardOf == 0 {
			m.heardOf = max(d.w.now(), 1)
		}
		if m.change == c.number {
			m.startIsRead()
		}
	}
}

// told notes that the process knows an event, or has to.
func (d *discovery) told(event listEvent) {
	for _, c := range event.changes {
		m := c.machine
		if m.change == c.number && m.state != healthReady && m.unavailableTold == 0 {
			m.unavailableTold = d.w.now()
		}
	}
}

// restart numbers the events anew for an incarnation, whose first one is the whole list.
func (d *discovery) restart() (known []string) {
	d.events, d.silent = nil, false
	d.endpoints[d.active].Refuse = false
	d.publish(true, d.w.listed()...)
	event := d.events[0]
	d.read(event)
	return []string{event.line}
}

// breakOff ends all connections of the watch.
func (d *discovery) breakOff() {
	for _, watch := range slices.Clone(d.watches) {
		watch.end()
	}
}

// move goes on at the other address; the one that is left closes its connections later.
func (d *discovery) move() {
	old := d.watches
	d.endpoints[d.active].Refuse = true
	d.active = 1 - d.active
	d.endpoints[d.active].Refuse = false
	d.watches = nil
	d.w.network.After(oldBusLinger, func() {
		for _, watch := range old {
			watch.end()
		}
	})
}

// watch is a connection of the process to the bus.
type watch struct {
	discovery *discovery
	address   int
	conn      *simnet.PeerConn
	lines     lineReader
	following bool // the process has asked
	toldTo    int  // the last event that was written
	toldAny   bool // an event was written
	gap       bool // one was passed over: the process cannot make use of later ones
}

// Connected implements simnet.PeerHandler.
func (x *watch) Connected(conn *simnet.PeerConn) {
	x.conn = conn
	x.discovery.watches = append(x.discovery.watches, x)
}

// Received implements simnet.PeerHandler: the process says from where on it wants to be told.
func (x *watch) Received(_ *simnet.PeerConn, chunk simnet.Chunk) {
	x.lines.feed(chunk, func(line receivedLine) {
		number, ok := strings.CutPrefix(string(line.text), "from ")
		from, err := strconv.Atoi(number)
		if !ok || err != nil || from < 0 {
			x.discovery.w.judge.violate(ruleProcess, "the bus is asked for %q", line.text)
			return
		}
		x.following, x.toldTo = true, from
		if !x.discovery.silent {
			x.tell(len(x.discovery.events))
			x.tellOffset()
		}
	})
}

// Ended implements simnet.PeerHandler.
func (x *watch) Ended(conn *simnet.PeerConn, _ error) {
	conn.Close()
	x.remove()
}

func (x *watch) remove() {
	d := x.discovery
	d.watches = slices.DeleteFunc(slices.Clone(d.watches), func(other *watch) bool { return other == x })
}

func (x *watch) end() {
	x.remove()
	x.conn.Reset()
}

// tell writes the events up to a number that were not written yet.
func (x *watch) tell(offset int) {
	for x.following && x.address == x.discovery.active && x.toldTo < offset {
		x.toldTo++
		x.tellAgain(x.toldTo)
	}
}

// tellAgain writes one event.
func (x *watch) tellAgain(offset int) {
	event := x.discovery.events[offset-1]
	line := x.discovery.w.fault.busLine(event.line)
	x.toldAny = true
	x.conn.Write([]byte(line+"\n"), func() {
		if !x.gap {
			x.discovery.read(event)
		}
	})
}

// tellOffset writes the last number, now and each second.
func (x *watch) tellOffset() {
	d := x.discovery
	if !slices.Contains(d.watches, x) {
		return
	}
	if !d.silent {
		x.conn.Write(fmt.Appendf(nil, `{"offset":%d}`+"\n", len(d.events)), nil)
	}
	d.w.network.After(offsetInterval, x.tellOffset)
}
