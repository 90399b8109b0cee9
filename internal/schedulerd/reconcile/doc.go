// Package reconcile decides what to do with containers that run, or may run, outside the normal course of an attempt:
// after a restart of the scheduler, a broken connection or a timeout, or when a client retries a request whose
// container already runs. It owns the set of containers, with their idempotency keys and machines, and it opens and
// closes requests in the admission controller. Package scheduler alone decides which machine a container is sent to.
// The package is pure: no I/O, clock or goroutine.
package reconcile
