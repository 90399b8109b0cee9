package why

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
)

// countFittingMachines counts the machines that would accept a container, from the state of the machines themselves.
func (t *Trial) countFittingMachines(cores, memory float64) int {
	n := 0
	for _, m := range t.cluster.Machines {
		s, ok := m.Status()
		if ok && s.Up && !s.Draining && m.Cores*(m.AcceptCores-1)+s.FreeCores >= cores &&
			m.Memory*(m.AcceptMemory-1)+s.FreeMemory >= memory {
			n++
		}
	}
	return n
}

// drain drains the machines that a predicate selects. Their running containers are kept.
func (t *Trial) drain(selects func(*emulator.Machine) bool) {
	for _, m := range t.cluster.Machines {
		if selects(m) {
			t.cluster.List.SetState(m, protocol.MachineDraining)
			m.Drain()
		}
	}
}

// endDrain puts drained machines back in service.
func (t *Trial) endDrain(selects func(*emulator.Machine) bool) {
	for _, m := range t.cluster.Machines {
		if selects(m) {
			t.cluster.List.SetState(m, protocol.MachineServing)
			m.EndDrain()
		}
	}
}

// Each large machine accepts up to 96 cores. One container of fillerCores fits on it, a second one does not.
const (
	fillerCores      = 60
	fillerMemory     = 1
	fillerJob        = "filler"
	pendingJob       = "pending"
	pendingContainer = "pending.0" // its container
)

func isLarge(m *emulator.Machine) bool { return m.MachineType == "large" || m.MachineTypeIndex == 1 }

func inFirstZone(m *emulator.Machine) bool { return m.ZoneIndex == 0 }

// runDrainsAndRoom repeatedly changes the reason for which one container is pending: no machine has room, then all
// machines that could run it drain, then no machine has room again, then one machine has room.
func (t *Trial) runDrainsAndRoom() error {
	large := 0
	for _, m := range t.cluster.Machines {
		if isLarge(m) {
			large++
		}
	}
	if err := t.CreateJob(fillerJob, process.WorkloadLargeOnly, large, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.WaitRunning(fillerJob, large); err != nil {
		return err
	}
	for range t.Cycles {
		if err := t.drainWhileFull(); err != nil {
			return err
		}
		if err := t.makeRoom(large); err != nil {
			return err
		}
	}
	return nil
}

// drainWhileFull submits one container more than fits, drains all machines that may run it and ends the drain.
// Before and after the drain the container must be reported as pending for lack of room.
func (t *Trial) drainWhileFull() error {
	if n := t.countFittingMachines(fillerCores, fillerMemory); n != 0 {
		return fmt.Errorf("the large machines are not full: %d have room", n)
	}
	since := time.Now()
	if err := t.CreateJob(pendingJob, process.WorkloadLargeOnly, 1, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.expect("full", pendingContainer, since, codes{reasonNoRoom}, codes{reasonNoMachine}); err != nil {
		return err
	}
	since = time.Now()
	t.drain(isLarge)
	if err := t.expect("all draining", pendingContainer, since,
		codes{reasonNoMachine}, codes{reasonNoRoom}); err != nil {
		return err
	}
	since = time.Now()
	t.endDrain(isLarge)
	return t.expect("in service again, full", pendingContainer, since, codes{reasonNoRoom}, codes{reasonNoMachine})
}

// makeRoom scales the filler job down by one, so that the pending container fits. Afterwards it restores the filler.
func (t *Trial) makeRoom(large int) error {
	if err := t.ReplaceJob(fillerJob, process.WorkloadLargeOnly, large-1, fillerCores, fillerMemory); err != nil {
		return err
	}
	placed := func() bool { return t.CountContainers(pendingJob, process.StateRunning) > 0 }
	if err := process.WaitUntil("a machine has room", 5*time.Second, func() bool {
		return t.countFittingMachines(fillerCores, fillerMemory) > 0 || placed()
	}); err != nil {
		return err
	}
	if since := time.Now(); t.CountContainers(pendingJob, process.StateRunning) == 0 {
		// The machine with room may still be excluded because it rejected work while it drained. But the number of
		// machines reported as full must be right.
		if err := t.expectMatching(expectation{
			change: "room", container: pendingContainer, since: since, forbidden: codes{reasonNoMachine},
			condition: func(answer pendingReasons) bool {
				noRoom, found := answer.find(reasonNoRoom)
				return !found || int(noRoom.Figures["full"]) == large-t.countFittingMachines(fillerCores, fillerMemory)
			},
		}); err != nil {
			return err
		}
	}
	if err := t.DeleteJob(pendingJob); err != nil {
		return err
	}
	if err := t.ReplaceJob(fillerJob, process.WorkloadLargeOnly, large, fillerCores, fillerMemory); err != nil {
		return err
	}
	return t.WaitRunning(fillerJob, large)
}
