package emulator

import (
	"net/netip"
	"slices"
	"time"

	"glenport/internal/bgp/wire"
)

const communityGracefulShutdown = 0xFFFF0000 // RFC 8326

// RouteChange is one route that was announced to a peer or withdrawn from its table.
type RouteChange struct {
	At               time.Time
	Prefix           netip.Prefix
	Withdrawn        bool
	LocalPref        uint32
	GracefulShutdown bool // with the GRACEFUL_SHUTDOWN community
}

// routeState is the state of a route in the table of a peer.
type routeState string

const (
	routeCurrent routeState = "current"
	routeStale   routeState = "stale" // kept during a graceful restart of the speaker
)

// routeTable holds the routes that were announced to a peer and a log of their changes.
type routeTable struct {
	states  map[netip.Prefix]routeState
	logging bool
	changes []RouteChange
}

func newRouteTable(logging bool) routeTable {
	return routeTable{states: map[netip.Prefix]routeState{}, logging: logging}
}

// applyUpdate applies the withdrawn and announced routes of an update.
func (t *routeTable) applyUpdate(update *wire.Update, now time.Time) {
	for _, prefix := range update.Withdrawn {
		t.withdraw(prefix, now)
	}
	shutdown := slices.Contains(update.Path.Communities, communityGracefulShutdown)
	for _, prefix := range update.Announced {
		t.states[prefix] = routeCurrent
		t.log(RouteChange{At: now, Prefix: prefix, LocalPref: update.Path.LocalPref, GracefulShutdown: shutdown})
	}
}

func (t *routeTable) markAllStale() {
	for prefix := range t.states {
		t.states[prefix] = routeStale
	}
}

func (t *routeTable) withdrawStale(now time.Time) {
	for prefix, state := range t.states {
		if state == routeStale {
			t.withdraw(prefix, now)
		}
	}
}

func (t *routeTable) withdrawAll() {
	now := time.Now()
	for prefix := range t.states {
		t.withdraw(prefix, now)
	}
}

func (t *routeTable) withdraw(prefix netip.Prefix, now time.Time) {
	delete(t.states, prefix)
	t.log(RouteChange{At: now, Prefix: prefix, Withdrawn: true})
}

func (t *routeTable) log(change RouteChange) {
	if t.logging {
		t.changes = append(t.changes, change)
	}
}

// takeChanges returns the changes since the last call.
func (t *routeTable) takeChanges() []RouteChange {
	changes := t.changes
	t.changes = nil
	return changes
}
