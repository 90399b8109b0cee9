package emulator

import (
	"sync"
	"time"
)

// DedupGroup is a set of machines that run containers with the same idempotency key at most once per deduplication
// window. The zero value is ready to use.
type DedupGroup struct {
	mu     sync.Mutex
	claims map[string]*claim // by idempotency key; the next claim removes expired ones
}

type claim struct {
	holder    *container // nil once the container has ended
	expiresAt time.Time
}

// claim claims the key of a container. It returns false if another container holds it, or held it within the window.
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

// cancel removes the claim of a container that never ran.
func (g *DedupGroup) cancel(c *container) {
	if c.spec.DedupWindow <= 0 {
		return // no key was claimed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holds(c) {
		delete(g.claims, c.spec.IdempotencyKey)
	}
}

// expire lets the claim of a container that ran expire at the end of its deduplication window.
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
