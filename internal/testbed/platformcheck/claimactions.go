package platformcheck

import "fmt"

const (
	smallMemory = 2  // requested by a container
	largeMemory = 40 // requested by a container; two such containers fill a machine
)

// connectFalseClaimer connects a client that makes false claims and acknowledges nothing.
func (w *World) connectFalseClaimer(claim func(*client)) {
	w.withNewClient(func(c *client) {
		c.misbehaved, c.falseClaimer = true, true
		claim(c)
	})
}

// makeFalseClaims makes a client claim many containers that do not run, on one machine.
func (w *World) makeFalseClaims(e Event) {
	w.connectFalseClaimer(func(c *client) {
		for range 1 + e.Amount>>8%40 {
			c.makeFalseClaim(w.targetMachine(e), e.Amount)
		}
	})
}

// makeFalseClaimsAnywhere makes a client claim containers that do not run, on several machines. Some of the machines do
// not exist.
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

// makeFalseClaim claims that a container that was never submitted runs on a machine.
func (c *client) makeFalseClaim(m *machine, amount uint32) {
	c.claimFalsely(c.w.fictitiousRequest(c, amount), m)
}

// claimFalsely claims that the container of a request runs on a machine, although it does not.
func (c *client) claimFalsely(r *request, m *machine) {
	c.claim(r, m.id, func() { m.falseClaimReadBy, c.w.falseClaimReadBy = c.w.incarnations, c.w.incarnations })
}

// fictitiousRequest returns a request that is never submitted.
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

// falseClaim makes a well-behaved client claim a container that does not run.
func (w *World) falseClaim(e Event) {
	w.withClient(e, func(c *client) { c.makeFalseClaim(w.targetMachine(e), 0) })
}

// claimOthersRequests makes a client claim that the containers of all open requests run on a machine.
func (w *World) claimOthersRequests(e Event) {
	w.connectFalseClaimer(func(c *client) {
		for _, r := range w.openRequests() {
			r.falselyClaimed = true
			c.claimFalsely(r, w.targetMachine(e))
		}
	})
}

// claimOwnRequest makes a client claim that the container of its own open request runs. The claim cancels the request.
func (w *World) claimOwnRequest(e Event) {
	w.withClient(e, func(c *client) {
		for _, r := range c.requests {
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

// openRequests returns the requests that still await an answer, in order.
func (w *World) openRequests() []*request {
	var open []*request
	for _, id := range w.requestIDs {
		if r := w.checker.requests[id]; r.awaitsAnswer() && r.sentAt != 0 {
			open = append(open, r)
		}
	}
	return open
}
