// Package scheduler decides on which machine each container of a service runs.
//
// The package is deterministic and has no side effects: Handle takes events and the current time and returns actions.
// It does no I/O, starts no goroutine and reads no clock. The process that hosts a scheduler calls New once, then
// Handle for each batch of events, and carries out the returned actions in order. All random numbers come from one
// seeded generator, and no decision depends on the iteration order of a map, so that every run can be replayed.
//
// Scheduler is a coordinator: Handle dispatches each event to one method, which calls the components. Each component
// owns its state and is accessed through methods only. Its state for one machine is kept in a field of type machine.
// The components are:
//
//	component             job                                                     file
//	machineRegistry       machines and their entries in the machine list          machineregistry.go, machine.go
//	containerRegistry     containers, services and their reservations             containerregistry.go, container.go
//	tenantQuotas          cores reserved for each tenant                          tenantquotas.go
//	eligibility           filters before the draw                                 eligibility.go
//	maxCapDraw            the draw (Max-Cap, docs/design.md)                      draw.go, capacity.go
//	outlierDetector       ejects machines that fail                               outlierdetection.go
//	prober                probes ejected and silent machines                      probing.go
//	classFailureDetector  finds machines that fail one workload class or tenant   trafficclass.go
//	outcomeRecorder       records outcomes of attempts as evidence                outcomes.go, selfdraining.go
//	slowStartLimiter      limits the sends to recently started machines           slowstart.go, sendledger.go
//	loadShedder           rejects requests of low priority                        shedding.go
//	listPoller            decides when the machine list is polled                 listpoller.go
//	deadlineTimer         answers requests without an outcome at their deadline   deadlines.go
//	explainer             reports why a request finds no machine                  explain.go
//
// The coordinator itself is in scheduler.go (events and maintenance) and attempts.go (containers from the request to
// the outcome). snapshot.go saves the learned state for a later incarnation.
//
// A machine is chosen in three steps. The filters exclude the machines where the container may not run. Of the rest,
// only the machines with the lowest suspicion level remain. One of these is drawn, with odds proportional to honored
// maximum capacity.
//
// "policy" in deploy/balancer.toml lists every file that makes decisions. The other files hold types and helpers.
package scheduler
