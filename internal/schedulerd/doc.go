// Package schedulerd implements the scheduler process. Server runs an event loop. It turns frames, connection changes
// and timers into events, passes them to the decision packages once per iteration, and executes the returned actions in
// order. All decisions are made by the decision packages. Unless stated otherwise, the code of this package runs on the
// goroutine of the event loop.
//
// Server connects the parts and maps each action to a method. Each part owns its state:
//
//	process            shared by all parts: settings, incarnation, log, event loop, counters
//	decisions          the scheduler, the reconciler, and the events queued for them
//	clientRegistry     accepted connections, each a clientConn
//	machineRegistry    the machine list and the machines, each with a machineConn, an attemptQueue and its probes
//	attemptDispatcher  attempts, from the decision to the outcome
//	containerRegistry  admitted and adopted containers, and the replies to their clients
//	listReceiver       applies the updates of machinelist.Client, which owns the connection to the list service
//	routeAnnouncer     the BGP speaker
//	stateStore         the state persisted for the next incarnation: a journal and a snapshotWriter
//	inspector          replies to status and explain requests of operators
//
// # State machines
//
// An event that the table does not list for a state is illegal: it is logged as a *statemachine.TransitionError, and
// the state does not change.
//
// An attempt:
//
//	| state        | event                 | next state   |
//	| queued       | log required          | awaiting log |
//	| queued       | offer sent            | offered      |
//	| queued       | ended                 | ended        |
//	| awaiting log | logged                | queued       |
//	| awaiting log | ended                 | ended        |
//	| offered      | accept received       | running      |
//	| offered      | ended                 | ended        |
//	| running      | termination requested | terminating  |
//	| running      | ended                 | ended        |
//	| terminating  | termination requested | terminating  |
//	| terminating  | ended                 | ended        |
//	| ended        | logged                | ended        |
//
// The connection of a machine. The machine gets offers and probes while it is ready:
//
//	| state        | event              | next state   |
//	| disconnected | dialed             | connecting   |
//	| connecting   | opened             | connected    |
//	| connecting   | closed             | disconnected |
//	| connected    | inventory received | ready        |
//	| connected    | closed             | disconnected |
//	| ready        | closed             | disconnected |
//
// The connection of a client. Nothing is sent once it is closing:
//
//	| state          | event          | next state  |
//	| awaiting hello | hello received | established |
//	| awaiting hello | goodbye sent   | closing     |
//	| awaiting hello | write failed   | closing     |
//	| awaiting hello | closed         | closed      |
//	| established    | hello received | established |
//	| established    | goodbye sent   | closing     |
//	| established    | write failed   | closing     |
//	| established    | closed         | closed      |
//	| closing        | hello received | closing     |
//	| closing        | closed         | closed      |
//	| closed         | hello received | closed      |
//
// The server. A stop may be requested before Run has started it:
//
//	| state    | event          | next state |
//	| created  | started        | serving    |
//	| created  | stop requested | stopping   |
//	| created  | loop ended     | stopped    |
//	| serving  | stop requested | stopping   |
//	| serving  | loop ended     | stopped    |
//	| stopping | started        | stopping   |
//	| stopping | stop requested | stopping   |
//	| stopping | loop ended     | stopped    |
//
// The state store. It writes snapshots once the snapshot of the folder has been restored:
//
//	| state     | event    | next state |
//	| loading   | loaded   | loaded     |
//	| loaded    | restored | recording  |
//	| loaded    | closed   | closed     |
//	| recording | closed   | closed     |
//
// The snapshot writer:
//
//	| state    | event     | next state |
//	| saved    | started   | saving     |
//	| saving   | succeeded | saved      |
//	| saving   | failed    | failed     |
//	| failed   | started   | retrying   |
//	| retrying | succeeded | saved      |
//	| retrying | failed    | failed     |
package schedulerd
