// Package recovery decides what becomes of work that was under way when a program crashed. A Tracker serves the
// scheduler: it knows which attempts may run unconfirmed, has the machines queried for what they hold, and blocks the
// idempotency keys of such attempts until their machines have reported. Resume serves the controller: it decides what
// is done first about each container in its log. The package is pure: no I/O, clock or goroutine.
package recovery
