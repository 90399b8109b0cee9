// Package overload decides which placement requests the scheduler takes while more arrive than can be served, and when
// clients whose requests it sheds should come back. Without overload it takes every request at the cost of a few
// additions. The package is pure: no I/O, clock or goroutine.
//
// It guards against load that sustains itself: requests queue until their deadline passes, are placed all the same, and
// are sent again by their clients. Three means work together:
//
//   - An adaptive concurrency limit sheds at once what could not start in time. Classes of lower priority weight are
//     shed first.
//   - A retry budget admits client retries only as a share of first tries.
//   - A scheduled retry-after gives each shed request a place in a queue that moves at the observed throughput, so that
//     clients return one after another and not together.
package overload
