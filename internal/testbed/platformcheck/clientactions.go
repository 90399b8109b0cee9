package platformcheck

import (
	"strings"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
)

func (w *World) clientSubmits(e Event) {
	w.withClient(e, func(c *client) { c.submit(e.Amount, w.params.deadline) })
}

func (w *World) clientSubmitsSeveral(e Event) {
	for i := range 2 + e.Amount>>8%4 {
		w.withClient(e, func(c *client) { c.submit(e.Amount+i, w.params.deadline) })
	}
}

func (w *World) newClientSubmits(e Event) {
	w.withNewClient(func(c *client) { c.submit(e.Amount, w.params.deadline) })
}

func (w *World) persistentClientSubmits(e Event) {
	for _, c := range w.clients {
		if c.persistent {
			c.submit(e.Amount, w.params.deadline)
			return
		}
	}
}

func (w *World) clientSubmitsAndCancels(e Event) {
	w.withClient(e, func(c *client) {
		c.submit(e.Amount, w.params.deadline)
		c.cancelOldest()
	})
}

func (w *World) clientLeaves(e Event, end func(*simnet.PeerConn)) {
	w.withClient(e, func(c *client) { c.disconnect(end) })
}

func (w *World) clientSubmitsAndLeaves(e Event) {
	w.withClient(e, func(c *client) {
		c.submit(e.Amount, w.params.deadline)
		c.disconnect((*simnet.PeerConn).Close)
	})
}

// endContainer makes a client end a running container, which another client may have submitted.
func (w *World) endContainer(e Event) { w.endContainerThen(e, func(*placement) {}) }

// endContainerUnread is endContainer, and the machine of the container resets the connection that carries the order.
func (w *World) endContainerUnread(e Event) {
	w.endContainerThen(e, func(p *placement) { p.machine.resetsNext = true })
}

// endContainerThen makes a client end a running container, and calls then once the process has read the order.
func (w *World) endContainerThen(e Event, then func(*placement)) {
	known := w.knownPlacements()
	if len(known) == 0 {
		return
	}
	p := known[int(e.Amount)%len(known)]
	w.withClient(e, func(c *client) {
		c.whenEstablished(func() {
			p.cancelled = true
			c.writeMarked(endLine(p.request.id, jsonlines.CauseCancelled), func() {
				p.recordTerminationRead()
				then(p)
			})
		})
	})
}

// misbehavingClient connects a client that sends invalid input or nothing. The rules do not cover it.
func (w *World) misbehavingClient(e Event) {
	bad := [...]string{
		"{\"op\":\n", `{"op":"offer","call":"`, strings.Repeat("x", jsonlines.MaxLineBytes+1),
		`{"op":"offer","call":"00000000000000ff","with":{"class":"none"}}` + "\n", "",
	}
	w.withNewClient(func(c *client) {
		c.misbehaved = true
		c.whenEstablished(func() { c.write(bad[e.Amount%uint32(len(bad))]) })
	})
}

// respond sets the responses of a machine to its next offers.
func (w *World) respond(m *machine, e Event) {
	for i := range 1 + e.Amount>>16%3 {
		m.responses = append(m.responses, response((e.Amount+i)%uint32(responseCount)))
	}
}

// exhaustDescriptors leaves the process one free descriptor or none for a time.
func (w *World) exhaustDescriptors(e Event, span time.Duration) {
	kernel := w.kernel
	kernel.Limit = kernel.OpenDescriptors() + int(e.Target%2)
	w.network.After(span, func() { kernel.Limit, w.descriptorsFreeAt = w.params.descriptors, w.now() })
}

// burst connects clients that send nothing.
func (w *World) burst(e Event) {
	for range 4 + e.Amount%12 {
		w.connect().misbehaved = true
	}
}

// crowd connects many clients that send nothing, and among them one that sends a request.
func (w *World) crowd(e Event) {
	size := 20 + e.Amount>>8%100
	for i := range size {
		if i == size/2 {
			w.withNewClient(func(c *client) { c.submit(e.Amount, w.params.deadline) })
		}
		w.connect().misbehaved = true
	}
}
