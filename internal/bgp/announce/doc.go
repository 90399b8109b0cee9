// Package announce decides which service addresses are announced over BGP, with which path, and when. It derives the
// routes from the running and draining containers of each service. It sends at most one update a second for an address
// and withdraws an address within two seconds of the end of its last container. The package does no I/O: Handle takes
// events and returns actions.
//
// An [Announcer] holds a service for each address: its configuration, its containers, its flap damping, and its route
// as sent to peers. The transitions of a route by state and event:
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
// An event that is not listed for a state is illegal and is logged as a *statemachine.TransitionError.
package announce
