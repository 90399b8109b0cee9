package platform

import (
	"glenport/internal/platform/adoption"
	"glenport/internal/platform/failuredetector"
	"glenport/scheduler"
)

// runningClaim is a client's claim that a container is running at a machine.
type runningClaim struct {
	client  *clientConn
	request scheduler.PlacementRequest
	machine scheduler.MachineID
}

// handleClaim handles a claim. A claim to a container that already counts as running is ignored.
func (r *containerRegistry) handleClaim(claim runningClaim) {
	c := r.containers[claim.request.ID]
	switch {
	case c == nil:
		r.adopt(claim)
	case c.isOpenRequestOf(claim.client):
		c.closeAsRunning(claim.machine)
		r.adopt(claim)
	case !c.isAnswered():
		// The client may have reconnected, and the end of its earlier connection is not read yet. The claim waits until
		// the request is closed: only the client that made a request may close it.
		c.pendingClaim = &claim
	}
}

// adopt adds the container of a claim if the claim is admitted. It ignores the claim if a container with the same
// idempotency key is running at the machine.
func (r *containerRegistry) adopt(claim runningClaim) {
	m := r.machines.lookup(claim.machine)
	if m != nil && m.runs(claim.request.IdempotencyKey) {
		return
	}
	c := &container{env: r.env, registry: r, request: claim.request, answered: true, attemptsMade: 1}
	if claim.client.isOpen() {
		c.client = claim.client
	}
	if r.admits(c, claim.machine) {
		r.containers[c.request.ID] = c
		m = r.machines.getOrAdd(claim.machine)
		c.startAdopted(m)
		r.env.adoptions.Adopted(c.request.Service)
		r.env.notifyScheduler(scheduler.ContainerAdopted{PlacementRequest: c.request, Machine: claim.machine})
		if m.isListed() && m.isGone() {
			// Invariant: no container counts as running at a machine that is gone. A successor may be at its address,
			// and the activity of the successor would be attributed to the machine that is gone.
			m.failRunning(r.env.loop.Now())
			return
		}
	} else {
		r.env.log.Debug("claim not adopted", "request_id", c.request.ID, "machine", claim.machine)
	}
	r.env.notifyFailureDetector(failuredetector.ContainerReclaimed{
		Machine: string(claim.machine), RequestID: string(c.request.ID),
	})
}

// admits decides whether the claim to a running container is adopted. It may displace other adopted claims.
func (r *containerRegistry) admits(c *container, at scheduler.MachineID) bool {
	claim := adoption.Claim{ID: string(c.request.ID), Machine: string(at), Load: c.load()}
	if c.client != nil {
		claim.Client = adoption.ClientID(c.client.id)
	}
	decision := r.env.claims.Decide(claim, r.machines.claimTarget(at))
	for _, id := range decision.DisplacedIDs {
		r.containers[scheduler.ContainerID(id)].displace()
	}
	return decision.Adopt
}
