package emulator

import (
	"sync"
	"time"
)

// DedupGroup is a set of machines among which containers with the same idempotency key run at most once within their
// deduplication window. The zero value is ready for use.
type DedupGroup struct {
	mu     sync.Mutex
	claims map[string]*claim // by idempotency key; expired ones are removed at the next claim
}

type claim struct {
	holder    *container // nil once the container has ended
	expiresAt time.Time
}

// claim reserves the container's key; false where another copy runs, or ran within its window.
func (g *DedupGroup) claim(c *container, window time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.claims == nil {
		g.claims = map[string]*claim{}
	}
	now := time.Now()
	g.removeExpired(now)
	key := c.spec.IdempotencyKey
	other := g.claims[key]
	if other != nil && other.holder != c && (other.holder != nil || now.Before(other.expiresAt)) {
		return false
	}
	g.claims[key] = &claim{holder: c, expiresAt: now.Add(window)}
	return true
}

func (g *DedupGroup) removeExpired(now time.Time) {
	for key, claim := range g.claims {
		if claim.holder == nil && now.After(claim.expiresAt) {
			delete(g.claims, key)
		}
	}
}

// cancel ends the claim of a container that never ran.
func (g *DedupGroup) cancel(c *container) {
	if c.spec.DedupWindow <= 0 {
		return // it claimed nothing
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holds(c) {
		delete(g.claims, c.spec.IdempotencyKey)
	}
}

// expire has the claim of a container that ran end with its window.
func (g *DedupGroup) expire(c *container) {
	if c.spec.DedupWindow <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holds(c) {
		g.claims[c.spec.IdempotencyKey].holder = nil
	}
}

func (g *DedupGroup) holds(c *container) bool {
	claim := g.claims[c.spec.IdempotencyKey]
	return claim != nil && claim.holder == c
}
