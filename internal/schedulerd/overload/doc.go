// Package overload decides which placement requests the scheduler admits while more arrive than can be served, and when
// clients should retry the requests that it sheds. Without overload it admits every request, at the cost of a few
// additions. The package is pure: no I/O, clock or goroutine.
//
// It prevents an overload that sustains itself, in which requests wait until their deadline has passed, are placed
// nevertheless, and are sent again by their clients. Three mechanisms work together:
//
//   - An adaptive concurrency limit sheds requests at once if their containers could not start in time. Classes of
//     lower priority weight are shed first.
//   - A retry budget limits client retries to a fraction of first-time requests.
//   - A scheduled retry-after assigns each shed request a slot in a queue that advances at the observed throughput, so
//     that clients return one after another instead of all at once.
package overload
