// Package cluster starts clusters on loopback: emulated machines, list and clients, real scheduler processes, and the
// proxies between them that record what passes and inject faults.
package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"glenport/internal/config"
	"glenport/internal/protocol"
	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testbed/process"
)

// readyTimeout bounds the time until all schedulers know all machines.
const readyTimeout = 20 * time.Second

// Cluster is a running cluster: emulated machines, list and clients, real schedulers, and proxies between them that
// record and inject faults.
type Cluster struct {
	Dir        string
	Machines   []*emulator.Machine
	List       *emulator.MachineList
	Net        *faultproxy.Proxy
	Clients    *emulator.Clients
	Schedulers []*process.Scheduler
	Config     *config.Scheduler // the template that the schedulers' settings derive from
	ListAddr   string            // the list's own, without a proxy
	recording  *faultproxy.Writer
}

// Start starts a cluster with its files in dir, and returns when all schedulers know all machines.
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
	template, err := os.ReadFile(s.Template)
	if err != nil {
		return nil, err
	}
	if c.Config, err = config.ParseScheduler(s.Template, template); err != nil {
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
		if err := c.addScheduler(s, i, template, listProxy, program); err != nil {
			return nil, err
		}
	}
	return c, c.waitReady()
}

func (c *Cluster) startRecording(s Spec) (err error) {
	terms := c.Config.Policy
	terms.SchedulerCount = s.Schedulers
	header := faultproxy.Header{Config: terms, DrainGrace: s.DrainGrace, Slack: s.Slack}
	if c.recording, err = faultproxy.Create(c.recordingPath(), header); err != nil {
		return err
	}
	c.Net = faultproxy.New(c.recording, s.Seed)
	return nil
}

func (c *Cluster) recordingPath() string { return filepath.Join(c.Dir, "record") }

// startMachines starts the machines and returns the address of the proxy before each.
func (c *Cluster) startMachines(s Spec) (map[*emulator.Machine]string, error) {
	groups := make([]*emulator.DedupGroup, len(s.Zones))
	for i := range groups {
		groups[i] = &emulator.DedupGroup{}
	}
	proxies := map[*emulator.Machine]string{}
	for i, shape := range s.machineShapes(c.Config) {
		m := emulator.NewMachine(shape, groups[shape.ZoneIndex], s.Seed+uint64(i))
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

// startList starts the machine list, which knows machines by their proxies, and returns the address of its own proxy.
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

// addScheduler writes a scheduler's settings, starts it and opens the proxy by which clients reach it.
func (c *Cluster) addScheduler(s Spec, index int, template []byte, listProxy string, program []string) error {
	name := fmt.Sprint("placer-", index)
	path := filepath.Join(c.Dir, name)
	p, err := process.NewScheduler(name, path+".yaml", path+".log", program)
	if err != nil {
		return err
	}
	p.Zone = index % len(s.Zones)
	c.Schedulers = append(c.Schedulers, p)
	if err := process.WriteSchedulerConfig(template, p.File, s.ExtraConfig, map[string]any{
		"name":    name,
		"number":  index,
		"placers": s.Schedulers,
		"seed":    int(s.Seed) + index,
		"door":    p.Address,
		"state":   path + ".state",
		"list":    map[string]any{"address": listProxy},
	}); err != nil {
		return err
	}
	proxy, err := c.Net.Listen(protocol.RoleClient, name, func() string { return p.Address })
	if err != nil {
		return err
	}
	c.Clients.SchedulerAddrs = append(c.Clients.SchedulerAddrs, proxy)
	return c.StartScheduler(p)
}

// waitReady waits until every scheduler knows every machine.
func (c *Cluster) waitReady() error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, stats := range c.StatusByScheduler() {
			if int(stats["machines known"]) == len(c.Machines) && stats["list version"] > 0 {
				ready++
			}
		}
		if ready == len(c.Schedulers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf(
				"%d of %d placers know their %d machines after 20 s",
				ready,
				len(c.Schedulers),
				len(c.Machines),
			)
		}
	}
}

// StartScheduler starts a scheduler and notes it in the recording.
func (c *Cluster) StartScheduler(p *process.Scheduler) error {
	c.recording.RecordLifecycle(faultproxy.Started, p.Name)
	return p.Start()
}

// KillScheduler ends a scheduler by SIGKILL and notes it in the recording, once what it sent last has passed the
// proxies: it would otherwise be recorded as sent by the next incarnation.
func (c *Cluster) KillScheduler(p *process.Scheduler) {
	p.Stop(syscall.SIGKILL)
	c.Net.WaitRecorded(p.Name)
	c.recording.RecordLifecycle(faultproxy.Killed, p.Name)
}

// StatusByScheduler returns the stats of each scheduler that answers, by its name.
func (c *Cluster) StatusByScheduler() map[string]map[string]float64 {
	status := map[string]map[string]float64{}
	for _, p := range c.Schedulers {
		if stats, err := p.Status(); err == nil {
			status[p.Name] = stats
		}
	}
	return status
}

// WaitForReplies waits until no client waits for a reply, for a time at most.
func (c *Cluster) WaitForReplies(atMost time.Duration) {
	for end := time.Now().Add(atMost); c.Clients.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
}

// CountOverloaded counts the machines that failed under load while in slow start.
func (c *Cluster) CountOverloaded() int {
	n := 0
	for _, m := range c.Machines {
		if s, ok := m.Status(); ok && s.Overwhelmed {
			n++
		}
	}
	return n
}

// Machine returns the machine of a name.
func (c *Cluster) Machine(name string) (*emulator.Machine, error) {
	for _, m := range c.Machines {
		if m.Name == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("the cluster has no machine %q", name)
}

// CountRunning counts the containers that run, by the machines' own state.
func (c *Cluster) CountRunning() int {
	n := 0
	for _, m := range c.Machines {
		if s, ok := m.Status(); ok {
			n += s.Running
		}
	}
	return n
}

// FreezeAll stops all machines from answering, or lets them answer again.
func (c *Cluster) FreezeAll(frozen bool) {
	for _, m := range c.Machines {
		m.SetFrozen(frozen)
	}
}

// CloseAndAudit closes the cluster and audits its recording.
func (c *Cluster) CloseAndAudit() (*audit.Report, error) {
	path := c.recordingPath()
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("the record is not whole: %w", err)
	}
	return audit.CheckRecording(path)
}

// Close ends all that was started and finishes the recording. It may be called again.
func (c *Cluster) Close() error {
	for _, p := range c.Schedulers {
		p.Close(syscall.SIGTERM)
	}
	if c.List != nil {
		c.List.Close()
	}
	if c.Net != nil {
		c.Net.Close()
	}
	for _, m := range c.Machines {
		m.Close()
	}
	c.List, c.Net, c.Machines, c.Schedulers = nil, nil, nil, nil
	if c.recording == nil {
		return nil
	}
	recording := c.recording
	c.recording = nil
	return recording.Close()
}

// Shutdown closes the cluster after a failure, or once Close has been called and its error reported.
func (c *Cluster) Shutdown() { _ = c.Close() }

// StartController starts a controller before the cluster's schedulers and waits until it knows all machines.
func (c *Cluster) StartController(program string, addresses []string, state string) (*process.Controller, error) {
	k, err := process.NewController(c.Dir, program, c.ListAddr, c.Schedulers, addresses, state)
	if err != nil {
		return nil, err
	}
	if err := k.Start(len(c.Machines)); err != nil {
		k.Terminate()
		return nil, err
	}
	return k, nil
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

// MachineNames returns the set of the names of some machines.
func MachineNames(machines []*emulator.Machine) map[string]bool {
	names := map[string]bool{}
	for _, m := range machines {
		names[m.Name] = true
	}
	return names
}
