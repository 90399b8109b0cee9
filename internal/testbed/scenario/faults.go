package scenario

import (
	"fmt"
	"slices"
	"time"

	"glenport/internal/protocol"
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
	kindCrash            = "crash"
	kindZoneRestart      = "hall restarts cold"
	kindSilence          = "silence"
	kindSilenceThenCold  = "silence, then cold"
	kindHalfOpen         = "half-open links"
	kindZonePartition    = "hall cut off"
	kindResets           = "resets"
	kindSlow             = "slow"
	kindDrain            = "drain"
	kindRollingDeploy    = "rolling deploy"
	kindListUnavailable  = "list away"
	kindListStale        = "list stale"
	kindSchedulersKilled = "placers killed"
	kindBurst            = "burst"
	kindClientRetries    = "asked again"
	kindAnswersLost      = "answers lost"
	kindNetworkDelay     = "late network"
	kindWorkloadIgnored  = "workload unanswered"
	kindTenantThrottled  = "customer turned away"
	kindMemoryGrowth     = "memory swells"
	kindFleetGrows       = "fleet grows"
)

// An injector plays one kind of fault; inject returns when the fault has ended.
type injector interface {
	inject(i *faultInjector, f Fault)
}

// injectors has the injector of each kind of fault.
var injectors = map[string]injector{
	kindCrash:            machineRestart{},
	kindFleetGrows:       machineRestart{},
	kindZoneRestart:      zoneRestart{},
	kindSilence:          machineFault{start: freeze, end: unfreeze},
	kindSilenceThenCold:  silenceThenRestart{},
	kindHalfOpen:         halfOpenConnections{},
	kindZonePartition:    zonePartition{},
	kindResets:           connectionResets{},
	kindSlow:             machineFault{start: slowDown, end: resumeSpeed},
	kindDrain:            drain{},
	kindRollingDeploy:    rollingDeploy{},
	kindListUnavailable:  listUnavailable{},
	kindListStale:        listStale{},
	kindSchedulersKilled: schedulerKill{},
	kindBurst:            burst{},
	kindClientRetries:    clientRetries{},
	kindAnswersLost:      lostAnswers{},
	kindNetworkDelay:     networkDelay{},
	kindWorkloadIgnored:  machineFault{start: ignoreWorkload, end: heedWorkload},
	kindTenantThrottled:  machineFault{start: throttleTenant, end: admitTenant},
	kindMemoryGrowth:     machineFault{start: growMemory, end: resetMemory},
}

// faultKinds returns the kinds of fault in order.
func faultKinds() []string {
	var kinds []string
	for kind := range injectors {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// describe returns the fault's parameters as the log prints them behind its kind.
func (f Fault) describe(s *Scenario) string {
	text := fmt.Sprintf(", for %.1f s", f.Duration.Seconds())
	if f.Fraction > 0 {
		text += fmt.Sprintf(", part %.2f", f.Fraction)
	}
	if f.Size > 0 {
		text += fmt.Sprintf(", size %.1f", f.Size)
	}
	if f.Kind == kindZonePartition || f.Kind == kindZoneRestart {
		text += ", " + s.Zones[f.Zone]
	}
	return text
}

// machineFault changes a fraction of the machines and restores them at its end.
type machineFault struct {
	start, end func(*emulator.Machine, Fault)
}

func (m machineFault) inject(i *faultInjector, f Fault) {
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

func (machineRestart) inject(i *faultInjector, f Fault) {
	i.restartMachines(i.pickMachines(f.Fraction), f.Duration)
}

// zoneRestart takes a zone down and brings it back in slow start.
type zoneRestart struct{}

func (zoneRestart) inject(i *faultInjector, f Fault) {
	i.restartMachines(i.zoneMachines(f.Zone), f.Duration)
}

// silenceThenRestart freezes a fraction of the machines and restarts them at its end.
type silenceThenRestart struct{}

func (silenceThenRestart) inject(i *faultInjector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	for _, m := range machines {
		m.SetFrozen(true)
	}
	i.wait(f.Duration)
	i.restartMachines(machines, 0)
}

// halfOpenConnections drops all bytes of the connections to a fraction of the machines without closing them.
type halfOpenConnections struct{}

func (halfOpenConnections) inject(i *faultInjector, f Fault) {
	names := machineNames(i.pickMachines(f.Fraction))
	remove := i.addNetworkRule(func(_ string, peerRole protocol.Role, peer string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: peerRole == protocol.RoleMachine && names[peer]}
	})
	i.wait(f.Duration)
	remove()
}

// zonePartition cuts the connections between a zone and the rest: both ways, schedulers reach only their own side.
type zonePartition struct{}

func (zonePartition) inject(i *faultInjector, f Fault) {
	names := machineNames(i.zoneMachines(f.Zone))
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

func (connectionResets) inject(i *faultInjector, f Fault) {
	for left := f.Duration; left > 0; left -= time.Second {
		names := machineNames(i.pickMachines(f.Fraction))
		i.Net.Reset(func(_ string, peerRole protocol.Role, peer string) bool {
			return peerRole == protocol.RoleMachine && names[peer]
		})
		i.wait(min(left, time.Second))
	}
}

// drain drains a fraction of the machines and puts them back in service. With a size they evict what runs.
type drain struct{}

func (drain) inject(i *faultInjector, f Fault) {
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

func (rollingDeploy) inject(i *faultInjector, f Fault) {
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

func (listUnavailable) inject(i *faultInjector, f Fault) {
	i.List.SetUnreachable(true)
	i.wait(f.Duration)
	i.List.SetUnreachable(false)
}

// listStale lets the machine list lag by as many seconds as its size says.
type listStale struct{}

func (listStale) inject(i *faultInjector, f Fault) {
	i.List.SetStaleness(time.Duration(f.Size * float64(time.Second)))
	i.wait(f.Duration)
	i.List.SetStaleness(0)
}

// schedulerKill kills a fraction of the schedulers and starts them again.
type schedulerKill struct{}

func (schedulerKill) inject(i *faultInjector, f Fault) {
	killed := i.pick(f.Fraction, len(i.Schedulers))
	for _, index := range killed {
		i.KillScheduler(i.Schedulers[index])
	}
	i.wait(f.Duration)
	for _, index := range killed {
		if err := i.StartScheduler(i.Schedulers[index]); err != nil {
			i.log.printf("placer %s did not come back: %v", i.Schedulers[index].Name, err)
		}
	}
}

// burst multiplies the rate of submissions by its size.
type burst struct{}

func (burst) inject(i *faultInjector, f Fault) {
	i.Clients.SetRate(i.scenario.Rate * f.Size)
	i.wait(f.Duration)
	i.Clients.SetRate(i.scenario.Rate)
}

// clientRetries has clients submit a fraction of what waits once more.
type clientRetries struct{}

func (clientRetries) inject(i *faultInjector, f Fault) {
	i.Clients.Redeploy(f.Fraction)
	i.wait(f.Duration)
}

// lostAnswers drops a fraction, its size, of what machines answer.
type lostAnswers struct{}

func (lostAnswers) inject(i *faultInjector, f Fault) {
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

func (networkDelay) inject(i *faultInjector, f Fault) {
	remove := i.addNetworkRule(func(string, protocol.Role, string) faultproxy.Fault {
		return faultproxy.Fault{Delay: time.Duration(f.Size * float64(time.Millisecond))}
	})
	i.wait(f.Duration)
	remove()
}
