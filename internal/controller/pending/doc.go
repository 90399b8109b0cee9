// Package pending explains why a container does not run. It derives all reasons that currently apply from the state of
// the controller, the explanation of a scheduler and the machine list, and orders them by how much they explain. It is
// pure and keeps no state.
package pending
