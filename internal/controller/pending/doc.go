// Package pending explains why a container does not run now. From what the controller, a scheduler and the machine list
// know it gives all reasons that hold, the one that explains most first. It is pure and keeps nothing.
package pending
