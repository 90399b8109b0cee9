package platformcheck

import (
	"fmt"
	"slices"
	"time"
)

// reload makes the process reload its configuration.
func (w *World) reload() {
	if w.server == nil {
		return
	}
	config := *w.config
	config.DiscoveryAddr = w.discovery.address().String()
	w.server.Reload(&config)
}

// moveDiscovery moves the discovery service to its other address and reloads the configuration with that address.
func (w *World) moveDiscovery() {
	w.discovery.move()
	w.reload()
}

func (w *World) silenceDiscovery(_ Event, span time.Duration) {
	w.discovery.silent = true
	w.network.After(span, w.discovery.restore)
}

func (w *World) takeDiscoveryDown(_ Event, span time.Duration) {
	w.discovery.endpoints[w.discovery.activeIndex].Refuse = true
	w.discovery.disconnect()
	w.network.After(span, w.discovery.restore)
}

// restore ends a fault of the discovery service and sends the events that were held back.
func (d *discovery) restore() {
	d.silent = false
	d.endpoints[d.activeIndex].Refuse = false
	for _, watch := range d.watches {
		watch.sendUpTo(len(d.events))
	}
}

// disconnectWithinLine writes part of an event before it ends the connections.
func (d *discovery) disconnectWithinLine() {
	for _, watch := range d.watches {
		watch.conn.Write([]byte(`{"offset":`), nil)
	}
	d.disconnect()
}

// repeatEvents writes the last events again.
func (d *discovery) repeatEvents() {
	for _, watch := range d.watches {
		for offset := max(1, watch.sentUpTo-2); offset <= min(watch.sentUpTo, len(d.events)); offset++ {
			watch.sendEvent(offset)
		}
	}
}

// skipNextEvent skips the next event of each connection. The first event of a connection is never skipped, because the
// process can detect a gap only after it.
func (d *discovery) skipNextEvent() {
	for _, watch := range d.watches {
		if watch.offsetReceived && watch.sentAny {
			watch.sentUpTo++
			watch.gap = true
		}
	}
}

// drainInGap drains a machine and skips the event that reports the drain.
func (w *World) drainInGap(m *machine) {
	if m.state == healthGone {
		return
	}
	w.discovery.skipNextEvent()
	w.setState(m, healthDraining)
}

// forgetWatches makes the discovery service send nothing more on its current connections, which stay open.
func (d *discovery) forgetWatches() { d.watches = nil }

// setState changes the state of a machine and publishes the change.
func (w *World) setState(m *machine, state string) {
	if m.state == healthGone {
		return
	}
	m.setState(state)
	w.discovery.publish(false, m)
}

// setState changes the state of the machine, but does not publish the change.
func (m *machine) setState(state string) {
	m.stateVersion++
	m.state = state
	if state == healthReady {
		m.unavailableKnownAt = 0
	}
}

// removeMachine stops a machine for good.
func (w *World) removeMachine(m *machine) {
	if m.state == healthGone || len(w.listedMachines()) <= 2 {
		return
	}
	m.stop()
	m.endpoint.Refuse = true
	w.setState(m, healthGone)
}

// restartMachine restarts a machine and publishes the restart. The machine then is in slow start.
func (w *World) restartMachine(m *machine) {
	if m.state == healthGone {
		return
	}
	m.restart()
	w.setState(m, healthReady)
}

// restart stops the machine and starts it again.
func (m *machine) restart() {
	m.stop()
	m.recordStart()
	// The process may consider an offer lost if it decided the offer before the restart and sent it after the restart.
	m.extendUncertainty(m.w.now() + m.w.params.slowStart.connectTimeout)
}

// everyThird returns every third of the listed machines. The event selects the first.
func (w *World) everyThird(e Event) []*machine {
	var third []*machine
	for i, m := range w.listedMachines() {
		if i%3 == int(e.Target)%3 {
			third = append(third, m)
		}
	}
	return third
}

// restartThird restarts a third of the machines and publishes the restarts in one event.
func (w *World) restartThird(e Event) {
	third := w.everyThird(e)
	for _, m := range third {
		m.restart()
		m.setState(healthReady)
	}
	w.discovery.publish(false, third...)
}

// drainThird drains a third of the machines and publishes the drains in one event.
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

// omitFromList stops a machine and publishes the whole machine list without it.
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

// replaceMachine stops a machine and starts another one at its address.
func (w *World) replaceMachine(m *machine) {
	if m.state == healthGone {
		return
	}
	m.stop()
	m.stateVersion++
	m.state = healthGone
	successor := w.newMachine(fmt.Sprintf("m%02d", len(w.machines)), m.number)
	successor.unreliable = true // it may accept offers to its predecessor
	successor.recordStart()
	w.machines = append(w.machines, successor)
	w.discovery.publish(false, m, successor)
}

// addMachine adds a machine at a new address.
func (w *World) addMachine() {
	number := len(w.machines)
	m := w.newMachine(fmt.Sprintf("m%02d", number), number)
	m.recordStart()
	w.machines = append(w.machines, m)
	w.discovery.publish(false, m)
}

// resetConnection resets one connection of the process to the machine.
func (m *machine) resetConnection() {
	if len(m.conns) > 0 && !m.partitioned {
		m.conns[0].reset()
	}
}

// forgetConnections makes the machine forget its connections.
func (m *machine) forgetConnections() {
	if m.partitioned {
		return
	}
	for _, conn := range slices.Clone(m.conns) {
		conn.forget()
	}
}

// closeConnection closes one connection of the process to the machine.
func (m *machine) closeConnection() {
	if len(m.conns) > 0 && !m.partitioned {
		conn := m.conns[0]
		conn.close()
		conn.conn.Close()
	}
}

// excusePlacements marks the placements whose ends nobody can report after the process has ended: those that ended when
// a machine was stopped, those whose end a killed process had read, and those whose report a client may have left
// unread.
func (w *World) excusePlacements() {
	for _, m := range w.machines {
		for _, p := range m.stoppedPlacements {
			p.endReportExcused = true
		}
		m.stoppedPlacements = nil
	}
	leftUnread := slices.ContainsFunc(w.clients, func(c *client) bool { return c.conn.Congested() })
	for _, p := range w.knownPlacements() {
		if leftUnread && !p.runs() || w.processKilled && p.endRead {
			p.endReportExcused = true
		}
	}
}

// excuseRequests marks the open requests, for which a killed process owes no answer.
func (w *World) excuseRequests() {
	for _, c := range w.clients {
		for _, r := range c.requests {
			r.excused = true
		}
	}
}
