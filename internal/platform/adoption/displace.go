package adoption

import "slices"

// yielding is which adopted claims give way to one that comes.
type yielding struct {
	claims *Claims
	to     ClientID
	chosen []*adopted
	counts map[ClientID]int // how many of chosen each client has
}

// makeRoom returns the claims to displace so that a new one fits, and whether it does.
func (c *Claims) makeRoom(claim Claim, machine Machine) (displaced []*adopted, fits bool) {
	if !machine.Capacity.mayHold(claim.Load) {
		return nil, false
	}
	y := &yielding{claims: c, to: claim.Client, counts: map[ClientID]int{}}
	running := machine.Running
	for !machine.Capacity.hasRoom(running) {
		victim := y.choose(c.byMachine[claim.Machine])
		if victim == nil {
			return nil, false
		}
		running = running.Sub(victim.Load)
	}
	if len(c.claims)-len(y.chosen) < c.limit || machine.Listed && machine.Running.Containers == 0 {
		return y.chosen, true
	}
	largest := c.largestClient()
	if !y.mayYield(largest) {
		return nil, false // without a look at each of its claims
	}
	return y.chosen, y.choose(c.byClient[largest]) != nil
}

// watches reports whether a claim is the only one at a listed machine. It is adopted beyond the limit in sum and does
// not yield: while something runs there, the scheduler has a connection on which the machine reports other ends too.
func (c *Claims) watches(claim *adopted) bool {
	return claim.listed && len(c.byMachine[claim.Machine]) == 1
}

// largestClient is the connection with the most claims, of several the latest.
func (c *Claims) largestClient() ClientID {
	var largest ClientID
	for client, claims := range c.byClient {
		most := len(c.byClient[largest])
		if len(claims) > most || len(claims) == most && client > largest {
			largest = client
		}
	}
	return largest
}

// choose chooses one of the candidates, the newest of the connection with the most claims; nil where none has to yield.
func (y *yielding) choose(candidates map[string]*adopted) *adopted {
	var victim *adopted
	for _, candidate := range candidates {
		if y.hasToYield(candidate) && (victim == nil || y.yieldsBefore(candidate, victim)) {
			victim = candidate
		}
	}
	if victim != nil {
		y.chosen = append(y.chosen, victim)
		y.counts[victim.Client]++
	}
	return victim
}

// hasToYield reports whether a claim gives way to the one that comes.
func (y *yielding) hasToYield(candidate *adopted) bool {
	return y.mayYield(candidate.Client) && !y.claims.watches(candidate) && !slices.Contains(y.chosen, candidate)
}

// mayYield reports whether a connection that gives up a claim keeps as many as the other connection then has.
func (y *yielding) mayYield(client ClientID) bool {
	return y.kept(client) > len(y.claims.byClient[y.to])+1
}

func (y *yielding) yieldsBefore(candidate, other *adopted) bool {
	kept, keptOther := y.kept(candidate.Client), y.kept(other.Client)
	return kept > keptOther || kept == keptOther && candidate.number > other.number
}

// kept is how many claims a connection has left.
func (y *yielding) kept(client ClientID) int {
	return len(y.claims.byClient[client]) - y.counts[client]
}
