package announce

import (
	"net/netip"

	"glenport/internal/statemachine"
	"glenport/scheduler"
)

// routeState says whether peers have a route to a service's address, and whether a change of it is pending.
type routeState uint8

const (
	routeWithdrawn      routeState = iota // peers have no route
	announcementPending                   // peers have no route; an announcement waits for minUpdateInterval
	routeAnnounced                        // peers have a route
	changePending                         // peers have a route; a new path or a withdrawal waits for minUpdateInterval
)

func (s routeState) String() string {
	return [...]string{"withdrawn", "announcementPending", "announced", "changePending"}[s]
}

// routeEvent is an input of the state machine of a route.
type routeEvent uint8

const (
	changeSettled  routeEvent = iota // peers have the desired route, or none if none is desired
	changeDeferred                   // a change waits for minUpdateInterval
	pathSent                         // a path was sent to peers
	withdrawalSent                   // a withdrawal was sent to peers
	addressMoved                     // a withdrawal was sent to peers; a route for another address follows
)

func (e routeEvent) String() string {
	return [...]string{"changeSettled", "changeDeferred", "pathSent", "withdrawalSent", "addressMoved"}[e]
}

// routeTransitions maps each state and event to the next state.
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

// route is the route to a service's address as sent to peers.
type route struct {
	state       routeState
	path        Path         // path announced last
	prefix      netip.Prefix // prefix announced last
	updatedAt   scheduler.Time
	everUpdated bool // whether updatedAt is set
}

// transition moves the route to the state that follows an event; the state changes only here. If the event is illegal
// in the current state, transition returns a *statemachine.TransitionError and changes nothing.
func (r *route) transition(e routeEvent) error {
	return routeTransitions.Apply("announced route", &r.state, e)
}

// announced reports whether peers have a route.
func (r *route) announced() bool { return r.state == routeAnnounced || r.state == changePending }

// pending reports whether a change waits for minUpdateInterval.
func (r *route) pending() bool { return r.state == announcementPending || r.state == changePending }

// matches reports whether peers have the given path, or no route if none is wanted.
func (r *route) matches(path Path, wanted bool) bool {
	return r.announced() == wanted && (!wanted || r.path == path)
}

// nextUpdateAt is the earliest time of the next update.
func (r *route) nextUpdateAt() scheduler.Time { return r.updatedAt + minUpdateInterval }

// mustWait reports whether the last update was less than minUpdateInterval ago.
func (r *route) mustWait(now scheduler.Time) bool { return r.everUpdated && now < r.nextUpdateAt() }

func (r *route) recordUpdate(now scheduler.Time) { r.updatedAt, r.everUpdated = now, true }
