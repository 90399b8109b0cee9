package announce

import (
	"net/netip"

	"glenport/internal/statemachine"
	"glenport/scheduler"
)

// routeState is what peers have of a service's address, and whether a change of that is pending.
type routeState uint8

const (
	routeWithdrawn      routeState = iota // peers have no route
	announcementPending                   // peers have no route; one waits for minUpdateInterval
	routeAnnounced                        // peers have a route
	changePending                         // peers have a route; another path or a withdrawal waits
)

func (s routeState) String() string {
	return [...]string{"withdrawn", "announcementPending", "announced", "changePending"}[s]
}

// routeEvent is what happens to a route.
type routeEvent uint8

const (
	changeSettled  routeEvent = iota // peers have what they should have
	changeDeferred                   // a change waits for minUpdateInterval
	pathSent                         // peers were sent a path
	withdrawalSent                   // peers were sent a withdrawal
	addressMoved                     // peers were sent a withdrawal, and the route of another address follows
)

func (e routeEvent) String() string {
	return [...]string{"changeSettled", "changeDeferred", "pathSent", "withdrawalSent", "addressMoved"}[e]
}

// routeTransitions are the next states by state and event.
var routeTransitions = statemachine.Table[routeState, routeEvent]{
	routeWithdrawn: {
		changeSettled:  routeWithdrawn,
		changeDeferred: announcementPending,
		pathSent:       routeAnnounced,
	},
	announcementPending: {
		changeSettled:  routeWithdrawn,
		changeDeferred: announcementPending,
		pathSent:       routeAnnounced,
	},
	routeAnnounced: {
		changeSettled:  routeAnnounced,
		changeDeferred: changePending,
		pathSent:       routeAnnounced,
		withdrawalSent: routeWithdrawn,
		addressMoved:   announcementPending,
	},
	changePending: {
		changeSettled:  routeAnnounced,
		changeDeferred: changePending,
		pathSent:       routeAnnounced,
		withdrawalSent: routeWithdrawn,
		addressMoved:   announcementPending,
	},
}

// route is what peers have been sent for a service's address.
type route struct {
	state       routeState
	path        Path         // the latest announced
	prefix      netip.Prefix // under which it was announced
	updatedAt   scheduler.Time
	everUpdated bool // updatedAt is set
}

// transition takes the route to the state that follows an event; only here its state changes. It returns a
// *statemachine.TransitionError and changes nothing if the state does not have the event.
func (r *route) transition(e routeEvent) error {
	return routeTransitions.Apply("announced route", &r.state, e)
}

// announced reports whether peers have a route.
func (r *route) announced() bool { return r.state == routeAnnounced || r.state == changePending }

// pending reports whether a change waits for minUpdateInterval.
func (r *route) pending() bool { return r.state == announcementPending || r.state == changePending }

// matches reports whether peers have the desired path, or none if none is wanted.
func (r *route) matches(path Path, wanted bool) bool {
	return r.announced() == wanted && (!wanted || r.path == path)
}

// nextUpdateAt is the earliest time of the next update.
func (r *route) nextUpdateAt() scheduler.Time { return r.updatedAt + minUpdateInterval }

// mustWait reports whether the last update was less than minUpdateInterval ago.
func (r *route) mustWait(now scheduler.Time) bool { return r.everUpdated && now < r.nextUpdateAt() }

func (r *route) updated(now scheduler.Time) { r.updatedAt, r.everUpdated = now, true }
