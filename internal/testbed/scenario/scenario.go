// Package scenario reads scenario files and runs them: it starts a cluster, puts load on it, injects faults and audits
// the recording.
package scenario

import (
	"time"

	"glenport/internal/config/strictyaml"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/faults"
)

// Scenario is a cluster, its load and the faults that are injected.
type Scenario struct {
	cluster.Spec
	Name   string
	Length time.Duration
	Settle time.Duration // how long to wait for replies after the last submission
	Rate   float64       // submissions per second
	Faults []faults.Fault

	Deprecations []strictyaml.Deprecation // old names used in the file
}
