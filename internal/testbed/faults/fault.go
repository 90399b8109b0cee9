package faults

import (
	"fmt"
	"slices"
	"time"
)

// Fault is one fault of a scenario.
type Fault struct {
	Kind     string        // a key of injectors
	At       time.Duration // since the scenario began
	Duration time.Duration
	Fraction float64 // of the machines, or of what the kind affects
	Size     float64 // its meaning depends on the kind
	Zone     int
}

// The kinds of fault, as scenario files name them.
const (
	KindCrash            = "crash"
	KindZoneRestart      = "hall restarts cold"
	KindSilence          = "silence"
	KindSilenceThenCold  = "silence, then cold"
	KindHalfOpen         = "half-open links"
	KindZonePartition    = "hall cut off"
	KindResets           = "resets"
	KindSlow             = "slow"
	KindDrain            = "drain"
	KindRollingDeploy    = "rolling deploy"
	KindListUnavailable  = "list away"
	KindListStale        = "list stale"
	KindSchedulersKilled = "placers killed"
	KindBurst            = "burst"
	KindClientRetries    = "asked again"
	KindAnswersLost      = "answers lost"
	KindNetworkDelay     = "late network"
	KindWorkloadIgnored  = "workload unanswered"
	KindTenantThrottled  = "customer turned away"
	KindMemoryGrowth     = "memory swells"
	KindFleetGrows       = "fleet grows"
)

// An injector plays one kind of fault; inject returns when the fault has ended.
type injector interface {
	inject(i *Injector, f Fault)
}

// injectors has the injector of each kind of fault.
var injectors = map[string]injector{
	KindCrash:            machineRestart{},
	KindFleetGrows:       machineRestart{},
	KindZoneRestart:      zoneRestart{},
	KindSilence:          machineFault{start: freeze, end: unfreeze},
	KindSilenceThenCold:  silenceThenRestart{},
	KindHalfOpen:         halfOpenConnections{},
	KindZonePartition:    zonePartition{},
	KindResets:           connectionResets{},
	KindSlow:             machineFault{start: slowDown, end: resumeSpeed},
	KindDrain:            drain{},
	KindRollingDeploy:    rollingDeploy{},
	KindListUnavailable:  listUnavailable{},
	KindListStale:        listStale{},
	KindSchedulersKilled: schedulerKill{},
	KindBurst:            burst{},
	KindClientRetries:    clientRetries{},
	KindAnswersLost:      lostAnswers{},
	KindNetworkDelay:     networkDelay{},
	KindWorkloadIgnored:  machineFault{start: ignoreWorkload, end: heedWorkload},
	KindTenantThrottled:  machineFault{start: throttleTenant, end: admitTenant},
	KindMemoryGrowth:     machineFault{start: growMemory, end: resetMemory},
}

// Known reports whether there is a kind of fault.
func Known(kind string) bool { return injectors[kind] != nil }

// Kinds returns the kinds of fault in order.
func Kinds() []string {
	var kinds []string
	for kind := range injectors {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// Describe returns the fault's parameters as the log prints them behind its kind.
func (f Fault) Describe(zones []string) string {
	text := fmt.Sprintf(", for %.1f s", f.Duration.Seconds())
	if f.Fraction > 0 {
		text += fmt.Sprintf(", part %.2f", f.Fraction)
	}
	if f.Size > 0 {
		text += fmt.Sprintf(", size %.1f", f.Size)
	}
	if f.Kind == KindZonePartition || f.Kind == KindZoneRestart {
		text += ", " + zones[f.Zone]
	}
	return text
}
