// Command cases runs the cases of the second review. Each case starts schedulers and a controller of this repository as
// processes, with the settings of deploy/scheduler.yaml and deploy/controller.yaml on loopback addresses, next to
// emulated machines and a machine list (internal/testbed/emulator). Proxies between schedulers and machines record the
// messages and can cut the path.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"glenport/internal/config"
	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// lab is a small deployment: schedulers, a controller, machines and their list.
type lab struct {
	rec        *recorder
	dir        string
	program    string
	machines   []*emulator.Machine
	proxies    map[string]*proxy // to machines
	doors      map[string]*proxy // to the listeners of schedulers, for the controller
	list       *emulator.MachineList
	schedulers []*process.Scheduler
	controller *process.Controller

	controllerProcess *os.Process
	controllerExited  chan struct{}

	closed     sync.Once
	stopSample chan struct{}
	sampled    sync.WaitGroup

	mu      sync.Mutex
	running map[string][]instance // by service: all containers that ran
}

// instance is one container on one machine, for the time in which it was seen to run.
type instance struct {
	machine, id, key string
	cores            float64
	from, to         time.Time
	over             bool
}

// machineTypeCounts are the machines of each type in each zone.
var machineTypeCounts = map[string]int{"small": 2, "large": 2}

func newLab(rec *recorder, root string) (*lab, error) {
	dir, err := os.MkdirTemp("", "glenport-case-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		rec: rec, dir: dir, program: filepath.Join(root, "bin", "glenport"),
		proxies: map[string]*proxy{}, doors: map[string]*proxy{}, stopSample: make(chan struct{}), running: map[string][]instance{},
	}
	atExit(l.close)
	settings, err := config.LoadScheduler(filepath.Join(root, "deploy", "scheduler.yaml"))
	if err != nil {
		return l, err
	}
	if err := l.startMachines(settings); err != nil {
		return l, err
	}
	if err := l.startSchedulers(settings); err != nil {
		return l, err
	}
	return l, l.startController()
}

func (l *lab) startMachines(settings *config.Scheduler) error {
	policy := settings.Policy
	tick := func(t any) time.Duration { return time.Duration(toInt(t)) * process.Tick }
	base := emulator.MachineSpec{
		AcceptCores: policy.CoresOvercommit, AcceptMemory: policy.MemoryOvercommit,
		AdmissionTime: 20 * time.Millisecond, MaxQueuedOffers: 20, ConcurrentStarts: 2,
		StartTime: startTime, ImageMissFactor: 8, CachedImages: 6,
		SlowStartPeriod: tick(policy.SlowStartPeriod), SlowStartWindow: tick(policy.SlowStartWindow),
		SlowStartInitialPace: 0.3, SlowStartCapacity: 60,
		AcceptMeansRunning: policy.AcceptMeansRunning, UsageReports: policy.UsageReports,
	}
	for _, class := range policy.WorkloadClasses {
		base.RequiredMachineType = append(base.RequiredMachineType, class.MachineType)
		base.EvictionRank = append(base.EvictionRank, int(class.PriorityWeight*100))
	}
	for zone, zoneName := range []string{"hall-a", "hall-b", "hall-c"} {
		group := &emulator.DedupGroup{}
		for index, typeName := range settings.MachineTypes {
			for i := range machineTypeCounts[typeName] {
				spec := base
				spec.Name = fmt.Sprintf("%s-%s-%d", zoneName, typeName, i)
				spec.Zone, spec.ZoneIndex, spec.MachineTypeIndex = zoneName, zone, index
				spec.RackGroupIndex = zone
				spec.Cores, spec.Memory = policy.MachineTypes[index].Cores, policy.MachineTypes[index].Memory
				m := emulator.NewMachine(spec, group, uint64(len(l.machines)+1))
				l.machines = append(l.machines, m)
				if err := m.Start(emulator.StartWarm); err != nil {
					return err
				}
				p, err := newProxy(l.rec, spec.Name, m.Addr(), true)
				if err != nil {
					return err
				}
				l.proxies[spec.Name] = p
			}
		}
	}
	l.list = &emulator.MachineList{
		Lag: 1500 * time.Millisecond, FailureDetection: 8 * time.Second, PollInterval: 500 * time.Millisecond,
		Address: func(m *emulator.Machine) string { return l.proxies[m.Name].addr },
	}
	return nil
}

// startTime is the time that a machine needs to start a container whose program it holds; without it, 8 times as long.
const startTime = 200 * time.Millisecond

func toInt(v any) int64 {
	var n int64
	_, _ = fmt.Sscan(fmt.Sprint(v), &n)
	return n
}

func (l *lab) startSchedulers(template *config.Scheduler) error {
	listAddr, err := l.list.Open(l.machines)
	if err != nil {
		return err
	}
	for i := range 3 {
		name := fmt.Sprintf("north-%d", i+1)
		file := filepath.Join(l.dir, name+".yaml")
		p, err := process.NewScheduler(name, file, filepath.Join(l.dir, name+".log"), []string{l.program, "scheduler"})
		if err != nil {
			return err
		}
		l.schedulers = append(l.schedulers, p)
		settings := *template
		settings.Name, settings.Policy.SchedulerIndex, settings.Policy.Seed = name, i, uint64(time.Now().UnixNano()%1e9)
		settings.ListenAddr, settings.MachineListAddr = p.Address, listAddr
		settings.StateDir, settings.MetricsAddr = filepath.Join(l.dir, name), ""
		settings.BGP = nil // the peers of the sample are not on loopback addresses
		if err := process.WriteSchedulerSettings(file, &settings); err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	l.list.SetStaleness(0)
	l.sampled.Go(l.sample)
	return nil
}

func (l *lab) startController() error {
	var addresses []string
	for _, s := range l.schedulers {
		p, err := newProxy(l.rec, s.Name, s.Address, false)
		if err != nil {
			return err
		}
		l.doors[s.Name] = p
		addresses = append(addresses, p.addr)
	}
	var err error
	l.controller, err = process.NewController(process.ControllerSpec{
		Dir: l.dir, Program: l.program, SchedulerFile: l.schedulers[0].File, SchedulerAddrs: addresses,
		StateDir: filepath.Join(l.dir, "keeper"),
	})
	if err != nil {
		return err
	}
	if err := l.launchController(); err != nil {
		return err
	}
	time.Sleep(2500 * time.Millisecond) // the schedulers get the machine list, which is 1.5 s late
	return l.await("the controller answers", 20*time.Second, func() bool {
		var all page
		return l.controller.Get("/v1/jobs", &all) == nil
	})
}

// launchController starts the controller from an OS thread that outlives it: the kernel kills it if the script dies.
func (l *lab) launchController() error {
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		log, err := os.OpenFile(filepath.Join(l.dir, "controller.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			started <- err
			return
		}
		defer log.Close()
		command := exec.Command(l.program, "controller", "-c", filepath.Join(l.dir, "controller.yaml"))
		command.Stderr = log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			started <- err
			return
		}
		exited := make(chan struct{})
		l.controllerProcess, l.controllerExited = command.Process, exited
		started <- nil
		_ = command.Wait() // returns an error if the process was killed
		close(exited)
	}()
	return <-started
}

func (l *lab) killController() {
	if l.controllerProcess != nil {
		_ = l.controllerProcess.Kill()
		<-l.controllerExited
	}
}

// sample records every 50 ms which containers run on each machine.
func (l *lab) sample() {
	for {
		select {
		case <-l.stopSample:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, m := range l.machines {
			specs := m.RunningContainers()
			now := time.Now()
			l.mu.Lock()
			l.merge(m.Name, specs, now)
			l.mu.Unlock()
		}
	}
}

func (l *lab) merge(machine string, specs []protocol.ContainerSpec, now time.Time) {
	present := map[string]bool{}
	for _, s := range specs {
		present[s.ContainerID] = true
		all := l.running[s.Service]
		known := false
		for i := range all {
			if all[i].machine == machine && all[i].id == s.ContainerID && !all[i].over {
				all[i].to, known = now, true
			}
		}
		if !known {
			l.running[s.Service] = append(all, instance{machine, s.ContainerID, s.IdempotencyKey, s.Cores, now, now, false})
			l.rec.note("machine %s runs container %s (key %s) of service %s", machine, s.ContainerID, s.IdempotencyKey, s.Service)
		}
	}
	for service, all := range l.running {
		for i := range all {
			if all[i].machine == machine && !all[i].over && !present[all[i].id] {
				all[i].over = true
				l.rec.note("machine %s no longer runs container %s of service %s, after %.1f s",
					machine, all[i].id, service, all[i].to.Sub(all[i].from).Seconds())
			}
		}
	}
}

// instances returns the containers of a service that ran so far, in the order of their starts.
func (l *lab) instances(service string) []instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append([]instance(nil), l.running[service]...)
	sort.Slice(all, func(i, j int) bool { return all[i].from.Before(all[j].from) })
	return all
}

// live returns the containers of a service that run now.
func (l *lab) live(service string) (live []instance) {
	for _, i := range l.instances(service) {
		if !i.over {
			live = append(live, i)
		}
	}
	return live
}

func (l *lab) close() { l.closed.Do(l.end) }

func (l *lab) end() {
	close(l.stopSample)
	l.sampled.Wait()
	l.killController()
	for _, s := range l.schedulers {
		s.Close(syscall.SIGKILL)
	}
	if l.list != nil && len(l.schedulers) > 0 {
		l.list.Close()
	}
	for _, p := range l.proxies {
		p.close()
	}
	for _, p := range l.doors {
		p.close()
	}
	for _, m := range l.machines {
		m.Close()
	}
	l.appendLogs()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// appendLogs adds the logs of the processes to the record.
func (l *lab) appendLogs() {
	logs, _ := filepath.Glob(filepath.Join(l.dir, "*.log"))
	for _, name := range logs {
		data, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		text := strings.ReplaceAll(string(data), l.dir, "TEMP")
		if len(text) > 8000 {
			text = text[:8000] + "\n..."
		}
		fmt.Fprintf(l.rec.file, "\n--- %s\n%s", filepath.Base(name), text)
	}
}

var errTimeout = errors.New("not in time")

func (l *lab) await(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errTimeout, what)
}

// page is a list of the API.
type page struct{ Items []container }

type container struct {
	ID      string `json:"id"`
	Job     string `json:"job"`
	State   string `json:"state"`
	Machine string `json:"machine"`
	Placer  string `json:"placer"`
	Leaving bool   `json:"leaving"`
	Last    string `json:"last"`
	Starts  int    `json:"starts"`
}

// containers returns the containers of a job as the API shows them; ok is false if it does not answer.
func (l *lab) containers(job string) (items []container, ok bool) {
	var all page
	if l.controller.Get("/v1/containers?limit=1000&field=job="+job, &all) != nil {
		return nil, false
	}
	return all.Items, true
}

// change sends a change of a job to the API and records it.
func (l *lab) change(method, path string, job any) error {
	text, err := json.Marshal(job)
	if err != nil {
		return err
	}
	var body any
	if job != nil {
		body = job
	}
	status, version, err := l.controller.ChangeJob(method, path, "", body)
	l.rec.note("API: %s %s %s -> status %d, version %d, error %v", method, path, text, status, version, err)
	if err != nil {
		return err
	}
	if status >= 300 {
		return fmt.Errorf("%s %s: status %d", method, path, status)
	}
	return nil
}

func (l *lab) show(job string) {
	items, ok := l.containers(job)
	if !ok {
		l.rec.note("API: no answer about job %s", job)
		return
	}
	if len(items) == 0 {
		l.rec.note("API: job %s has no container", job)
	}
	for _, c := range items {
		l.rec.note("API: container %s is %s on %q, by %q, starts %d, leaving %v, last %q",
			c.ID, c.State, c.Machine, c.Placer, c.Starts, c.Leaving, c.Last)
	}
}

// scheduler returns the scheduler with a name.
func (l *lab) scheduler(name string) *process.Scheduler {
	for _, s := range l.schedulers {
		if s.Name == name {
			return s
		}
	}
	return nil
}
