package platformcheck

import "fmt"

const (
	smallMemory = 2  // that a container asks for
	largeMemory = 40 // two such fill a machine
)

// connectLiar makes a client that makes up claims, and confirms nothing that it is told.
func (w *World) connectLiar(lie func(*client)) {
	w.withNewClient(func(c *client) {
		c.misbehaved, c.liar = true, true
		lie(c)
	})
}

// makeUpClaims has a client claim that many containers run at one machine.
func (w *World) makeUpClaims(e Event) {
	w.connectLiar(func(c *client) {
		for range 1 + e.Amount>>8%40 {
			c.makeUpClaim(w.pick(e), e.Amount)
		}
	})
}

// makeUpClaimsAnywhere has a client claim that containers run at several machines, some of which there are not.
func (w *World) makeUpClaimsAnywhere(e Event) {
	w.connectLiar(func(c *client) {
		for i := range 1 + e.Amount>>8%20 {
			if i%3 == 2 {
				c.claim(w.madeUpRequest(c, e.Amount), fmt.Sprintf("x%02d", i), nil)
				continue
			}
			c.makeUpClaim(w.machines[int(e.Target+i)%len(w.machines)], e.Amount)
		}
	})
}

// makeUpClaim claims that a container which nobody has asked for runs at a machine.
func (c *client) makeUpClaim(m *machine, amount uint32) { c.lie(c.w.madeUpRequest(c, amount), m) }

// lie claims that the container of a request runs at a machine where it does not.
func (c *client) lie(r *request, m *machine) {
	c.claim(r, m.id, func() { m.liedIn, c.w.liedIn = c.w.incarnations, c.w.incarnations })
}

// madeUpRequest is one that was never sent.
func (w *World) madeUpRequest(c *client, amount uint32) *request {
	r := &request{
		call: w.newCall(), client: c, class: workloadClasses[0], service: "s0-0", memory: smallMemory,
		onlyClaimed: true,
	}
	if amount%2 == 1 {
		r.memory = largeMemory
	}
	r.key = "k" + r.call
	w.judge.requests[r.call] = r
	return r
}

// falseClaim has one of the usual clients claim that a container runs which does not.
func (w *World) falseClaim(e Event) {
	w.withClient(e, func(c *client) { c.makeUpClaim(w.pick(e), 0) })
}

// claimOfOthers has a client claim that what others have asked for runs at a machine.
func (w *World) claimOfOthers(e Event) {
	w.connectLiar(func(c *client) {
		for _, r := range w.openRequests() {
			r.liedAbout = true
			c.lie(r, w.pick(e))
		}
	})
}

// claimOfOwn has a client claim that what it has asked for runs already, which takes the request back.
func (w *World) claimOfOwn(e Event) {
	w.withClient(e, func(c *client) {
		for _, r := range c.open {
			if r.owed() && r.sentAt != 0 {
				r.liedAbout, r.givenUp = true, true
				m := w.pick(e)
				c.claim(r, m.id, func() {
					r.giveUpIteration = w.kernel.Iteration()
					m.liedIn, w.liedIn = w.incarnations, w.incarnations
				})
				return
			}
		}
	})
}

// openRequests are those that have no answer yet, in order.
func (w *World) openRequests() []*request {
	var open []*request
	for _, call := range w.calls {
		if r := w.judge.requests[call]; r.owed() && r.sentAt != 0 {
			open = append(open, r)
		}
	}
	return open
}
