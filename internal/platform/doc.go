// Package platform runs one scheduler behind the platform's protocol.
//
// Messages of clients and machines, and events of the discovery service, become events of the scheduler, and the
// actions that it returns are carried out in their order. The process itself decides nothing: package scheduler decides
// on placement, connmanager on connections and notifications, failuredetector on silent machines. Only
// clientmessages.go, machinemessages.go, watchevents.go and config.go know the terms of the wire format.
//
// The goroutine of the event loop owns all state. Shutdown, Reload and HandleSignals may be called on any goroutine.
//
// # Parts
//
// Server wires the parts to the event loop and carries out actions. Each part owns its state, which the others access
// only through its methods:
//
//   - clientRegistry holds the connections of clients (clientConn).
//   - containerRegistry holds the containers that were requested or are running (container), each with at most one
//     attempt (attempt).
//   - machineRegistry holds the machines (machine), each with its connections (machineConnSet, machineConn).
//     machineConnPool limits the number of connections to all machines.
//   - prober tests machines, discoveryWatch follows the machine list, shutdownSequence ends the process.
//   - environment holds what the parts share: settings, loop, log, encoder, and the event queues of the packages that
//     decide.
//
// # State machines
//
// The tables give the state that follows an event. A pair marked "-" is illegal: it is logged as "illegal state
// transition" with a *statemachine.TransitionError, and the event has no effect. Each state machine changes its state
// only in its method transition.
//
// An attempt starts as connecting, or as running for a container that a client has reclaimed (attemptstate.go):
//
//	| state       | offer sent | offer accepted | termination requested | outcome known |
//	| connecting  | offered    | -              | -                     | finished      |
//	| offered     | -          | running        | -                     | finished      |
//	| running     | -          | -              | terminating           | finished      |
//	| terminating | -          | -              | terminating           | finished      |
//	| finished    | -          | -              | -                     | -             |
//
// A connection to a machine starts as connecting. It becomes abandoned if this process closes it before it is
// established (machineconnstate.go):
//
//	| state       | opened      | close requested | ended  |
//	| connecting  | established | abandoned       | closed |
//	| established | -           | closing         | closed |
//	| abandoned   | closing     | abandoned       | closed |
//	| closing     | -           | closing         | closed |
//	| closed      | -           | -               | -      |
//
// A connection of a client starts as accepted (clientstate.go):
//
//	| state       | opened      | close requested | ended  |
//	| accepted    | established | -               | -      |
//	| established | -           | closing         | closed |
//	| closing     | -           | closing         | closed |
//	| closed      | -           | closed          | -      |
//
// The process is serving until a shutdown is requested. Once it is drained, a request that arrives in the last
// iteration resumes the drain (shutdown.go):
//
//	| state    | shutdown requested | kill approached | drain completed | drain resumed |
//	| serving  | draining           | -               | -               | -             |
//	| draining | -                  | forcing         | drained         | -             |
//	| forcing  | -                  | forcing         | drained         | -             |
//	| drained  | -                  | forcing         | drained         | draining      |
package platform
