// Package reconcile decides what becomes of containers that run, or may run, outside the ordinary path of an attempt:
// after a restart of the scheduler, a broken connection, a timeout, or when a client retries a request whose container
// runs already. It owns which containers there are, under which idempotency keys and on which machines, and it opens
// and closes requests in the admission controller. Which machine a container is sent to is decided by package scheduler
// alone. The package is pure: no I/O, clock or goroutine.
package reconcile
