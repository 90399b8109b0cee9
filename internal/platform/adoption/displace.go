package adoption

import "slices"

// displacement selects the adopted claims that a new claim displaces.
type displacement struct {
	claims       *Claims
	client       ClientID // the client of the new claim
	victims      []*adoptedClaim
	victimCounts map[ClientID]int // number of victims by client
}

// makeRoom reports whether a new claim fits. If so, it returns the claims that have to be displaced.
func (c *Claims) makeRoom(claim Claim, machine Machine) (displaced []*adoptedClaim, fits bool) {
	if !machine.Capacity.canHold(claim.Load) {
		return nil, false
	}
	d := &displacement{claims: c, client: claim.Client, victimCounts: map[ClientID]int{}}
	running := machine.Running
	for !machine.Capacity.hasRoom(running) {
		victim := d.chooseVictim(c.byMachine[claim.Machine])
		if victim == nil {
			return nil, false
		}
		running = running.Sub(victim.Load)
	}
	if len(c.claims)-len(d.victims) < c.limit || machine.Listed && machine.Running.Containers == 0 {
		return d.victims, true
	}
	largest := c.largestClient()
	if !d.canLoseClaim(largest) {
		return nil, false // saves the iteration over the claims of that connection
	}
	return d.victims, d.chooseVictim(c.byClient[largest]) != nil
}

// isOnlyAtListedMachine reports whether a claim is the only one at a listed machine. Such a claim is adopted beyond the
// total limit and is not displaced: as long as a container counts as running there, the scheduler keeps a connection to
// the machine, on which the machine also reports the ends of other containers.
func (c *Claims) isOnlyAtListedMachine(claim *adoptedClaim) bool {
	return claim.listed && len(c.byMachine[claim.Machine]) == 1
}

// largestClient returns the connection with the most claims. If several have as many, it returns the one that was
// opened last.
func (c *Claims) largestClient() ClientID {
	var largest ClientID
	for client, claims := range c.byClient {
		maxClaims := len(c.byClient[largest])
		if len(claims) > maxClaims || len(claims) == maxClaims && client > largest {
			largest = client
		}
	}
	return largest
}

// chooseVictim chooses the newest candidate of the connection with the most claims. It returns nil if none can be
// displaced.
func (d *displacement) chooseVictim(candidates map[string]*adoptedClaim) *adoptedClaim {
	var victim *adoptedClaim
	for _, candidate := range candidates {
		if d.isDisplaceable(candidate) && (victim == nil || d.isDisplacedBefore(candidate, victim)) {
			victim = candidate
		}
	}
	if victim != nil {
		d.victims = append(d.victims, victim)
		d.victimCounts[victim.Client]++
	}
	return victim
}

// isDisplaceable reports whether a claim can be displaced by the new one.
func (d *displacement) isDisplaceable(candidate *adoptedClaim) bool {
	return d.canLoseClaim(candidate.Client) && !d.claims.isOnlyAtListedMachine(candidate) &&
		!slices.Contains(d.victims, candidate)
}

// canLoseClaim reports whether a connection that loses one claim still has at least as many claims as the connection of
// the new claim has after the adoption.
func (d *displacement) canLoseClaim(client ClientID) bool {
	return d.claimsLeft(client) > len(d.claims.byClient[d.client])+1
}

// isDisplacedBefore reports whether candidate is displaced in preference to other.
func (d *displacement) isDisplacedBefore(candidate, other *adoptedClaim) bool {
	left, otherLeft := d.claimsLeft(candidate.Client), d.claimsLeft(other.Client)
	return left > otherLeft || left == otherLeft && candidate.number > other.number
}

// claimsLeft returns the number of claims of a connection that are not victims.
func (d *displacement) claimsLeft(client ClientID) int {
	return len(d.claims.byClient[client]) - d.victimCounts[client]
}
