// Package emulator emulates what a scheduler talks to: machines, the machine list, clients and BGP peers. The emulated
// parts speak the real protocols over TCP on loopback and live in real time. Their model is glenport's own and simple:
// it exists to expose a scheduler to faults, not to predict any real system.
//
// A Machine is a task loop, on whose goroutine its components live: the lifecycle, the server of schedulers'
// connections, the admission of offers, the runtime of containers, slow start, and the behavior that faults change.
//
// What has a state changes it by the tables below, each row a state, an event and the state that follows. Any other
// event is illegal in that state: it is reported by a *statemachine.TransitionError and changes nothing.
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
