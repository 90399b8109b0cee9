package cluster

import (
	"os"

	"glenport/internal/config"
	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
)

// Start starts a cluster with its files in dir and waits until all schedulers know all machines.
func Start(s Spec, dir string, program []string) (_ *Cluster, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	c := &Cluster{Dir: dir}
	defer func() {
		if err != nil {
			c.Shutdown()
		}
	}()
	if c.Config, err = config.LoadScheduler(s.Template); err != nil {
		return nil, err
	}
	if err := c.startRecording(s); err != nil {
		return nil, err
	}
	proxies, err := c.startMachines(s)
	if err != nil {
		return nil, err
	}
	listProxy, err := c.startList(s.List, proxies)
	if err != nil {
		return nil, err
	}
	c.Clients = &emulator.Clients{Workloads: s.Workloads, Tenants: len(c.Config.Tenants)}
	for i := range s.Schedulers {
		if err := c.addScheduler(s, i, listProxy, program); err != nil {
			return nil, err
		}
	}
	return c, c.waitReady()
}

func (c *Cluster) startRecording(s Spec) (err error) {
	policy := c.Config.Policy
	policy.SchedulerCount = s.Schedulers
	header := faultproxy.Header{Config: policy, DrainGrace: s.DrainGrace, Slack: s.Slack}
	if c.recording, err = faultproxy.Create(c.recordingPath(), header); err != nil {
		return err
	}
	c.Net = faultproxy.New(c.recording, s.Seed)
	return nil
}

// startMachines starts the machines and returns the proxy address of each.
func (c *Cluster) startMachines(s Spec) (map[*emulator.Machine]string, error) {
	groups := make([]*emulator.DedupGroup, len(s.Zones))
	for i := range groups {
		groups[i] = &emulator.DedupGroup{}
	}
	proxies := map[*emulator.Machine]string{}
	for i, spec := range s.machineSpecs(c.Config) {
		m := emulator.NewMachine(spec, groups[spec.ZoneIndex], s.Seed+uint64(i))
		c.Machines = append(c.Machines, m)
		if err := m.Start(true); err != nil {
			return nil, err
		}
		proxy, err := c.Net.Listen(protocol.RoleMachine, m.Name, m.Addr)
		if err != nil {
			return nil, err
		}
		proxies[m] = proxy
	}
	return proxies, nil
}

// startList starts the machine list, which lists the proxy addresses of machines, and returns its own proxy address.
func (c *Cluster) startList(timing ListTiming, proxies map[*emulator.Machine]string) (proxy string, err error) {
	c.List = &emulator.MachineList{
		Lag:              timing.Lag,
		FailureDetection: timing.FailureDetection,
		PollInterval:     timing.PollInterval,
		CallsPerSecond:   timing.CallsPerSecond,
		Address:          func(m *emulator.Machine) string { return proxies[m] },
	}
	if c.ListAddr, err = c.List.Open(c.Machines); err != nil {
		return "", err
	}
	address := c.ListAddr
	return c.Net.Listen(protocol.RoleMachineList, "list", func() string { return address })
}
