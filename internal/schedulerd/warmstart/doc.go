// Package warmstart decides what a scheduler that starts restores of what an earlier incarnation had learned, and
// keeps the ledger by which the slow-start budget of machines holds across restarts. Each category of what was learned
// counts for less with its age and for nothing beyond a bound. What was sent to machines in slow start is restored
// only where it is known to be complete. The package is pure: no I/O, clock or goroutine.
package warmstart
