// Package announce decides which service addresses are announced by BGP, with which path, and when. From containers
// that run, drain and end it derives the routes that all peers should have, never more than one update a second for
// an address, and withdraws in time when the last container behind an address has ended. It is pure: Handle takes
// events and returns actions.
//
// An [Announcer] holds a service for each address: its configuration, its containers, the damping of its flaps, and
// its route, which is what peers have been sent. By state of the route and event, with the state that follows:
//
//	state                event           next                 what was done
//	withdrawn            changeSettled   withdrawn            peers have what they should have
//	withdrawn            changeDeferred  announcementPending  the change waits for minUpdateInterval
//	withdrawn            pathSent        announced            a path was sent
//	announcementPending  changeSettled   withdrawn            peers have what they should have
//	announcementPending  changeDeferred  announcementPending  the change waits for minUpdateInterval
//	announcementPending  pathSent        announced            a path was sent
//	announced            changeSettled   announced            peers have what they should have
//	announced            changeDeferred  changePending        the change waits for minUpdateInterval
//	announced            pathSent        announced            a path was sent
//	announced            withdrawalSent  withdrawn            a withdrawal was sent
//	announced            addressMoved    announcementPending  a withdrawal was sent; the new address follows
//	changePending        changeSettled   announced            peers have what they should have
//	changePending        changeDeferred  changePending        the change waits for minUpdateInterval
//	changePending        pathSent        announced            a path was sent
//	changePending        withdrawalSent  withdrawn            a withdrawal was sent
//	changePending        addressMoved    announcementPending  a withdrawal was sent; the new address follows
//
// An event that is not listed is a *statemachine.TransitionError, which is logged.
package announce
