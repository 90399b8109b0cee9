// Package scheduler decides on which machine each container of a service runs.
//
// It is pure: events go in with a clock reading, actions come out, and it does no I/O, starts no goroutine and reads no
// clock. The process that hosts it calls New once, then Handle for each batch of events, and carries out the returned
// actions in order. Chance comes from a seeded generator, and no decision follows the order of a map, so that every
// run can be replayed.
//
// The decisions stand in the files that "policy" names in deploy/balancer.toml:
//
//   - scheduler.go dispatches events
//   - machinelist.go keeps the list of machines
//   - attempts.go follows containers from request to outcome
//   - draw.go picks machines (Max-Cap, docs/design.md)
//   - health.go ejects outliers and probes them
//   - trafficclass.go finds machines that fail one workload class or tenant
//   - slowstart.go limits what is sent to machines that started lately
//   - shedding.go sheds load by priority
//   - timers.go does the periodic work and watches deadlines
//   - explain.go and snapshot.go answer questions
//
// The other files hold types, state and helpers without decisions.
package scheduler
