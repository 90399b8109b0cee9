package adoption

// Limits of the claims in sum.
const (
	memoryDivisor = 8      // the part of the memory granted that claims may use
	bytesPerClaim = 5 << 9 // that an adopted container uses here and in the scheduler, its machine included
)

// MaxClaims is how many claims are adopted in sum where the platform grants so much memory.
func MaxClaims(memoryMB int) int { return memoryMB << 20 / memoryDivisor / bytesPerClaim }

// ClientID identifies a client connection; 0 stands for all that have ended.
type ClientID uint64

// Claim says that a container is running at a machine.
type Claim struct {
	Client  ClientID
	ID      string // of the container
	Machine string
	Load    Load // of the container
}

// Machine is the machine of a claim.
type Machine struct {
	Listed   bool // the machine list names it
	Capacity Capacity
	Running  Load // of all containers that run there, as far as is known
}

// Decision is what becomes of a claim.
type Decision struct {
	Adopt     bool
	Displaced []string // the containers whose claims give way to it: they no longer count as running
}

// Claims owns the claims that were adopted and not confirmed, each until its container ends, and the filter of the
// others.
type Claims struct {
	limit      int
	claims     map[string]*adopted            // by container
	byMachine  map[string]map[string]*adopted // by machine and container
	byClient   map[ClientID]map[string]*adopted
	lastNumber uint64
	leftOut    filter
}

// adopted is a claim that was adopted.
type adopted struct {
	Claim
	listed bool   // its machine was on the list
	number uint64 // they ascend
}

// New returns an empty set of so many claims at most.
func New(limit int) *Claims {
	return &Claims{
		limit:     limit,
		claims:    map[string]*adopted{},
		byMachine: map[string]map[string]*adopted{},
		byClient:  map[ClientID]map[string]*adopted{},
	}
}

// Decide takes in a claim to a container that is not known. What is displaced is no longer held.
func (c *Claims) Decide(claim Claim, machine Machine) Decision {
	displaced, fits := c.makeRoom(claim, machine)
	if !fits {
		c.leftOut.add(claim.ID, claim.Machine)
		return Decision{}
	}
	decision := Decision{Adopt: true}
	for _, victim := range displaced {
		c.Remove(victim.ID)
		c.leftOut.add(victim.ID, victim.Machine)
		decision.Displaced = append(decision.Displaced, victim.ID)
	}
	c.add(claim, machine.Listed)
	return decision
}

// LeftOut reports whether a claim was not adopted, or displaced. It may report that of another one, rarely.
func (c *Claims) LeftOut(id, machine string) bool { return c.leftOut.contains(id, machine) }

// Remove removes the claim to a container, if any, as that has ended or its machine has confirmed it.
func (c *Claims) Remove(id string) {
	claim := c.claims[id]
	if claim == nil {
		return
	}
	delete(c.claims, id)
	remove(c.byMachine, claim.Machine, id)
	remove(c.byClient, claim.Client, id)
}

// ClientDisconnected has the claims of a connection that has ended count with those of all that have.
func (c *Claims) ClientDisconnected(client ClientID) {
	for id, claim := range c.byClient[client] {
		claim.Client = 0
		insert(c.byClient, 0, id, claim)
	}
	delete(c.byClient, client)
}

func (c *Claims) add(claim Claim, listed bool) {
	c.lastNumber++
	a := &adopted{claim, listed, c.lastNumber}
	c.claims[claim.ID] = a
	insert(c.byMachine, claim.Machine, claim.ID, a)
	insert(c.byClient, claim.Client, claim.ID, a)
}

func insert[K comparable](table map[K]map[string]*adopted, key K, id string, claim *adopted) {
	if table[key] == nil {
		table[key] = map[string]*adopted{}
	}
	table[key][id] = claim
}

func remove[K comparable](table map[K]map[string]*adopted, key K, id string) {
	delete(table[key], id)
	if len(table[key]) == 0 {
		delete(table, key)
	}
}
