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
var actions = map[Sort][]action{
	SortTerm: {{text: "the process is told to end", do: func(w *World, _ Event) { w.term() }}},
	SortHup: {
		{text: "the same file is read again", do: func(w *World, _ Event) { w.reload() }},
		{text: "the bus moves", do: func(w *World, _ Event) { w.moveBus() }},
		{text: "the bus moves and comes back", do: func(w *World, _ Event) { w.moveBus(); w.moveBus() }},
	},
	SortBus: {
		{text: "the bus breaks off", do: func(w *World, _ Event) { w.discovery.breakOff() }},
		{text: "the bus breaks off within a line", do: func(w *World, _ Event) { w.discovery.breakOffWithinLine() }},
		{text: "the bus is silent for", span: [2]time.Duration{100 * ms, 1500 * ms}, lasting: (*World).silenceBus},
		{text: "the bus writes events twice", do: func(w *World, _ Event) { w.discovery.repeat() }},
		{text: "the bus leaves a gap, in which a machine drains", do: func(w *World, e Event) {
			w.drainInGap(w.pick(e))
		}},
		{text: "the bus forgets its connections", do: func(w *World, _ Event) { w.discovery.forget() }},
		{text: "the bus is down for", span: [2]time.Duration{100 * ms, 1500 * ms}, lasting: (*World).takeBusDown},
	},
	SortList: {
		{text: "a machine drains", do: func(w *World, e Event) { w.change(w.pick(e), healthDraining) }},
		{text: "a machine is gone", do: func(w *World, e Event) { w.removeMachine(w.pick(e)) }},
		{text: "a machine starts anew", do: func(w *World, e Event) { w.restartMachine(w.pick(e)) }},
		{text: "a machine is ready", do: func(w *World, e Event) { w.makeReady(w.pick(e)) }},
		{text: "the whole list comes", do: func(w *World, _ Event) { w.discovery.publish(true, w.listed()...) }},
		{text: "the whole list comes without a machine", do: func(w *World, e Event) { w.leaveOut(w.pick(e)) }},
		{text: "another machine takes the address of one", do: func(w *World, e Event) { w.succeed(w.pick(e)) }},
		{text: "a machine is added", do: func(w *World, _ Event) { w.addMachine() }},
		{text: "a third of the machines starts anew", do: (*World).restartThird},
		{text: "a third of the machines drains", do: (*World).drainThird},
	},
	SortClient: {
		{text: "a client asks", do: (*World).clientAsks},
		{text: "a client asks several times", do: (*World).clientAsksOften},
		{text: "a new client asks", do: (*World).newClientAsks},
		{text: "a steady client asks", do: (*World).steadyClientAsks},
		{text: "a client gives up", do: func(w *World, e Event) { w.withClient(e, (*client).giveUp) }},
		{text: "a client asks and gives up at once", do: (*World).clientAsksAndGivesUp},
		{text: "a client ends a container", do: (*World).endContainer},
		{text: "a client goes", do: func(w *World, e Event) { w.clientGoes(e, (*simnet.PeerConn).Close) }},
		{text: "a client resets its connection", do: func(w *World, e Event) {
			w.clientGoes(e, (*simnet.PeerConn).Reset)
		}},
		{text: "a client asks and goes", do: (*World).clientAsksAndGoes},
		{text: "a client half-closes", do: func(w *World, e Event) { w.clientGoes(e, (*simnet.PeerConn).CloseWrite) }},
		{text: "a bad client", do: (*World).badClient},
	},
	SortAnswer: {
		{text: "the next answer of a machine differs", do: func(w *World, e Event) { w.respond(w.pick(e), e) }},
		{text: "the next answer of each machine differs", do: func(w *World, e Event) {
			for _, m := range w.machines {
				w.respond(m, e)
			}
		}},
	},
	SortConnection: {
		{text: "a machine resets a connection", do: func(w *World, e Event) { w.pick(e).resetOne() }},
		{text: "a machine closes a connection", do: func(w *World, e Event) { w.pick(e).closeOne() }},
		{
			text: "a machine refuses connections for", span: [2]time.Duration{10 * ms, 1000 * ms},
			lasting: func(w *World, e Event, span time.Duration) { w.pick(e).refuse(span) },
		},
		{
			text: "a machine is cut off for", span: [2]time.Duration{10 * ms, 3000 * ms},
			lasting: func(w *World, e Event, span time.Duration) { w.pick(e).cutOff(span) },
		},
		{
			text: "connections to a machine come up late by", span: [2]time.Duration{10 * ms, 600 * ms},
			lasting: func(w *World, e Event, span time.Duration) { w.pick(e).endpoint.Delay = span },
		},
		{
			text: "a client leaves its input unread for", span: [2]time.Duration{5 * ms, 300 * ms},
			lasting: func(w *World, e Event, span time.Duration) {
				w.withClient(e, func(c *client) { c.leaveUnread(span) })
			},
		},
	},
	SortDescriptors: {
		{
			text: "no descriptors are left for", span: [2]time.Duration{10 * ms, 400 * ms},
			lasting: (*World).exhaustDescriptors,
		},
		{text: "clients connect in a burst", do: (*World).burst},
		{text: "a crowd connects, and a client in it asks", do: (*World).crowd},
	},
	SortStart: {
		{text: "the process is killed and starts anew", do: func(w *World, _ Event) { w.kill() }},
		{text: "a new client names what runs", do: func(w *World, _ Event) { w.withNewClient((*client).claimAll) }},
		{text: "a client names what does not run", do: (*World).falseClaim},
		{text: "a client makes up claims at a machine", do: (*World).makeUpClaims},
		{text: "a client makes up claims at many machines", do: (*World).makeUpClaimsAnywhere},
		{text: "a client claims what others ask for", do: (*World).claimOfOthers},
		{text: "a client claims what it asks for", do: (*World).claimOfOwn},
		{text: "a new client tests the process", do: func(w *World, _ Event) {
			w.withNewClient(func(c *client) {
				c.whenEstablished(func() { c.write(testLine(w.newCall())) })
			})
		}},
	},
	SortTime: {
		{text: "a client asks with hardly any time left", do: func(w *World, e Event) {
			w.withClient(e, func(c *client) { c.request(e.Variant>>4, shortWait) })
		}},
		{text: "a machine says nothing to the next offers", do: func(w *World, e Event) {
			m := w.pick(e)
			m.responses = append(m.responses, respondNothing, respondNothing)
		}},
		{
			text: "the process is not run for", span: [2]time.Duration{1 * ms, 100 * ms},
			lasting: (*World).stall,
		},
		{text: "all machines say nothing to the next offer", do: func(w *World, _ Event) {
			for _, m := range w.machines {
				m.responses = append(m.responses, respondNothing)
			}
		}},
	},
}

// pick is the machine that an event names. Of many machines, half of the events name one to which the process is
// connected: most others have no part in anything.
func (w *World) pick(e Event) *machine {
	if len(w.machines) <= targets {
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
	return w.machines[int(e.Target)*len(w.machines)/targets]
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
