// Package platformcheck plays random orders of events against the platform process and checks the rules that its peers
// can observe. The process is the real code, package platform with package scheduler, on a simulated network of package
// simnet. Its clients, its machines and the discovery service are state machines of this package. A run is determined
// by its seed and its list of events. A failing list can therefore be replayed, and reduced to a shorter one that still
// fails.
//
// The events are of the ten kinds of docs/crossings.md. The seed also selects one of 420 combinations of the
// parameters: the settings, the descriptor limit and the number of machines, 6 or 300. These rules are checked:
//
//   - Rule 1: each request gets exactly one final answer, at most half a second after its deadline. The process does
//     nothing for a request after its answer, or after it has read its cancellation. Each accept comes from a machine.
//     The end of a running container is reported to a client within 8.5 s. Once the process has read the end from the
//     machine, it reports the end within a second, if it has served a client all that time and no client has left its
//     input unread. A container that still runs is not reported to have ended.
//   - Rule 2: no machine is offered a container that may run already, unless the workload class allows it. A request
//     has at most one attempt in flight. A container has ended 3 s after the process has read a client's order to end
//     it, not counting the time in which the process could not reach the machine.
//   - Rule 3: a machine gets no offers once the process has known for longer than the grace period that the machine
//     drains or is gone.
//   - Rule 4: once the process has read that a machine has started, it sends that machine no more offers and probes
//     within a window of slow start than one scheduler's share of the budget.
//   - Rule 5: an offer does not put more containers of a service into the scope of its spread limit than the limit
//     allows. The count is based on what the process knows when it sends the offer: offers in flight, and containers
//     that machines or clients have reported to run and nobody has reported to have ended. Containers that the process
//     may consider lost because of a fault are not counted.
//   - The process ends in time after TERM, and at no other time. It leaves no descriptor open, does not spin, does not
//     panic, and logs no illegal state transition.
package platformcheck
