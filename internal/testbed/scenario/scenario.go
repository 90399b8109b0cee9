// Package scenario reads scenario files and runs them: a cluster, its load and the faults that are injected, and the
// audit of the recording.
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
	Settle time.Duration // after the last submission
	Rate   float64       // submissions a second
	Faults []faults.Fault

	Deprecations []strictyaml.Deprecation // old spellings in the file
}
