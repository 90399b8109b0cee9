package platformcheck

import (
	"time"

	"glenport/internal/testbed/simnet"
)

const (
	shortDeadline = 15 * time.Millisecond // deadline of requests with hardly any time left
	ms            = time.Millisecond
)

// actions holds the variants of each kind of event.
var actions = map[Kind][]action{
	KindTerm: {{text: "the process gets TERM", do: func(w *World, _ Event) { w.terminate() }}},
	KindReload: {
		{text: "the process reloads the same configuration", do: func(w *World, _ Event) { w.reload() }},
		{text: "the discovery service moves to its other address", do: func(w *World, _ Event) { w.moveDiscovery() }},
		{text: "the discovery service moves and moves back", do: func(w *World, _ Event) {
			w.moveDiscovery()
			w.moveDiscovery()
		}},
	},
	KindDiscovery: {
		{text: "the discovery service closes its connections", do: func(w *World, _ Event) {
			w.discovery.disconnect()
		}},
		{text: "the discovery service closes its connections within a line", do: func(w *World, _ Event) {
			w.discovery.disconnectWithinLine()
		}},
		{
			text: "the discovery service is silent for", span: [2]time.Duration{100 * ms, 1500 * ms},
			doFor: (*World).silenceDiscovery,
		},
		{text: "the discovery service repeats events", do: func(w *World, _ Event) { w.discovery.repeatEvents() }},
		{text: "the discovery service skips the event by which a machine drains", do: func(w *World, e Event) {
			w.drainInGap(w.targetMachine(e))
		}},
		{text: "the discovery service sends nothing more on its connections", do: func(w *World, _ Event) {
			w.discovery.forgetWatches()
		}},
		{
			text: "the discovery service is down for", span: [2]time.Duration{100 * ms, 1500 * ms},
			doFor: (*World).takeDiscoveryDown,
		},
	},
	KindMachineList: {
		{text: "a machine drains", do: func(w *World, e Event) { w.setState(w.targetMachine(e), healthDraining) }},
		{text: "a machine is removed", do: func(w *World, e Event) { w.removeMachine(w.targetMachine(e)) }},
		{text: "a machine restarts", do: func(w *World, e Event) { w.restartMachine(w.targetMachine(e)) }},
		{text: "a machine ends its drain", do: func(w *World, e Event) { w.makeReady(w.targetMachine(e)) }},
		{text: "the whole machine list is sent", do: func(w *World, _ Event) {
			w.discovery.publish(true, w.listedMachines()...)
		}},
		{text: "the whole machine list is sent without a machine", do: func(w *World, e Event) {
			w.omitFromList(w.targetMachine(e))
		}},
		{text: "a machine is replaced by another at its address", do: func(w *World, e Event) {
			w.replaceMachine(w.targetMachine(e))
		}},
		{text: "a machine is added", do: func(w *World, _ Event) { w.addMachine() }},
		{text: "a third of the machines restart", do: (*World).restartThird},
		{text: "a third of the machines drain", do: (*World).drainThird},
	},
	KindClient: {
		{text: "a client sends a request", do: (*World).clientSubmits},
		{text: "a client sends several requests", do: (*World).clientSubmitsSeveral},
		{text: "a new client sends a request", do: (*World).newClientSubmits},
		{text: "a persistent client sends a request", do: (*World).persistentClientSubmits},
		{text: "a client cancels a request", do: func(w *World, e Event) { w.withClient(e, (*client).cancelOldest) }},
		{text: "a client sends a request and cancels its oldest one", do: (*World).clientSubmitsAndCancels},
		{text: "a client ends a container", do: (*World).endContainer},
		{text: "a client ends a container whose machine does not read the order", do: (*World).endContainerUnread},
		{text: "a client closes its connection", do: func(w *World, e Event) {
			w.clientLeaves(e, (*simnet.PeerConn).Close)
		}},
		{text: "a client resets its connection", do: func(w *World, e Event) {
			w.clientLeaves(e, (*simnet.PeerConn).Reset)
		}},
		{text: "a client sends a request and closes its connection", do: (*World).clientSubmitsAndLeaves},
		{text: "a client half-closes its connection", do: func(w *World, e Event) {
			w.clientLeaves(e, (*simnet.PeerConn).CloseWrite)
		}},
		{text: "a misbehaving client connects", do: (*World).misbehavingClient},
	},
	KindResponse: {
		{text: "the next answers of a machine are set", do: func(w *World, e Event) {
			w.respond(w.targetMachine(e), e)
		}},
		{text: "the next answers of each machine are set", do: func(w *World, e Event) {
			for _, m := range w.machines {
				w.respond(m, e)
			}
		}},
	},
	KindConnection: {
		{text: "a machine resets a connection", do: func(w *World, e Event) { w.targetMachine(e).resetConnection() }},
		{text: "a machine resets the connection on which the next data arrives", do: func(w *World, e Event) {
			w.targetMachine(e).resetsNext = true
		}},
		{text: "a machine forgets its connections", do: func(w *World, e Event) {
			w.targetMachine(e).forgetConnections()
		}},
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
			text: "connections to a machine are delayed by", span: [2]time.Duration{10 * ms, 600 * ms},
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
			text: "the process runs out of descriptors for", span: [2]time.Duration{10 * ms, 400 * ms},
			doFor: (*World).exhaustDescriptors,
		},
		{text: "clients connect in a burst", do: (*World).burst},
		{text: "many clients connect, and one of them sends a request", do: (*World).crowd},
	},
	KindStart: {
		{text: "the process is killed and restarted", do: func(w *World, _ Event) { w.kill() }},
		{text: "a new client claims all running containers", do: func(w *World, _ Event) {
			w.withNewClient((*client).claimAll)
		}},
		{text: "a client claims a container that does not run", do: (*World).falseClaim},
		{text: "a client makes false claims for one machine", do: (*World).makeFalseClaims},
		{text: "a client makes false claims for many machines", do: (*World).makeFalseClaimsAnywhere},
		{text: "a client claims the open requests of all clients", do: (*World).claimOthersRequests},
		{text: "a client claims an open request of its own", do: (*World).claimOwnRequest},
		{text: "a new client tests the process", do: func(w *World, _ Event) {
			w.withNewClient(func(c *client) {
				c.whenEstablished(func() { c.write(testLine(w.newRequestID())) })
			})
		}},
	},
	KindTiming: {
		{text: "a client sends a request with hardly any time left", do: func(w *World, e Event) {
			w.withClient(e, func(c *client) { c.submit(e.Variant>>4, shortDeadline) })
		}},
		{text: "a machine does not answer its next offers", do: func(w *World, e Event) {
			m := w.targetMachine(e)
			m.responses = append(m.responses, respondNothing, respondNothing)
		}},
		{
			text: "the process is stalled for", span: [2]time.Duration{1 * ms, 100 * ms},
			doFor: (*World).stall,
		},
		{text: "no machine answers its next offer", do: func(w *World, _ Event) {
			for _, m := range w.machines {
				m.responses = append(m.responses, respondNothing)
			}
		}},
	},
}

// targetMachine returns the target of an event. With many machines, half of the events target a machine to which the
// process is connected, because most other machines take part in nothing.
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

// withClient applies a function to the client that an event targets, if any well-behaved client is connected.
func (w *World) withClient(e Event, do func(*client)) {
	var wellBehaved []*client
	for _, c := range w.clients {
		if !c.misbehaved {
			wellBehaved = append(wellBehaved, c)
		}
	}
	if len(wellBehaved) > 0 {
		do(wellBehaved[int(e.Target)%len(wellBehaved)])
	}
}

// withNewClient connects a client and applies a function to it, unless maxClients clients are connected.
func (w *World) withNewClient(do func(*client)) {
	wellBehaved := 0
	for _, c := range w.clients {
		if !c.misbehaved {
			wellBehaved++
		}
	}
	if wellBehaved < maxClients {
		do(w.connect())
	}
}
