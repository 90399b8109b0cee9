// Package scheduler decides on which machine each container of a service runs.
//
// It is pure: events go in with a clock reading, actions come out, and it does no I/O, starts no goroutine and reads no
// clock. The process that hosts it calls New once, then Handle for each batch of events, and carries out the returned
// actions in order. Chance comes from one seeded generator, and no decision follows the order of a map, so that every
// run can be replayed.
//
// Scheduler is a coordinator: Handle dispatches each event to one method, which asks the components. Each component
// owns its state and is reached through methods only. What it knows of one machine is a record in the machine:
//
//	component             job                                                     file
//	machineRegistry       which machines there are, and what the list says        machineregistry.go, machine.go
//	containerRegistry     containers, services and what they reserve              containerregistry.go, container.go
//	tenantQuotas          cores reserved for each tenant                          tenantquotas.go
//	eligibility           filters before the draw                                 eligibility.go
//	maxCapDraw            the draw (Max-Cap, docs/design.md)                      draw.go, capacity.go
//	outlierDetector       ejects machines that fail                               outlierdetection.go
//	prober                probes ejected and silent machines                      probing.go
//	classFailureDetector  finds machines that fail one workload class or tenant   trafficclass.go
//	outcomeRecorder       takes outcomes of attempts as evidence                  outcomes.go, selfdraining.go
//	slowStartLimiter      limits what is sent to machines that started lately     slowstart.go, sendledger.go
//	loadShedder           rejects requests of low priority                        shedding.go
//	listPoller            when the machine list is polled                         listpoller.go
//	deadlineTimer         answers what has no outcome at its deadline             deadlines.go
//	explainer             says why a request finds no machine                     explain.go
//
// The coordinator's own steps are in scheduler.go (events and maintenance) and attempts.go (containers from the request
// to the outcome); snapshot.go gives a later incarnation what this one has learned.
//
// A machine passes from event to decision as follows: the filters leave out where a container may not go; among the
// rest, those with the lowest suspicion level are drawn from, with odds proportional to honored maximum capacity.
//
// "policy" in deploy/balancer.toml names every file with decisions. The other files hold types and helpers.
package scheduler
