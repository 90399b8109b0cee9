// Package emulator emulates the peers of a scheduler: machines, the machine list, clients and BGP peers. They speak the
// real protocols over TCP on loopback, in real time. The model behind them is simple: it exposes a scheduler to faults
// and does not predict the behavior of any real system.
//
// A Machine runs its components on the goroutine of its task loop: the lifecycle, the server of scheduler connections,
// the admission of offers, the container runtime, slow start, and the behavior that faults change.
//
// The state machines follow the tables below. Each row is a state, an event and the next state. Any other event is
// illegal in that state: it is reported as a *statemachine.TransitionError and leaves the state unchanged.
//
// Task loop of a machine:
//
//	| closed      | closed               | closed      |
//	| closed      | frozen               | closed      |
//	| closed      | thawed               | closed      |
//	| frozen      | closed               | closed      |
//	| frozen      | frozen               | frozen      |
//	| frozen      | task posted          | frozen      |
//	| frozen      | thawed               | running     |
//	| running     | closed               | closed      |
//	| running     | frozen               | frozen      |
//	| running     | task posted          | running     |
//	| running     | thawed               | running     |
//
// Machine:
//
//	| draining    | capacity exceeded    | overwhelmed |
//	| draining    | crashed              | stopped     |
//	| draining    | drain requested      | draining    |
//	| draining    | drain revoked        | serving     |
//	| draining    | evacuation requested | evacuating  |
//	| evacuating  | capacity exceeded    | overwhelmed |
//	| evacuating  | crashed              | stopped     |
//	| evacuating  | drain requested      | draining    |
//	| evacuating  | drain revoked        | serving     |
//	| evacuating  | evacuation requested | evacuating  |
//	| overwhelmed | drain requested      | overwhelmed |
//	| overwhelmed | drain revoked        | overwhelmed |
//	| overwhelmed | evacuation requested | overwhelmed |
//	| serving     | capacity exceeded    | overwhelmed |
//	| serving     | crashed              | stopped     |
//	| serving     | drain requested      | draining    |
//	| serving     | drain revoked        | serving     |
//	| serving     | evacuation requested | evacuating  |
//	| stopped     | drain requested      | stopped     |
//	| stopped     | drain revoked        | stopped     |
//	| stopped     | evacuation requested | stopped     |
//	| stopped     | started              | serving     |
//
// Container:
//
//	| accepted    | ended                | ended       |
//	| accepted    | start completed      | running     |
//	| offered     | ended                | ended       |
//	| offered     | offer accepted       | accepted    |
//	| running     | ended                | ended       |
//
// BGP peer:
//
//	| closed      | closed               | closed      |
//	| closed      | session ended        | closed      |
//	| established | closed               | closed      |
//	| established | session ended        | listening   |
//	| established | session established  | established |
//	| listening   | closed               | closed      |
//	| listening   | session established  | established |
package emulator
