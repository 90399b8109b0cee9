// Package emulator emulates what a scheduler talks to: machines, the machine list, clients and BGP peers. The emulated
// parts speak the real protocols over TCP on loopback and live in real time. Their model is glenport's own and simple:
// it exists to expose a scheduler to faults, not to predict any real system.
package emulator
