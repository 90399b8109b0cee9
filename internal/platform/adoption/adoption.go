package adoption

// Limits on the total number of claims.
const (
	memoryDivisor = 8      // claims may use an eighth of the memory granted
	bytesPerClaim = 5 << 9 // memory for an adopted container and its machine, here and in the scheduler
)

// MaxClaims returns the maximum number of adopted claims, given the memory that the platform grants.
func MaxClaims(memoryMB int) int { return memoryMB << 20 / memoryDivisor / bytesPerClaim }

// ClientID identifies a client connection; 0 stands for all connections that have ended.
type ClientID uint64

// Claim is a client's statement that a container is running at a machine.
type Claim struct {
	Client  ClientID
	ID      string // of the container
	Machine string
	Load    Load // of the container
}

// Machine is the machine of a claim.
type Machine struct {
	Listed   bool // whether it is on the machine list
	Capacity Capacity
	Running  Load // of all containers known to run there
}

// Decision is the decision on a claim.
type Decision struct {
	Adopt        bool
	DisplacedIDs []string // containers whose claims the new claim displaces; they no longer count as running
}

// Claims holds the adopted claims that no machine has confirmed, each until its container ends. It also holds the
// filter of the rejected and displaced claims.
type Claims struct {
	limit          int
	claims         map[string]*adoptedClaim            // by container
	byMachine      map[string]map[string]*adoptedClaim // by machine and container
	byClient       map[ClientID]map[string]*adoptedClaim
	lastNumber     uint64
	rejectedClaims filter // rejected and displaced claims
}

// adoptedClaim is a claim that was adopted.
type adoptedClaim struct {
	Claim
	listed bool   // whether its machine was on the machine list at the adoption
	number uint64 // ascending, in the order of adoption
}

// New returns an empty set of claims with a limit on their number. The limit does not apply to the first claim at each
// listed machine.
func New(limit int) *Claims {
	return &Claims{
		limit:     limit,
		claims:    map[string]*adoptedClaim{},
		byMachine: map[string]map[string]*adoptedClaim{},
		byClient:  map[ClientID]map[string]*adoptedClaim{},
	}
}

// Decide decides on a claim to a container that is not known yet. It removes the claims that the new claim displaces.
func (c *Claims) Decide(claim Claim, machine Machine) Decision {
	displaced, fits := c.makeRoom(claim, machine)
	if !fits {
		c.rejectedClaims.add(claim.ID, claim.Machine)
		return Decision{}
	}
	decision := Decision{Adopt: true}
	for _, victim := range displaced {
		c.Remove(victim.ID)
		c.rejectedClaims.add(victim.ID, victim.Machine)
		decision.DisplacedIDs = append(decision.DisplacedIDs, victim.ID)
	}
	c.add(claim, machine.Listed)
	return decision
}

// WasRejected reports whether a claim was rejected or displaced. In rare cases it reports true for a claim that was
// neither.
func (c *Claims) WasRejected(id, machine string) bool { return c.rejectedClaims.contains(id, machine) }

// Remove removes the claim to a container, if there is one. It is called when the container has ended, or when its
// machine has confirmed that it is running.
func (c *Claims) Remove(id string) {
	claim := c.claims[id]
	if claim == nil {
		return
	}
	delete(c.claims, id)
	remove(c.byMachine, claim.Machine, id)
	remove(c.byClient, claim.Client, id)
}

// ClientDisconnected moves the claims of a connection that has ended to client 0, which stands for all ended
// connections.
func (c *Claims) ClientDisconnected(client ClientID) {
	for id, claim := range c.byClient[client] {
		claim.Client = 0
		insert(c.byClient, 0, id, claim)
	}
	delete(c.byClient, client)
}

func (c *Claims) add(claim Claim, listed bool) {
	c.lastNumber++
	a := &adoptedClaim{claim, listed, c.lastNumber}
	c.claims[claim.ID] = a
	insert(c.byMachine, claim.Machine, claim.ID, a)
	insert(c.byClient, claim.Client, claim.ID, a)
}

func insert[K comparable](table map[K]map[string]*adoptedClaim, key K, id string, claim *adoptedClaim) {
	if table[key] == nil {
		table[key] = map[string]*adoptedClaim{}
	}
	table[key][id] = claim
}

func remove[K comparable](table map[K]map[string]*adoptedClaim, key K, id string) {
	delete(table[key], id)
	if len(table[key]) == 0 {
		delete(table, key)
	}
}
