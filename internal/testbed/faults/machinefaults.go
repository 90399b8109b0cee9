package faults

import (
	"slices"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
)

// machineFault applies a fault to a fraction of the machines for the duration of the fault.
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

func freeze(m *emulator.Machine, _ Fault) { m.Freeze() }

func unfreeze(m *emulator.Machine, _ Fault) { m.Thaw() }

func slowDown(m *emulator.Machine, f Fault) { m.SetSlowdown(f.Size) }

func resetSlowdown(m *emulator.Machine, _ Fault) { m.SetSlowdown(1) }

func ignoreWorkload(m *emulator.Machine, f Fault) { m.IgnoreWorkload(int(f.Size)) }

func answerWorkload(m *emulator.Machine, f Fault) { m.AnswerWorkload(int(f.Size)) }

func throttleTenant(m *emulator.Machine, f Fault) { m.ThrottleTenant(int(f.Size)) }

func admitTenant(m *emulator.Machine, f Fault) { m.AdmitTenant(int(f.Size)) }

func growMemory(m *emulator.Machine, f Fault) { m.SetMemoryFactor(f.Size) }

func resetMemory(m *emulator.Machine, _ Fault) { m.SetMemoryFactor(1) }

// machineRestart crashes a fraction of the machines and restarts them with slow start.
type machineRestart struct{}

func (machineRestart) inject(i *Injector, f Fault) {
	i.restartMachines(i.pickMachines(f.Fraction), f.Duration)
}

// zoneRestart crashes all machines of a zone and restarts them with slow start.
type zoneRestart struct{}

func (zoneRestart) inject(i *Injector, f Fault) {
	i.restartMachines(i.ZoneMachines(f.Zone), f.Duration)
}

// freezeThenRestart freezes a fraction of the machines and restarts them after the duration of the fault.
type freezeThenRestart struct{}

func (freezeThenRestart) inject(i *Injector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	for _, m := range machines {
		m.Freeze()
	}
	i.wait(f.Duration)
	i.restartMachines(machines, 0)
}

// drain drains a fraction of the machines for the duration of the fault. With a size above 0 the machines also end
// their containers.
type drain struct{}

func (drain) inject(i *Injector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	for _, m := range machines {
		i.List.SetState(m, protocol.MachineDraining)
		if f.Size > 0 {
			m.Evacuate()
		} else {
			m.Drain()
		}
	}
	i.wait(f.Duration)
	for _, m := range machines {
		i.List.SetState(m, protocol.MachineServing)
		m.EndDrain()
	}
}

// rollingDeploy evacuates and restarts a fraction of the machines in batches. The size is the fraction of all machines
// in a batch.
type rollingDeploy struct{}

func (rollingDeploy) inject(i *Injector, f Fault) {
	machines := i.pickMachines(f.Fraction)
	batchSize := fractionOf(f.Size, len(i.Machines))
	batches := (len(machines) + batchSize - 1) / batchSize
	half := f.Duration / time.Duration(2*batches)
	for batch := range slices.Chunk(machines, batchSize) {
		for _, m := range batch {
			i.List.SetState(m, protocol.MachineDraining)
			m.Evacuate()
		}
		i.wait(half)
		for _, m := range batch {
			i.List.SetState(m, protocol.MachineServing)
		}
		i.restartMachines(batch, half)
	}
}
