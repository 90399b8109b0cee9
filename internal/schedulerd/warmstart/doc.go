// Package warmstart decides which state learned by an earlier incarnation a starting scheduler restores, and keeps the
// ledger that enforces the slow-start budget of machines across restarts of the scheduler. The weight of each category
// of learned state falls with its age and is 0 beyond a maximum age. Sends to machines in slow start are restored only
// if they are known to be complete. The package is pure: no I/O, clock or goroutine.
package warmstart
