package platformcheck

import (
	"fmt"
	"slices"
	"time"
)

// reload has the process read its file again.
func (w *World) reload() {
	if w.server == nil {
		return
	}
	config := *w.config
	config.DiscoveryAddr = w.discovery.address().String()
	w.server.Reload(&config)
}

// moveBus has the bus go on at its other address, which a new file names.
func (w *World) moveBus() {
	w.discovery.move()
	w.reload()
}

func (w *World) silenceBus(_ Event, span time.Duration) {
	w.discovery.silent = true
	w.network.After(span, w.discovery.restore)
}

func (w *World) takeBusDown(_ Event, span time.Duration) {
	w.discovery.endpoints[w.discovery.active].Refuse = true
	w.discovery.breakOff()
	w.network.After(span, w.discovery.restore)
}

// restore ends a fault of the bus, and tells what was not told meanwhile.
func (d *discovery) restore() {
	d.silent = false
	d.endpoints[d.active].Refuse = false
	for _, watch := range d.watches {
		watch.tell(len(d.events))
	}
}

// breakOffWithinLine writes half an event before the connections end.
func (d *discovery) breakOffWithinLine() {
	for _, watch := range d.watches {
		watch.conn.Write([]byte(`{"offset":`), nil)
	}
	d.breakOff()
}

// repeat writes the last events once more.
func (d *discovery) repeat() {
	for _, watch := range d.watches {
		for offset := max(1, watch.toldTo-2); offset <= min(watch.toldTo, len(d.events)); offset++ {
			watch.tellAgain(offset)
		}
	}
}

// leaveGap has the next event of each connection passed over. The first one of a connection always comes: behind it
// alone a gap can be seen.
func (d *discovery) leaveGap() {
	for _, watch := range d.watches {
		if watch.following && watch.toldAny {
			watch.toldTo++
			watch.gap = true
		}
	}
}

// drainInGap has the event by which a machine drains be passed over.
func (w *World) drainInGap(m *machine) {
	if m.state == healthGone {
		return
	}
	w.discovery.leaveGap()
	w.change(m, healthDraining)
}

// forget has the bus say nothing more on the connections that it has; they stay open.
func (d *discovery) forget() { d.watches = nil }

// change has the list tell a new state of a machine.
func (w *World) change(m *machine, state string) {
	if m.state == healthGone {
		return
	}
	m.changeTo(state)
	w.discovery.publish(false, m)
}

// changeTo has the machine be in a state, which the list is to tell yet.
func (m *machine) changeTo(state string) {
	m.change++
	m.state = state
	if state == healthReady {
		m.unavailableTold = 0
	}
}

// removeMachine ends a machine for good.
func (w *World) removeMachine(m *machine) {
	if m.state == healthGone || len(w.listed()) <= 2 {
		return
	}
	m.stop()
	m.endpoint.Refuse = true
	w.change(m, healthGone)
}

// restartMachine ends a machine's process and starts it again, cold.
func (w *World) restartMachine(m *machine) {
	if m.state == healthGone {
		return
	}
	m.restart()
	w.change(m, healthReady)
}

// restart ends the machine's process and starts it again.
func (m *machine) restart() {
	m.stop()
	m.starts()
	// What was decided before, and is sent after, counts as lost with the earlier start.
	m.doubtUntil(m.w.now() + m.w.form.slowStart.connectTimeout)
}

// third are the machines of which an event names every third one, but for those that are gone.
func (w *World) third(e Event) []*machine {
	var third []*machine
	for i, m := range w.listed() {
		if i%3 == int(e.Target)%3 {
			third = append(third, m)
		}
	}
	return third
}

// restartThird starts many machines anew, which the list says in one event.
func (w *World) restartThird(e Event) {
	third := w.third(e)
	for _, m := range third {
		m.restart()
		m.changeTo(healthReady)
	}
	w.discovery.publish(false, third...)
}

// drainThird has many machines drain, which the list says in one event.
func (w *World) drainThird(e Event) {
	third := w.third(e)
	for _, m := range third {
		m.changeTo(healthDraining)
	}
	w.discovery.publish(false, third...)
}

// makeReady ends a drain.
func (w *World) makeReady(m *machine) {
	if m.state == healthDraining {
		w.change(m, healthReady)
	}
}

// leaveOut has the whole list come without a machine, which is gone by that.
func (w *World) leaveOut(m *machine) {
	if m.state == healthGone || len(w.listed()) <= 2 {
		return
	}
	m.stop()
	m.endpoint.Refuse = true
	m.change++
	m.state = healthGone
	w.discovery.publishWithout(m, w.listed()...)
}

// succeed replaces a machine by another one at its address.
func (w *World) succeed(m *machine) {
	if m.state == healthGone {
		return
	}
	m.stop()
	m.change++
	m.state = healthGone
	successor := w.newMachine(fmt.Sprintf("m%02d", len(w.machines)), m.number)
	successor.unreliable = true // it may accept what was offered to its predecessor
	successor.starts()
	w.machines = append(w.machines, successor)
	w.discovery.publish(false, m, successor)
}

// addMachine adds one at an address of its own.
func (w *World) addMachine() {
	number := len(w.machines)
	m := w.newMachine(fmt.Sprintf("m%02d", number), number)
	m.starts()
	w.machines = append(w.machines, m)
	w.discovery.publish(false, m)
}

// resetOne resets a connection of the process.
func (m *machine) resetOne() {
	if len(m.conns) > 0 && !m.cut {
		m.conns[0].reset()
	}
}

// closeOne closes a connection of the process.
func (m *machine) closeOne() {
	if len(m.conns) > 0 && !m.cut {
		conn := m.conns[0]
		conn.close()
		conn.conn.Close()
	}
}

// excusePlacements takes in that the process has ended: what it was to tell of the stop of a machine nobody can tell
// any more, nor what a process that was killed had read, nor what a client has left unread.
func (w *World) excusePlacements() {
	for _, m := range w.machines {
		for _, p := range m.cutPlacements {
			p.unknowable = true
		}
		m.cutPlacements = nil
	}
	leftUnread := slices.ContainsFunc(w.clients, func(c *client) bool { return c.conn.Congested() })
	for _, p := range w.knownPlacements() {
		if leftUnread && !p.runs() || w.killed && p.releaseRead {
			p.unknowable = true
		}
	}
}

// excuseRequests takes in that the process was killed: no open request is owed an answer.
func (w *World) excuseRequests() {
	for _, c := range w.clients {
		for _, r := range c.open {
			r.excused = true
		}
	}
}
