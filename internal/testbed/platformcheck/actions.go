package platformcheck

import (
	"time"

	"glenport/internal/testbed/simnet"
)

const (
	shortWait = 15 * time.Millisecond // of a client with very little time left
	ms        = time.Millisecond
)

// actions are the variants of each sort of event.
var actions = map[Kind][]action{
	KindTerm: {{text: "the process is told to end", do: func(w *World, _ Event) { w.term() }}},
	KindReload: {
		{text: "the same file is read again", do: func(w *World, _ Event) { w.reload() }},
		{text: "the bus moves", do: func(w *World, _ Event) { w.moveDiscovery() }},
		{text: "the bus moves and comes back", do: func(w *World, _ Event) { w.moveDiscovery(); w.moveDiscovery() }},
	},
	KindDiscovery: {
		{text: "the bus breaks off", do: func(w *World, _ Event) { w.discovery.disconnect() }},
		{text: "the bus breaks off within a line", do: func(w *World, _ Event) { w.discovery.disconnectWithinLine() }},
		{text: "the bus is silent for", span: [2]time.Duration{100 * ms, 1500 * ms}, doFor: (*World).silenceDiscovery},
		{text: "the bus writes events twice", do: func(w *World, _ Event) { w.discovery.repeatEvents() }},
		{text: "the bus leaves a gap, in which a machine drains", do: func(w *World, e Event) {
			w.drainInGap(w.targetMachine(e))
		}},
		{text: "the bus forgets its connections", do: func(w *World, _ Event) { w.discovery.forgetWatches() }},
		{text: "the bus is down for", span: [2]time.Duration{100 * ms, 1500 * ms}, doFor: (*World).takeDiscoveryDown},
	},
	KindMachineList: {
		{text: "a machine drains", do: func(w *World, e Event) { w.setState(w.targetMachine(e), healthDraining) }},
		{text: "a machine is gone", do: func(w *World, e Event) { w.removeMachine(w.targetMachine(e)) }},
		{text: "a machine starts anew", do: func(w *World, e Event) { w.restartMachine(w.targetMachine(e)) }},
		{text: "a machine is ready", do: func(w *World, e Event) { w.makeReady(w.targetMachine(e)) }},
		{text: "the whole list comes", do: func(w *World, _ Event) { w.discovery.publish(true, w.listedMachines()...) }},
		{text: "the whole list comes without a machine", do: func(w *World, e Event) { w.omitFromList(w.targetMachine(e)) }},
		{text: "another machine takes the address of one", do: func(w *World, e Event) { w.replaceMachine(w.targetMachine(e)) }},
		{text: "a machine is added", do: func(w *World, _ Event) { w.addMachine() }},
		{text: "a third of the machines starts anew", do: (*World).restartThird},
		{text: "a third of the machines drains", do: (*World).drainThird},
	},
	KindClient: {
		{text: "a client asks", do: (*World).clientSubmits},
		{text: "a client asks several times", do: (*World).clientSubmitsSeveral},
		{text: "a new client asks", do: (*World).newClientSubmits},
		{text: "a steady client asks", do: (*World).persistentClientSubmits},
		{text: "a client gives up", do: func(w *World, e Event) { w.withClient(e, (*client).cancelOldest) }},
		{text: "a client asks and gives up at once", do: (*World).clientSubmitsAndCancels},
		{text: "a client ends a container", do: (*World).endContainer},
		{text: "a client goes", do: func(w *World, e Event) { w.clientLeaves(e, (*simnet.PeerConn).Close) }},
		{text: "a client resets its connection", do: func(w *World, e Event) {
			w.clientLeaves(e, (*simnet.PeerConn).Reset)
		}},
		{text: "a client asks and goes", do: (*World).clientSubmitsAndLeaves},
		{text: "a client half-closes", do: func(w *World, e Event) { w.clientLeaves(e, (*simnet.PeerConn).CloseWrite) }},
		{text: "a bad client", do: (*World).misbehavingClient},
	},
	KindResponse: {
		{text: "the next answer of a machine differs", do: func(w *World, e Event) { w.respond(w.targetMachine(e), e) }},
		{text: "the next answer of each machine differs", do: func(w *World, e Event) {
			for _, m := range w.machines {
				w.respond(m, e)
			}
		}},
	},
	KindConnection: {
		{text: "a machine resets a connection", do: func(w *World, e Event) { w.targetMachine(e).resetConnection() }},
		{text: "a machine closes a connection", do: func(w *World, e Event) { w.targetMachine(e).closeConnection() }},
		{
			text: "a machine refuses connections for", span: [2]time.Duration{10 * ms, 1000 * ms},
			doFor: func(w *World, e Event, span time.Duration) { w.targetMachine(e).refuse(span) },
		},
		{
			text: "a machine is cut off for", span: [2]time.Duration{10 * ms, 3000 * ms},
			doFor: func(w *World, e Event, span time.Duration) { w.targetMachine(e).partition(span) },
		},
		{
			text: "connections to a machine come up late by", span: [2]time.Duration{10 * ms, 600 * ms},
			doFor: func(w *World, e Event, span time.Duration) { w.targetMachine(e).endpoint.Delay = span },
		},
		{
			text: "a client leaves its input unread for", span: [2]time.Duration{5 * ms, 300 * ms},
			doFor: func(w *World, e Event, span time.Duration) {
				w.withClient(e, func(c *client) { c.leaveUnread(span) })
			},
		},
	},
	KindDescriptors: {
		{
			text: "no descriptors are left for", span: [2]time.Duration{10 * ms, 400 * ms},
			doFor: (*World).exhaustDescriptors,
		},
		{text: "clients connect in a burst", do: (*World).burst},
		{text: "a crowd connects, and a client in it asks", do: (*World).crowd},
	},
	KindStart: {
		{text: "the process is killed and starts anew", do: func(w *World, _ Event) { w.kill() }},
		{text: "a new client names what runs", do: func(w *World, _ Event) { w.withNewClient((*client).claimAll) }},
		{text: "a client names what does not run", do: (*World).falseClaim},
		{text: "a client makes up claims at a machine", do: (*World).makeFalseClaims},
		{text: "a client makes up claims at many machines", do: (*World).makeFalseClaimsAnywhere},
		{text: "a client claims what others ask for", do: (*World).claimOthersRequests},
		{text: "a client claims what it asks for", do: (*World).claimOwnRequest},
		{text: "a new client tests the process", do: func(w *World, _ Event) {
			w.withNewClient(func(c *client) {
				c.whenEstablished(func() { c.write(testLine(w.newRequestID())) })
			})
		}},
	},
	KindTiming: {
		{text: "a client asks with hardly any time left", do: func(w *World, e Event) {
			w.withClient(e, func(c *client) { c.submit(e.Variant>>4, shortWait) })
		}},
		{text: "a machine says nothing to the next offers", do: func(w *World, e Event) {
			m := w.targetMachine(e)
			m.responses = append(m.responses, respondNothing, respondNothing)
		}},
		{
			text: "the process is not run for", span: [2]time.Duration{1 * ms, 100 * ms},
			doFor: (*World).stall,
		},
		{text: "all machines say nothing to the next offer", do: func(w *World, _ Event) {
			for _, m := range w.machines {
				m.responses = append(m.responses, respondNothing)
			}
		}},
	},
}

// targetMachine is the machine that an event names. Of many machines, half of the events name one to which the process is
// connected: most others have no part in anything.
func (w *World) targetMachine(e Event) *machine {
	if len(w.machines) <= targetCount {
		return w.machines[int(e.Target)%len(w.machines)]
	}
	if e.Target%2 == 0 {
		var connected []*machine
		for _, m := range w.machines {
			if len(m.conns) > 0 {
				connected = append(connected, m)
			}
		}
		if len(connected) > 0 {
			return connected[int(e.Target/2)%len(connected)]
		}
	}
	return w.machines[int(e.Target)*len(w.machines)/targetCount]
}

// withClient does something with the client that an event names, if there is one that is connected.
func (w *World) withClient(e Event, do func(*client)) {
	var usual []*client
	for _, c := range w.clients {
		if !c.misbehaved {
			usual = append(usual, c)
		}
	}
	if len(usual) > 0 {
		do(usual[int(e.Target)%len(usual)])
	}
}

// withNewClient connects a client, unless there are many, and does something with it.
func (w *World) withNewClient(do func(*client)) {
	usual := 0
	for _, c := range w.clients {
		if !c.misbehaved {
			usual++
		}
	}
	if usual < maxClients {
		do(w.connect())
	}
}
