package cluster

import (
	"fmt"

	"glenport/internal/testbed/emulator"
)

// StatusByScheduler returns the stats of each scheduler that answers, by scheduler name.
func (c *Cluster) StatusByScheduler() map[string]map[string]float64 {
	status := map[string]map[string]float64{}
	for _, p := range c.Schedulers {
		if stats, err := p.Status(); err == nil {
			status[p.Name] = stats
		}
	}
	return status
}

// CountOverloaded counts the machines that crashed from too many offers during slow start.
func (c *Cluster) CountOverloaded() int {
	n := 0
	for _, m := range c.Machines {
		if s, ok := m.Status(); ok && s.Overwhelmed {
			n++
		}
	}
	return n
}

// Machine returns the machine with a name.
func (c *Cluster) Machine(name string) (*emulator.Machine, error) {
	for _, m := range c.Machines {
		if m.Name == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("the cluster has no machine %q", name)
}

// CountRunning counts the running containers on all machines that answer.
func (c *Cluster) CountRunning() int {
	n := 0
	for _, m := range c.Machines {
		if s, ok := m.Status(); ok {
			n += s.Running
		}
	}
	return n
}

// ZoneMachines returns the machines of a zone.
func (c *Cluster) ZoneMachines(zone int) (machines []*emulator.Machine) {
	for _, m := range c.Machines {
		if m.ZoneIndex == zone {
			machines = append(machines, m)
		}
	}
	return machines
}

// MachineNames returns the names of machines as a set.
func MachineNames(machines []*emulator.Machine) map[string]bool {
	names := map[string]bool{}
	for _, m := range machines {
		names[m.Name] = true
	}
	return names
}
