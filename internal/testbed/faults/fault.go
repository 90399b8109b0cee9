package faults

import (
	"fmt"
	"slices"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
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

// machineFault changes a fraction of the machines and restores them at its end.
type machineFault struct {
	start, end func(*emulator.Machine, Fault)
}

func (m machineFault) inject(i *Injector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	for _, machine := range machines {
		m.start(machine, f)
	}
	i.wait(f.Duration)
	for _, machine := range machines {
		m.end(machine, f)
	}
}

func freeze(m *emulator.Machine, _ Fault)         { m.SetFrozen(true) }
func unfreeze(m *emulator.Machine, _ Fault)       { m.SetFrozen(false) }
func slowDown(m *emulator.Machine, f Fault)       { m.SetSlowdown(f.Size) }
func resumeSpeed(m *emulator.Machine, _ Fault)    { m.SetSlowdown(1) }
func ignoreWorkload(m *emulator.Machine, f Fault) { m.SetIgnoredWorkload(int(f.Size), true) }
func heedWorkload(m *emulator.Machine, f Fault)   { m.SetIgnoredWorkload(int(f.Size), false) }
func throttleTenant(m *emulator.Machine, f Fault) { m.SetThrottledTenant(int(f.Size), true) }
func admitTenant(m *emulator.Machine, f Fault)    { m.SetThrottledTenant(int(f.Size), false) }
func growMemory(m *emulator.Machine, f Fault)     { m.SetMemoryFactor(f.Size) }
func resetMemory(m *emulator.Machine, _ Fault)    { m.SetMemoryFactor(1) }

// machineRestart takes a fraction of the machines down and brings them back in slow start.
type machineRestart struct{}

func (machineRestart) inject(i *Injector, f Fault) {
	i.restartMachines(i.pickMachines(f.Fraction), f.Duration)
}

// zoneRestart takes a zone down and brings it back in slow start.
type zoneRestart struct{}

func (zoneRestart) inject(i *Injector, f Fault) {
	i.restartMachines(i.ZoneMachines(f.Zone), f.Duration)
}

// silenceThenRestart freezes a fraction of the machines and restarts them at its end.
type silenceThenRestart struct{}

func (silenceThenRestart) inject(i *Injector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	for _, m := range machines {
		m.SetFrozen(true)
	}
	i.wait(f.Duration)
	i.restartMachines(machines, 0)
}

// halfOpenConnections drops all bytes of the connections to a fraction of the machines without closing them.
type halfOpenConnections struct{}

func (halfOpenConnections) inject(i *Injector, f Fault) {
	names := cluster.MachineNames(i.pickMachines(f.Fraction))
	remove := i.addNetworkRule(func(_ string, peerRole protocol.Role, peer string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: peerRole == protocol.RoleMachine && names[peer]}
	})
	i.wait(f.Duration)
	remove()
}

// zonePartition cuts the connections between a zone and the rest: both ways, schedulers reach only their own side.
type zonePartition struct{}

func (zonePartition) inject(i *Injector, f Fault) {
	names := cluster.MachineNames(i.ZoneMachines(f.Zone))
	inside := map[string]bool{}
	for _, s := range i.Schedulers {
		inside[s.Name] = s.Zone == f.Zone
	}
	remove := i.addNetworkRule(func(scheduler string, peerRole protocol.Role, peer string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: peerRole == protocol.RoleMachine && names[peer] != inside[scheduler]}
	})
	i.wait(f.Duration)
	remove()
}

// connectionResets resets, each second, the connections to another fraction of the machines.
type connectionResets struct{}

func (connectionResets) inject(i *Injector, f Fault) {
	for left := f.Duration; left > 0; left -= time.Second {
		names := cluster.MachineNames(i.pickMachines(f.Fraction))
		i.Net.Reset(func(_ string, peerRole protocol.Role, peer string) bool {
			return peerRole == protocol.RoleMachine && names[peer]
		})
		i.wait(min(left, time.Second))
	}
}

// drain drains a fraction of the machines and puts them back in service. With a size they evict what runs.
type drain struct{}

func (drain) inject(i *Injector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	for _, m := range machines {
		i.List.SetState(m, protocol.MachineDraining)
		m.SetDraining(true, f.Size > 0)
	}
	i.wait(f.Duration)
	for _, m := range machines {
		i.List.SetState(m, protocol.MachineServing)
		m.SetDraining(false, false)
	}
}

// rollingDeploy drains and restarts a fraction of the machines, so many at a time as its size says.
type rollingDeploy struct{}

func (rollingDeploy) inject(i *Injector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	batchSize := fractionOf(f.Size, len(i.Machines))
	batches := (len(machines) + batchSize - 1) / batchSize
	half := f.Duration / time.Duration(2*batches)
	for batch := range slices.Chunk(machines, batchSize) {
		for _, m := range batch {
			i.List.SetState(m, protocol.MachineDraining)
			m.SetDraining(true, true)
		}
		i.wait(half)
		for _, m := range batch {
			i.List.SetState(m, protocol.MachineServing)
		}
		i.restartMachines(batch, half)
	}
}

// listUnavailable takes the machine list down.
type listUnavailable struct{}

func (listUnavailable) inject(i *Injector, f Fault) {
	i.List.SetUnreachable(true)
	i.wait(f.Duration)
	i.List.SetUnreachable(false)
}

// listStale lets the machine list lag by as many seconds as its size says.
type listStale struct{}

func (listStale) inject(i *Injector, f Fault) {
	i.List.SetStaleness(time.Duration(f.Size * float64(time.Second)))
	i.wait(f.Duration)
	i.List.SetStaleness(0)
}

// schedulerKill kills a fraction of the schedulers and starts them again.
type schedulerKill struct{}

func (schedulerKill) inject(i *Injector, f Fault) {
	killed := i.pick(f.Fraction, len(i.Schedulers))
	for _, index := range killed {
		i.KillScheduler(i.Schedulers[index])
	}
	i.wait(f.Duration)
	for _, index := range killed {
		if err := i.StartScheduler(i.Schedulers[index]); err != nil {
			i.log.Printf("placer %s did not come back: %v", i.Schedulers[index].Name, err)
		}
	}
}

// burst multiplies the rate of submissions by its size.
type burst struct{}

func (burst) inject(i *Injector, f Fault) {
	i.Clients.SetRate(i.rate * f.Size)
	i.wait(f.Duration)
	i.Clients.SetRate(i.rate)
}

// clientRetries has clients submit a fraction of what waits once more.
type clientRetries struct{}

func (clientRetries) inject(i *Injector, f Fault) {
	i.Clients.Redeploy(f.Fraction)
	i.wait(f.Duration)
}

// lostAnswers drops a fraction, its size, of what machines answer.
type lostAnswers struct{}

func (lostAnswers) inject(i *Injector, f Fault) {
	remove := i.addNetworkRule(func(_ string, peerRole protocol.Role, _ string) faultproxy.Fault {
		if peerRole == protocol.RoleMachine {
			return faultproxy.Fault{LoseAccepts: f.Size}
		}
		return faultproxy.Fault{}
	})
	i.wait(f.Duration)
	remove()
}

// networkDelay delays every connection by as many milliseconds as its size says.
type networkDelay struct{}

func (networkDelay) inject(i *Injector, f Fault) {
	remove := i.addNetworkRule(func(string, protocol.Role, string) faultproxy.Fault {
		return faultproxy.Fault{Delay: time.Duration(f.Size * float64(time.Millisecond))}
	})
	i.wait(f.Duration)
	remove()
}
