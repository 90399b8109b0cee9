// Package faults injects the faults of a scenario into a cluster: into machines, the network, the machine list,
// schedulers and clients.
package faults

import (
	"fmt"
	"slices"
	"time"
)

// Fault is one fault of a scenario.
type Fault struct {
	Kind     Kind
	At       time.Duration // since the start of the scenario
	Duration time.Duration
	Fraction float64 // fraction of the machines, or of the other objects that the kind affects
	Size     float64 // its meaning depends on the kind
	Zone     int
}

// Kind is a kind of fault. Scenario files use its text.
type Kind string

// The kinds of fault.
const (
	KindCrash            Kind = "crash"
	KindZoneRestart      Kind = "zone restart"
	KindFreeze           Kind = "freeze"
	KindFreezeAndRestart Kind = "freeze and restart"
	KindHalfOpen         Kind = "half-open connections"
	KindZonePartition    Kind = "zone partition"
	KindResets           Kind = "connection resets"
	KindSlow             Kind = "slow"
	KindDrain            Kind = "drain"
	KindRollingDeploy    Kind = "rolling deploy"
	KindListUnavailable  Kind = "machine list unavailable"
	KindListStale        Kind = "machine list stale"
	KindSchedulersKilled Kind = "schedulers killed"
	KindBurst            Kind = "burst"
	KindClientRetries    Kind = "client retries"
	KindLostAccepts      Kind = "lost accepts"
	KindNetworkDelay     Kind = "network delay"
	KindWorkloadIgnored  Kind = "workload ignored"
	KindTenantThrottled  Kind = "tenant throttled"
	KindMemoryGrowth     Kind = "memory growth"
	KindFleetGrowth      Kind = "fleet growth"
)

// injector injects one kind of fault; inject returns when the fault has ended.
type injector interface {
	inject(i *Injector, f Fault)
}

// injectors holds the injector of each kind of fault.
var injectors = map[Kind]injector{
	KindCrash:            machineRestart{},
	KindFleetGrowth:      machineRestart{},
	KindZoneRestart:      zoneRestart{},
	KindFreeze:           machineFault{start: freeze, end: unfreeze},
	KindFreezeAndRestart: freezeThenRestart{},
	KindHalfOpen:         halfOpenConnections{},
	KindZonePartition:    zonePartition{},
	KindResets:           connectionResets{},
	KindSlow:             machineFault{start: slowDown, end: resetSlowdown},
	KindDrain:            drain{},
	KindRollingDeploy:    rollingDeploy{},
	KindListUnavailable:  listUnavailable{},
	KindListStale:        listStale{},
	KindSchedulersKilled: schedulerKill{},
	KindBurst:            burst{},
	KindClientRetries:    clientRetries{},
	KindLostAccepts:      lostAccepts{},
	KindNetworkDelay:     networkDelay{},
	KindWorkloadIgnored:  machineFault{start: ignoreWorkload, end: answerWorkload},
	KindTenantThrottled:  machineFault{start: throttleTenant, end: admitTenant},
	KindMemoryGrowth:     machineFault{start: growMemory, end: resetMemory},
}

// Known reports whether a kind of fault exists.
func Known(kind Kind) bool { return injectors[kind] != nil }

// Kinds returns all kinds of fault in alphabetical order.
func Kinds() []Kind {
	var kinds []Kind
	for kind := range injectors {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// Describe returns the parameters of the fault as the log prints them after its kind.
func (f Fault) Describe(zones []string) string {
	text := fmt.Sprintf(", for %.1f s", f.Duration.Seconds())
	if f.Fraction > 0 {
		text += fmt.Sprintf(", fraction %.2f", f.Fraction)
	}
	if f.Size > 0 {
		text += fmt.Sprintf(", size %.1f", f.Size)
	}
	if f.Kind == KindZonePartition || f.Kind == KindZoneRestart {
		text += ", " + zones[f.Zone]
	}
	return text
}
