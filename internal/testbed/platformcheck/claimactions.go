package platformcheck

import "fmt"

const (
	smallMemory = 2  // that a container asks for
	largeMemory = 40 // two such fill a machine
)

// connectFalseClaimer makes a client that makes up claims, and confirms nothing that it is told.
func (w *World) connectFalseClaimer(lie func(*client)) {
	w.withNewClient(func(c *client) {
		c.misbehaved, c.falseClaimer = true, true
		lie(c)
	})
}

// makeFalseClaims has a client claim that many containers run at one machine.
func (w *World) makeFalseClaims(e Event) {
	w.connectFalseClaimer(func(c *client) {
		for range 1 + e.Amount>>8%40 {
			c.makeFalseClaim(w.targetMachine(e), e.Amount)
		}
	})
}

// makeFalseClaimsAnywhere has a client claim that containers run at several machines, some of which there are not.
func (w *World) makeFalseClaimsAnywhere(e Event) {
	w.connectFalseClaimer(func(c *client) {
		for i := range 1 + e.Amount>>8%20 {
			if i%3 == 2 {
				c.claim(w.fictitiousRequest(c, e.Amount), fmt.Sprintf("x%02d", i), nil)
				continue
			}
			c.makeFalseClaim(w.machines[int(e.Target+i)%len(w.machines)], e.Amount)
		}
	})
}

// makeFalseClaim claims that a container which nobody has asked for runs at a machine.
func (c *client) makeFalseClaim(m *machine, amount uint32) {
	c.claimFalsely(c.w.fictitiousRequest(c, amount), m)
}

// claimFalsely claims that the container of a request runs at a machine where it does not.
func (c *client) claimFalsely(r *request, m *machine) {
	c.claim(r, m.id, func() { m.falseClaimReadBy, c.w.falseClaimReadBy = c.w.incarnations, c.w.incarnations })
}

// fictitiousRequest is one that was never sent.
func (w *World) fictitiousRequest(c *client, amount uint32) *request {
	r := &request{
		id: w.newRequestID(), client: c, class: workloadClasses[0], service: "s0-0", memory: smallMemory,
		onlyClaimed: true,
	}
	if amount%2 == 1 {
		r.memory = largeMemory
	}
	r.key = "k" + r.id
	w.checker.requests[r.id] = r
	return r
}

// falseClaim has one of the usual clients claim that a container runs which does not.
func (w *World) falseClaim(e Event) {
	w.withClient(e, func(c *client) { c.makeFalseClaim(w.targetMachine(e), 0) })
}

// claimOthersRequests has a client claim that what others have asked for runs at a machine.
func (w *World) claimOthersRequests(e Event) {
	w.connectFalseClaimer(func(c *client) {
		for _, r := range w.openRequests() {
			r.falselyClaimed = true
			c.claimFalsely(r, w.targetMachine(e))
		}
	})
}

// claimOwnRequest has a client claim that what it has asked for runs already, which takes the request back.
func (w *World) claimOwnRequest(e Event) {
	w.withClient(e, func(c *client) {
		for _, r := range c.open {
			if r.awaitsAnswer() && r.sentAt != 0 {
				r.falselyClaimed, r.cancelled = true, true
				m := w.targetMachine(e)
				c.claim(r, m.id, func() {
					r.cancelIteration = w.kernel.Iteration()
					m.falseClaimReadBy, w.falseClaimReadBy = w.incarnations, w.incarnations
				})
				return
			}
		}
	})
}

// openRequests are those that have no answer yet, in order.
func (w *World) openRequests() []*request {
	var open []*request
	for _, call := range w.requestIDs {
		if r := w.checker.requests[call]; r.awaitsAnswer() && r.sentAt != 0 {
			open = append(open, r)
		}
	}
	return open
}
