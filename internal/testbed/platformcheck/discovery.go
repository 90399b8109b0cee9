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
	offsetInterval   = time.Second             // between lines with the offset of the last event
	knownWithin      = 4500 * time.Millisecond // until the process must know an event, even after faults
	oldAddressLinger = 1500 * time.Millisecond // after a move, until the old address closes its connections
)

// discovery is the discovery service, which is active at one of its addresses.
type discovery struct {
	w           *World
	endpoints   [len(discoveryAddrs)]*simnet.Endpoint
	activeIndex int // index of the active address
	events      []listEvent
	watches     []*watch
	silent      bool
}

// listEvent is an event of the machine list, with the changes that it reports.
type listEvent struct {
	line    string
	changes []change
}

// change is a change of the state of a machine.
type change struct {
	machine *machine
	version int
}

func (w *World) newDiscovery() *discovery {
	d := &discovery{w: w}
	for i := range d.endpoints {
		d.endpoints[i] = &simnet.Endpoint{Accept: func() simnet.PeerHandler { return &watch{discovery: d, address: i} }}
		d.endpoints[i].Refuse = i != d.activeIndex
		w.network.Listen(discoveryAddrs[i], d.endpoints[i])
	}
	return d
}

func (d *discovery) address() netip.AddrPort { return discoveryAddrs[d.activeIndex] }

// publish publishes an event that lists machines. If whole is set, it is the whole machine list.
func (d *discovery) publish(whole bool, machines ...*machine) {
	d.publishEvent(listEvent{}, whole, machines)
}

// publishWithout publishes the whole machine list without a machine. The omission reports that the machine is gone.
func (d *discovery) publishWithout(gone *machine, machines ...*machine) {
	d.publishEvent(listEvent{changes: []change{{gone, gone.stateVersion}}}, true, machines)
}

func (d *discovery) publishEvent(event listEvent, whole bool, machines []*machine) {
	offset := len(d.events) + 1
	entries := make([]string, 0, len(machines))
	for _, m := range machines {
		entries = append(entries, m.listEntry())
		event.changes = append(event.changes, change{m, m.stateVersion})
	}
	event.line = fmt.Sprintf(`{"offset":%d,"topology":{"seq":%d,"whole":%t,"hosts":[%s]}}`,
		offset, offset, whole, strings.Join(entries, ","))
	d.events = append(d.events, event)
	d.w.tracef("the discovery service publishes %s", event.line)
	d.w.network.After(knownWithin, func() { d.recordKnown(event) })
	if d.silent {
		return
	}
	for _, watch := range d.watches {
		watch.sendUpTo(offset)
	}
}

// recordRead records that the process has read an event.
func (d *discovery) recordRead(event listEvent) {
	d.recordKnown(event)
	for _, c := range event.changes {
		m := c.machine
		if m.firstReadAt == 0 {
			m.firstReadAt = max(d.w.now(), 1)
		}
		if m.stateVersion == c.version {
			m.recordStartRead()
		}
	}
}

// recordKnown records that the process knows an event, or must know it by now.
func (d *discovery) recordKnown(event listEvent) {
	for _, c := range event.changes {
		m := c.machine
		if m.stateVersion == c.version && m.state != healthReady && m.unavailableKnownAt == 0 {
			m.unavailableKnownAt = d.w.now()
		}
	}
}

// restart starts a new sequence of events for an incarnation of the process. Its first event is the whole machine list,
// which the process gets with its configuration.
func (d *discovery) restart() (known []string) {
	d.events, d.silent = nil, false
	d.endpoints[d.activeIndex].Refuse = false
	d.publish(true, d.w.listedMachines()...)
	event := d.events[0]
	d.recordRead(event)
	return []string{event.line}
}

// disconnect ends all connections of the process to the discovery service.
func (d *discovery) disconnect() {
	for _, watch := range slices.Clone(d.watches) {
		watch.end()
	}
}

// move activates the other address. The old address closes its connections later.
func (d *discovery) move() {
	old := d.watches
	d.endpoints[d.activeIndex].Refuse = true
	d.activeIndex = 1 - d.activeIndex
	d.endpoints[d.activeIndex].Refuse = false
	d.watches = nil
	d.w.network.After(oldAddressLinger, func() {
		for _, watch := range old {
			watch.end()
		}
	})
}

// watch is a connection of the process to the discovery service.
type watch struct {
	discovery      *discovery
	address        int
	conn           *simnet.PeerConn
	lines          lineReader
	offsetReceived bool // the process has sent the offset from which it follows
	sentUpTo       int  // offset of the last event that was written
	sentAny        bool // an event was written
	gap            bool // an event was skipped: the process cannot apply later events
}

// Connected implements simnet.PeerHandler.
func (x *watch) Connected(conn *simnet.PeerConn) {
	x.conn = conn
	x.discovery.watches = append(x.discovery.watches, x)
}

// Received implements simnet.PeerHandler. The process sends the offset after which it wants events.
func (x *watch) Received(_ *simnet.PeerConn, chunk simnet.Chunk) {
	x.lines.feed(chunk, func(line receivedLine) {
		number, ok := strings.CutPrefix(string(line.text), "from ")
		from, err := strconv.Atoi(number)
		if !ok || err != nil || from < 0 {
			x.discovery.w.checker.report(ruleProcess, "the discovery service got an invalid request: %q", line.text)
			return
		}
		x.offsetReceived, x.sentUpTo = true, from
		if !x.discovery.silent {
			x.sendUpTo(len(x.discovery.events))
			x.sendOffset()
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

// sendUpTo writes the events up to an offset that were not written yet.
func (x *watch) sendUpTo(offset int) {
	for x.offsetReceived && x.address == x.discovery.activeIndex && x.sentUpTo < offset {
		x.sentUpTo++
		x.sendEvent(x.sentUpTo)
	}
}

// sendEvent writes the event with an offset.
func (x *watch) sendEvent(offset int) {
	event := x.discovery.events[offset-1]
	line := x.discovery.w.fault.discoveryLine(event.line)
	x.sentAny = true
	x.conn.Write([]byte(line+"\n"), func() {
		if !x.gap {
			x.discovery.recordRead(event)
		}
	})
}

// sendOffset writes the offset of the last event, now and at each offsetInterval.
func (x *watch) sendOffset() {
	d := x.discovery
	if !slices.Contains(d.watches, x) {
		return
	}
	if !d.silent {
		x.conn.Write(fmt.Appendf(nil, `{"offset":%d}`+"\n", len(d.events)), nil)
	}
	d.w.network.After(offsetInterval, x.sendOffset)
}
