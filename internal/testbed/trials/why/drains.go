package why

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
)

// countFittingMachines counts, by the machines' own state, those that would accept a container.
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

// drain drains the machines that a predicate selects; they keep what runs.
func (t *Trial) drain(which func(*emulator.Machine) bool) {
	for _, m := range t.cluster.Machines {
		if which(m) {
			t.cluster.List.SetState(m, protocol.MachineDraining)
			m.Drain()
		}
	}
}

// endDrain puts machines that were drained back in service.
func (t *Trial) endDrain(which func(*emulator.Machine) bool) {
	for _, m := range t.cluster.Machines {
		if which(m) {
			t.cluster.List.SetState(m, protocol.MachineServing)
			m.EndDrain()
		}
	}
}

// Each large machine accepts 96 cores and thus one container of fillerCores; the next needs as many more.
const (
	fillerCores  = 60
	fillerMemory = 1
	fillerJob    = "filler"
	pendingJob   = "pending"
	pendingOne   = "pending.0" // its container
)

func isLarge(m *emulator.Machine) bool { return m.MachineType == "large" || m.MachineTypeIndex == 1 }

func inFirstZone(m *emulator.Machine) bool { return m.ZoneIndex == 0 }

// playDrainsAndRoom changes the reason of one pending container again and again: no room, then all that could run it
// drain, then no room, then room.
func (t *Trial) playDrainsAndRoom() error {
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
		if err := t.fullThenDraining(); err != nil {
			return err
		}
		if err := t.roomAgain(large); err != nil {
			return err
		}
	}
	return nil
}

// fullThenDraining submits one container more than fits, drains all machines that may run it and ends the drain.
func (t *Trial) fullThenDraining() error {
	if n := t.countFittingMachines(fillerCores, fillerMemory); n != 0 {
		return fmt.Errorf("the fleet is not full: %d machines have room", n)
	}
	since := time.Now()
	if err := t.CreateJob(pendingJob, process.WorkloadLargeOnly, 1, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.expect("full", pendingOne, since, codes{reasonNoRoom}, codes{reasonNoMachine}); err != nil {
		return err
	}
	since = time.Now()
	t.drain(isLarge)
	if err := t.expect("all draining", pendingOne, since, codes{reasonNoMachine}, codes{reasonNoRoom}); err != nil {
		return err
	}
	since = time.Now()
	t.endDrain(isLarge)
	return t.expect("in service, and full", pendingOne, since, codes{reasonNoRoom}, codes{reasonNoMachine})
}

// roomAgain scales the filler down by one, so that the pending container fits, and restores the fleet after that.
func (t *Trial) roomAgain(large int) error {
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
		// The machine with room may be excluded for another reason: it drained a moment ago, and rejected work then.
		// But no more machines may be reported as full than are.
		if err := t.expectMatching(expectation{
			what: "room", container: pendingOne, since: since, not: codes{reasonNoMachine},
			holds: func(answer pendingReasons) bool {
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
