// Package scenario brings up a cluster of stand-ins on loopback with real placers, plays a day's troubles on it and
// has the record judged.
package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"glenport/internal/config"
	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"

	"github.com/goccy/go-yaml"
)

// Cluster is a running one.
type Cluster struct {
	Dir        string
	Machines   []*emulator.Machine
	List       *emulator.List
	Net        *faultproxy.Net
	Clients    *emulator.Owners
	Schedulers []*SchedulerProcess
	Config     *config.Placer // of the first placer
	ListAddr   string         // the list's own, without a tap
	recording  *faultproxy.Writer
}

// SchedulerProcess is a placer's process.
type SchedulerProcess struct {
	Name    string
	Zone    int
	Address string // its own; owners go through a tap
	file    string
	command []string
	log     *os.File
	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// Start brings the process up and waits until its door answers.
func (p *SchedulerProcess) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		return nil
	}
	started := make(chan error, 1)
	p.exited = make(chan struct{})
	ended := p.exited
	go func() { // the thread that starts a process must outlive it: its death is the process's
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		c := exec.Command(p.command[0], append(p.command[1:], "-c", p.file)...)
		c.Stderr = p.log
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := c.Start(); err != nil {
			started <- err
			return
		}
		p.process = c.Process
		started <- nil
		c.Wait()
		close(ended)
	}()
	if err := <-started; err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.Address); err == nil {
			return c.Close()
		}
		select {
		case <-ended:
			return fmt.Errorf("placer %s ended at once; its log is %s", p.Name, p.log.Name())
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("placer %s does not open its door", p.Name)
		}
	}
}

// Stop ends the process by a signal and waits for its end.
func (p *SchedulerProcess) Stop(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return
	}
	p.process.Signal(s)
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
		p.process.Kill()
		<-p.exited
	}
	p.process = nil
}

// Running tells whether the process runs.
func (p *SchedulerProcess) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process != nil
}

// Status asks the placer for its account.
func (p *SchedulerProcess) Status() (map[string]float64, error) {
	c, err := net.DialTimeout("tcp", p.Address, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	hello, _ := protocol.Append(nil, protocol.NewHello(protocol.RoleScheduler, "laboratory", 1))
	ask, _ := protocol.Append(hello, &protocol.StatusRequest{})
	c.Write(ask)
	for {
		f, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return nil, err
		}
		if s, ok := f.(*protocol.StatusReply); ok {
			out := map[string]float64{}
			for _, g := range s.Stats {
				out[g.Name] = g.Value
			}
			return out, nil
		}
	}
}

// freePort finds a port of the system's choice. It is closed again before the placer opens it, which leaves a
// moment for another program to take it: the start then fails, with a word.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// writeSchedulerConfig writes one placer's file after a template.
func writeSchedulerConfig(template []byte, path string, extra, set map[string]any) (*config.Placer, error) {
	var all map[string]any
	if err := yaml.Unmarshal(template, &all); err != nil {
		return nil, err
	}
	for k, v := range extra {
		all[k] = v
	}
	for k, v := range set {
		if m, ok := v.(map[string]any); ok {
			old, _ := all[k].(map[string]any)
			for kk, vv := range m {
				if old != nil {
					old[kk] = vv
				}
			}
			continue
		}
		all[k] = v
	}
	data, err := yaml.Marshal(all)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return nil, err
	}
	return config.Load(path)
}

// StartCluster brings a day's cluster up, in a folder of its own.
func StartCluster(d *Scenario, dir string, program []string) (c *Cluster, err error) {
	c = &Cluster{Dir: dir}
	begun := c
	defer func() {
		if err != nil {
			begun.Close()
		}
	}()
	template, err := os.ReadFile(d.Template)
	if err != nil {
		return nil, err
	}
	if c.Config, err = config.Parse(d.Template, template); err != nil {
		return nil, err
	}
	terms := c.Config.Terms
	terms.SchedulerCount = d.Schedulers
	if c.recording, err = faultproxy.Create(filepath.Join(dir, "record"), faultproxy.Header{Terms: terms,
		DrainGrace: d.DrainGrace, Slack: d.Slack}); err != nil {
		return nil, err
	}
	c.Net = faultproxy.NewNet(c.recording, d.Seed)
	groups := make([]*emulator.Group, len(d.Zones))
	for i := range groups {
		groups[i] = &emulator.Group{}
	}
	taps := map[*emulator.Machine]string{}
	for i, s := range d.machineShapes(c.Config) {
		m := emulator.NewMachine(s, groups[s.ZoneN], d.Seed+uint64(i))
		c.Machines = append(c.Machines, m)
		if err := m.Up(true); err != nil {
			return nil, err
		}
		if taps[m], err = c.Net.Tap(protocol.RoleMachine, m.Name, func() string { return m.Addr() }); err != nil {
			return nil, err
		}
	}
	c.List = &emulator.List{Lag: d.List.Lag, Notice: d.List.DeathNotice, Period: d.List.Period, CallsPS: d.List.CallsPerSecond,
		Address: func(m *emulator.Machine) string { return taps[m] }}
	list, err := c.List.Open(c.Machines)
	if err != nil {
		return nil, err
	}
	c.ListAddr = list
	listTap, err := c.Net.Tap(protocol.RoleMachineList, "list", func() string { return list })
	if err != nil {
		return nil, err
	}
	c.Clients = &emulator.Owners{Works: d.Workloads, Customers: len(c.Config.Customers)}
	for i := range d.Schedulers {
		p := &SchedulerProcess{Name: fmt.Sprint("placer-", i), Zone: i % len(d.Zones), command: program}
		if p.Address, err = freePort(); err != nil {
			return nil, err
		}
		p.file = filepath.Join(dir, p.Name+".yaml")
		if p.log, err = os.Create(filepath.Join(dir, p.Name+".log")); err != nil {
			return nil, err
		}
		if _, err = writeSchedulerConfig(template, p.file, d.ExtraConfig, map[string]any{"name": p.Name, "number": i, "placers": d.Schedulers,
			"seed": int(d.Seed) + i, "door": p.Address, "state": filepath.Join(dir, p.Name+".state"),
			"list": map[string]any{"address": listTap}}); err != nil {
			return nil, err
		}
		door, err := c.Net.Tap(protocol.RoleClient, p.Name, func() string { return p.Address })
		if err != nil {
			return nil, err
		}
		c.Clients.Doors = append(c.Clients.Doors, door)
		c.Schedulers = append(c.Schedulers, p)
		if err = c.StartScheduler(p); err != nil {
			return nil, err
		}
	}
	return c, c.waitReady(d)
}

// waitReady waits until every placer knows every machine that is up.
func (c *Cluster) waitReady(d *Scenario) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, p := range c.Schedulers {
			if s, err := p.Status(); err == nil && int(s["machines known"]) == len(c.Machines) && s["list version"] > 0 {
				n++
			}
		}
		if n == len(c.Schedulers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d placers know their %d machines after 20 s", n, len(c.Schedulers), len(c.Machines))
		}
	}
}

// StartScheduler starts a placer; Kill ends it by SIGKILL. Both are noted in the record.
func (c *Cluster) StartScheduler(p *SchedulerProcess) error {
	c.recording.Note(faultproxy.Started, p.Name)
	return p.Start()
}

func (c *Cluster) KillScheduler(p *SchedulerProcess) {
	p.Stop(syscall.SIGKILL)
	c.Net.Quiet(p.Name) // or the next life would be taken for the sender of what this one sent last
	c.recording.Note(faultproxy.Killed, p.Name)
}

// Close ends all that was started and finishes the record.
func (c *Cluster) Close() error {
	for _, p := range c.Schedulers {
		p.Stop(syscall.SIGTERM)
		if p.log != nil {
			p.log.Close()
		}
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
	if c.recording != nil {
		r := c.recording
		c.recording = nil
		return r.Close()
	}
	return nil
}
