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

// moveDiscovery has the bus go on at its other address, which a new file names.
func (w *World) moveDiscovery() {
	w.discovery.move()
	w.reload()
}

func (w *World) silenceDiscovery(_ Event, span time.Duration) {
	w.discovery.silent = true
	w.network.After(span, w.discovery.restore)
}

func (w *World) takeDiscoveryDown(_ Event, span time.Duration) {
	w.discovery.endpoints[w.discovery.active].Refuse = true
	w.discovery.disconnect()
	w.network.After(span, w.discovery.restore)
}

// restore ends a fault of the bus, and tells what was not told meanwhile.
func (d *discovery) restore() {
	d.silent = false
	d.endpoints[d.active].Refuse = false
	for _, watch := range d.watches {
		watch.sendUpTo(len(d.events))
	}
}

// disconnectWithinLine writes half an event before the connections end.
func (d *discovery) disconnectWithinLine() {
	for _, watch := range d.watches {
		watch.conn.Write([]byte(`{"offset":`), nil)
	}
	d.disconnect()
}

// repeatEvents writes the last events once more.
func (d *discovery) repeatEvents() {
	for _, watch := range d.watches {
		for offset := max(1, watch.sentUpTo-2); offset <= min(watch.sentUpTo, len(d.events)); offset++ {
			watch.sendEvent(offset)
		}
	}
}

// skipNextEvent has the next event of each connection passed over. The first one of a connection always comes: behind it
// alone a gap can be seen.
func (d *discovery) skipNextEvent() {
	for _, watch := range d.watches {
		if watch.following && watch.sentAny {
			watch.sentUpTo++
			watch.gap = true
		}
	}
}

// drainInGap has the event by which a machine drains be passed over.
func (w *World) drainInGap(m *machine) {
	if m.state == healthGone {
		return
	}
	w.discovery.skipNextEvent()
	w.setState(m, healthDraining)
}

// forgetWatches has the bus say nothing more on the connections that it has; they stay open.
func (d *discovery) forgetWatches() { d.watches = nil }

// setState has the list tell a new state of a machine.
func (w *World) setState(m *machine, state string) {
	if m.state == healthGone {
		return
	}
	m.setState(state)
	w.discovery.publish(false, m)
}

// setState has the machine be in a state, which the list is to tell yet.
func (m *machine) setState(state string) {
	m.stateVersion++
	m.state = state
	if state == healthReady {
		m.unavailableKnownAt = 0
	}
}

// removeMachine ends a machine for good.
func (w *World) removeMachine(m *machine) {
	if m.state == healthGone || len(w.listedMachines()) <= 2 {
		return
	}
	m.stop()
	m.endpoint.Refuse = true
	w.setState(m, healthGone)
}

// restartMachine ends a machine's process and starts it again, cold.
func (w *World) restartMachine(m *machine) {
	if m.state == healthGone {
		return
	}
	m.restart()
	w.setState(m, healthReady)
}

// restart ends the machine's process and starts it again.
func (m *machine) restart() {
	m.stop()
	m.recordStart()
	// What was decided before, and is sent after, counts as lost with the earlier start.
	m.extendUncertainty(m.w.now() + m.w.params.slowStart.connectTimeout)
}

// everyThird are the machines of which an event names every everyThird one, but for those that are gone.
func (w *World) everyThird(e Event) []*machine {
	var third []*machine
	for i, m := range w.listedMachines() {
		if i%3 == int(e.Target)%3 {
			third = append(third, m)
		}
	}
	return third
}

// restartThird starts many machines anew, which the list says in one event.
func (w *World) restartThird(e Event) {
	third := w.everyThird(e)
	for _, m := range third {
		m.restart()
		m.setState(healthReady)
	}
	w.discovery.publish(false, third...)
}

// drainThird has many machines drain, which the list says in one event.
func (w *World) drainThird(e Event) {
	third := w.everyThird(e)
	for _, m := range third {
		m.setState(healthDraining)
	}
	w.discovery.publish(false, third...)
}

// makeReady ends a drain.
func (w *World) makeReady(m *machine) {
	if m.state == healthDraining {
		w.setState(m, healthReady)
	}
}

// omitFromList has the whole list come without a machine, which is gone by that.
func (w *World) omitFromList(m *machine) {
	if m.state == healthGone || len(w.listedMachines()) <= 2 {
		return
	}
	m.stop()
	m.endpoint.Refuse = true
	m.stateVersion++
	m.state = healthGone
	w.discovery.publishWithout(m, w.listedMachines()...)
}

// replaceMachine replaces a machine by another one at its address.
func (w *World) replaceMachine(m *machine) {
	if m.state == healthGone {
		return
	}
	m.stop()
	m.stateVersion++
	m.state = healthGone
	successor := w.newMachine(fmt.Sprintf("m%02d", len(w.machines)), m.number)
	successor.unreliable = true // it may accept what was offered to its predecessor
	successor.recordStart()
	w.machines = append(w.machines, successor)
	w.discovery.publish(false, m, successor)
}

// addMachine adds one at an address of its own.
func (w *World) addMachine() {
	number := len(w.machines)
	m := w.newMachine(fmt.Sprintf("m%02d", number), number)
	m.recordStart()
	w.machines = append(w.machines, m)
	w.discovery.publish(false, m)
}

// resetConnection resets a connection of the process.
func (m *machine) resetConnection() {
	if len(m.conns) > 0 && !m.partitioned {
		m.conns[0].reset()
	}
}

// closeConnection closes a connection of the process.
func (m *machine) closeConnection() {
	if len(m.conns) > 0 && !m.partitioned {
		conn := m.conns[0]
		conn.close()
		conn.conn.Close()
	}
}

// excusePlacements takes in that the process has ended: what it was to tell of the stop of a machine nobody can tell
// any more, nor what a process that was killed had read, nor what a client has left unread.
func (w *World) excusePlacements() {
	for _, m := range w.machines {
		for _, p := range m.stoppedPlacements {
			p.endNotOwed = true
		}
		m.stoppedPlacements = nil
	}
	leftUnread := slices.ContainsFunc(w.clients, func(c *client) bool { return c.conn.Congested() })
	for _, p := range w.knownPlacements() {
		if leftUnread && !p.runs() || w.killed && p.endRead {
			p.endNotOwed = true
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
