// Package recovery decides how the scheduler and the controller continue after a crash. A Tracker serves the scheduler:
// it knows which attempts may run without confirmation, requests connections to the machines so that they report the
// attempts they hold, and blocks the idempotency keys of unconfirmed attempts until their machines have reported.
// Resume serves the controller: it returns the first step for each container in its log. The package is pure: no I/O,
// clock or goroutine.
package recovery
