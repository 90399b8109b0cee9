package cluster

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/process"
)

// addScheduler writes the settings of a scheduler, opens the proxy between clients and scheduler, and starts it.
func (c *Cluster) addScheduler(s Spec, index int, listProxy string, program []string) error {
	name := fmt.Sprint("scheduler-", index)
	path := filepath.Join(c.Dir, name)
	p, err := process.NewScheduler(name, path+".yaml", path+".log", program)
	if err != nil {
		return err
	}
	p.Zone = index % len(s.Zones)
	c.Schedulers = append(c.Schedulers, p)
	settings := *c.Config
	settings.Name, settings.ListenAddr = name, p.Address
	settings.StateDir, settings.MachineListAddr = path+".state", listProxy
	settings.Policy.SchedulerIndex, settings.Policy.SchedulerCount = index, s.Schedulers
	settings.Policy.Seed = s.Seed + uint64(index)
	if s.BGP != nil {
		settings.BGP = s.BGP
	}
	if err := process.WriteSchedulerSettings(p.File, &settings); err != nil {
		return err
	}
	proxy, err := c.Net.Listen(protocol.RoleClient, name, func() string { return p.Address })
	if err != nil {
		return err
	}
	c.Clients.SchedulerAddrs = append(c.Clients.SchedulerAddrs, proxy)
	return c.StartScheduler(p)
}

// StartScheduler records the start of a scheduler and starts it.
func (c *Cluster) StartScheduler(p *process.Scheduler) error {
	c.recording.RecordStart(p.Name)
	return p.Start()
}

// KillScheduler kills a scheduler with SIGKILL. It records the kill only after the proxies have recorded the last
// frames of the scheduler, which would otherwise be attributed to the next incarnation.
func (c *Cluster) KillScheduler(p *process.Scheduler) {
	killed := time.Now()
	p.Stop(syscall.SIGKILL)
	c.Net.WaitRecorded(p.Name)
	c.recording.RecordKill(p.Name, killed)
}

// StartController starts a controller for the schedulers of the cluster and waits until it knows all machines. The
// controller submits to addresses, or to the listeners of the schedulers if addresses is nil. It persists its jobs in
// stateDir; if stateDir is empty, it does not persist them.
func (c *Cluster) StartController(program string, addresses []string, stateDir string) (*process.Controller, error) {
	if addresses == nil {
		for _, p := range c.Schedulers {
			addresses = append(addresses, p.Address)
		}
	}
	controller, err := process.NewController(process.ControllerSpec{
		Dir:             c.Dir,
		Program:         program,
		SchedulerFile:   c.Schedulers[0].File,
		SchedulerAddrs:  addresses,
		MachineListAddr: c.ListAddr,
		StateDir:        stateDir,
	})
	if err != nil {
		return nil, err
	}
	if err := controller.Start(len(c.Machines)); err != nil {
		controller.Terminate()
		return nil, err
	}
	return controller, nil
}
