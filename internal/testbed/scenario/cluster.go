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
	Dir      string
	Machines []*emulator.Machine
	List     *emulator.MachineList
	Net      *faultproxy.Proxy
	Owners   *emulator.Clients
	Placers  []*Placer
	Site     *config.Scheduler // of the first placer
	ListAddr string            // the list's own, without a tap
	record   *faultproxy.Writer
}

// Placer is a placer's process.
type Placer struct {
	Name  string
	Hall  int
	Door  string // its own; owners go through a tap
	file  string
	run   []string
	log   *os.File
	mu    sync.Mutex
	proc  *os.Process
	ended chan struct{}
}

// Start brings the process up and waits until its door answers.
func (p *Placer) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proc != nil {
		return nil
	}
	started := make(chan error, 1)
	p.ended = make(chan struct{})
	ended := p.ended
	go func() { // the thread that starts a process must outlive it: its death is the process's
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		c := exec.Command(p.run[0], append(p.run[1:], "-c", p.file)...)
		c.Stderr = p.log
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := c.Start(); err != nil {
			started <- err
			return
		}
		p.proc = c.Process
		started <- nil
		c.Wait()
		close(ended)
	}()
	if err := <-started; err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.Door); err == nil {
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
func (p *Placer) Stop(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proc == nil {
		return
	}
	p.proc.Signal(s)
	select {
	case <-p.ended:
	case <-time.After(5 * time.Second):
		p.proc.Kill()
		<-p.ended
	}
	p.proc = nil
}

// Up tells whether the process runs.
func (p *Placer) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proc != nil
}

// Status asks the placer for its account.
func (p *Placer) Status() (map[string]float64, error) {
	c, err := net.DialTimeout("tcp", p.Door, time.Second)
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

// placerFile writes one placer's file after a template.
func placerFile(template []byte, path string, extra, set map[string]any) (*config.Scheduler, error) {
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
	return config.LoadScheduler(path)
}

// Bring brings a day's cluster up, in a folder of its own.
func Bring(d *Day, dir string, program []string) (c *Cluster, err error) {
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
	if c.Site, err = config.ParseScheduler(d.Template, template); err != nil {
		return nil, err
	}
	terms := c.Site.Policy
	terms.SchedulerCount = d.Placers
	if c.record, err = faultproxy.Create(filepath.Join(dir, "record"), faultproxy.Header{Config: terms,
		DrainGrace: d.DrainGrace, Slack: d.Slack}); err != nil {
		return nil, err
	}
	c.Net = faultproxy.New(c.record, d.Seed)
	groups := make([]*emulator.DedupGroup, len(d.Halls))
	for i := range groups {
		groups[i] = &emulator.DedupGroup{}
	}
	taps := map[*emulator.Machine]string{}
	for i, s := range d.shapes(c.Site) {
		m := emulator.NewMachine(s, groups[s.ZoneIndex], d.Seed+uint64(i))
		c.Machines = append(c.Machines, m)
		if err := m.Start(true); err != nil {
			return nil, err
		}
		if taps[m], err = c.Net.Listen(protocol.RoleMachine, m.Name, func() string { return m.Addr() }); err != nil {
			return nil, err
		}
	}
	c.List = &emulator.MachineList{Lag: d.List.Lag, FailureDetection: d.List.Notice, PollInterval: d.List.Period, CallsPerSecond: d.List.Calls,
		Address: func(m *emulator.Machine) string { return taps[m] }}
	list, err := c.List.Open(c.Machines)
	if err != nil {
		return nil, err
	}
	c.ListAddr = list
	listTap, err := c.Net.Listen(protocol.RoleMachineList, "list", func() string { return list })
	if err != nil {
		return nil, err
	}
	c.Owners = &emulator.Clients{Workloads: d.Works, Tenants: len(c.Site.Tenants)}
	for i := range d.Placers {
		p := &Placer{Name: fmt.Sprint("placer-", i), Hall: i % len(d.Halls), run: program}
		if p.Door, err = freePort(); err != nil {
			return nil, err
		}
		p.file = filepath.Join(dir, p.Name+".yaml")
		if p.log, err = os.Create(filepath.Join(dir, p.Name+".log")); err != nil {
			return nil, err
		}
		if _, err = placerFile(template, p.file, d.Extra, map[string]any{"name": p.Name, "number": i, "placers": d.Placers,
			"seed": int(d.Seed) + i, "door": p.Door, "state": filepath.Join(dir, p.Name+".state"),
			"list": map[string]any{"address": listTap}}); err != nil {
			return nil, err
		}
		door, err := c.Net.Listen(protocol.RoleClient, p.Name, func() string { return p.Door })
		if err != nil {
			return nil, err
		}
		c.Owners.SchedulerAddrs = append(c.Owners.SchedulerAddrs, door)
		c.Placers = append(c.Placers, p)
		if err = c.Up(p); err != nil {
			return nil, err
		}
	}
	return c, c.ready(d)
}

// ready waits until every placer knows every machine that is up.
func (c *Cluster) ready(d *Day) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, p := range c.Placers {
			if s, err := p.Status(); err == nil && int(s["machines known"]) == len(c.Machines) && s["list version"] > 0 {
				n++
			}
		}
		if n == len(c.Placers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d placers know their %d machines after 20 s", n, len(c.Placers), len(c.Machines))
		}
	}
}

// Up starts a placer; Kill ends it by SIGKILL. Both are noted in the record.
func (c *Cluster) Up(p *Placer) error {
	c.record.RecordLifecycle(faultproxy.Started, p.Name)
	return p.Start()
}

func (c *Cluster) Kill(p *Placer) {
	p.Stop(syscall.SIGKILL)
	c.Net.WaitRecorded(p.Name) // or the next life would be taken for the sender of what this one sent last
	c.record.RecordLifecycle(faultproxy.Killed, p.Name)
}

// Close ends all that was started and finishes the record.
func (c *Cluster) Close() error {
	for _, p := range c.Placers {
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
	c.List, c.Net, c.Machines, c.Placers = nil, nil, nil, nil
	if c.record != nil {
		r := c.record
		c.record = nil
		return r.Close()
	}
	return nil
}
