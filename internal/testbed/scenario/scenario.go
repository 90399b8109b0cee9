package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"glenport/internal/config"
	"glenport/internal/config/strictyaml"
	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// Scenario is a cluster, its load and its troubles.
type Scenario struct {
	Name          string
	Seed          uint64
	Length        time.Duration
	Settle        time.Duration // after the last submission
	Schedulers    int
	Template      string // a placer's file
	Rate          float64
	Zones         []string
	MachineCounts []machineCount
	Machine       emulator.Shape
	List          listTiming
	Workloads     []emulator.Work
	DrainGrace    scheduler.Time
	Slack         scheduler.Time
	Faults        []Fault
	ExtraConfig   map[string]any // sections that every placer's file gets
}

type machineCount struct {
	machineType string
	perZone     int
}

type listTiming struct {
	Lag, DeathNotice, Period time.Duration
	CallsPerSecond           int
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Fraction float64 // of the machines, or what the kind says
	Size     float64
	Zone     int
}

type scenarioFile struct {
	Name       strictyaml.Word       `yaml:"name"`
	Seed       strictyaml.Count      `yaml:"seed"`
	Length     strictyaml.Span       `yaml:"length"`
	Settle     strictyaml.Span       `yaml:"settle"`
	Placers    strictyaml.Count      `yaml:"placers"`
	Template   strictyaml.Word       `yaml:"placer_file"`
	Rate       strictyaml.Number     `yaml:"submissions_a_second"`
	DrainGrace strictyaml.Span       `yaml:"drain_grace"`
	Slack      strictyaml.Span       `yaml:"slack"`
	Halls      []strictyaml.Word     `yaml:"halls"`
	Machines   []machineGroupSection `yaml:"machines"`
	Machine    machineSection        `yaml:"machine"`
	List       listSection           `yaml:"list"`
	Work       []workSection         `yaml:"work"`
	Troubles   []faultSection        `yaml:"troubles"`
}

type machineGroupSection struct {
	Kind strictyaml.Word  `yaml:"kind"`
	Each strictyaml.Count `yaml:"in_each_hall"`
}

type machineSection struct {
	Admit    strictyaml.Span   `yaml:"look_at_an_offer"`
	Queue    strictyaml.Count  `yaml:"offers_may_wait"`
	Starts   strictyaml.Count  `yaml:"starts_at_once"`
	Start    strictyaml.Span   `yaml:"start"`
	Setup    strictyaml.Number `yaml:"first_start_times"`
	Kept     strictyaml.Count  `yaml:"programs_kept"`
	ColdFrom strictyaml.Number `yaml:"cold_pace"`
	Bears    strictyaml.Count  `yaml:"cold_bears"`
	Drift    strictyaml.Number `yaml:"use_drifts"`
}

type listSection struct {
	Lag    strictyaml.Span  `yaml:"behind"`
	Notice strictyaml.Span  `yaml:"notices_death_after"`
	Period strictyaml.Span  `yaml:"looks_every"`
	Calls  strictyaml.Count `yaml:"calls_a_second"`
}

type workSection struct {
	Workload  strictyaml.Word     `yaml:"workload"`
	Share     strictyaml.Number   `yaml:"share"`
	Services  strictyaml.Count    `yaml:"services"`
	Cores     []strictyaml.Number `yaml:"cores"`
	Memory    []strictyaml.Memory `yaml:"memory"`
	Life      strictyaml.Span     `yaml:"life"`
	Again     strictyaml.Flag     `yaml:"asked_again"`
	AgainLost strictyaml.Flag     `yaml:"asked_again_when_unheard" settings:"may"`
}

type faultSection struct {
	Kind strictyaml.Word   `yaml:"kind"`
	At   strictyaml.Span   `yaml:"at"`
	For  strictyaml.Span   `yaml:"for"`
	Part strictyaml.Number `yaml:"part" settings:"may"`
	Size strictyaml.Number `yaml:"size" settings:"may"`
	Hall strictyaml.Word   `yaml:"hall" settings:"may"`
}

func duration(s strictyaml.Span) time.Duration {
	return time.Duration(s.Tenths) * 100 * time.Microsecond
}

// Load reads a day's file.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f scenarioFile
	src, err := strictyaml.Read(path, data, &f)
	if err != nil {
		return nil, err
	}
	needed := []struct {
		path string
		of   any
	}{{"", f}, {"machine", f.Machine}, {"list", f.List}}
	for i := range f.Machines {
		needed = append(needed, struct {
			path string
			of   any
		}{fmt.Sprintf("machines[%d]", i), f.Machines[i]})
	}
	for i := range f.Work {
		needed = append(needed, struct {
			path string
			of   any
		}{fmt.Sprintf("work[%d]", i), f.Work[i]})
	}
	for i := range f.Troubles {
		needed = append(needed, struct {
			path string
			of   any
		}{fmt.Sprintf("troubles[%d]", i), f.Troubles[i]})
	}
	for _, n := range needed {
		if err := strictyaml.Needed(src, n.path, n.of); err != nil {
			return nil, err
		}
	}
	m := &f.Machine
	d := &Scenario{Name: f.Name.Text, Seed: uint64(f.Seed.Value), Length: duration(f.Length), Settle: duration(f.Settle),
		Schedulers: f.Placers.Value, Template: filepath.Join(filepath.Dir(path), f.Template.Text), Rate: f.Rate.Value,
		DrainGrace: scheduler.Time(f.DrainGrace.Tenths), Slack: scheduler.Time(f.Slack.Tenths),
		Machine: emulator.Shape{Admit: duration(m.Admit), Queue: m.Queue.Value, Starts: m.Starts.Value, Start: duration(m.Start),
			Setup: m.Setup.Value, Kept: m.Kept.Value, ColdFrom: m.ColdFrom.Value, ColdBears: m.Bears.Value, Drift: m.Drift.Value},
		List: listTiming{duration(f.List.Lag), duration(f.List.Notice), duration(f.List.Period), f.List.Calls.Value}}
	for _, h := range f.Halls {
		d.Zones = append(d.Zones, h.Text)
	}
	if len(d.Zones) == 0 || d.Schedulers == 0 || len(f.Machines) == 0 || len(f.Work) == 0 {
		return nil, src.At(f.Name.Place, "a day needs halls, placers, machines and work")
	}
	for _, k := range f.Machines {
		d.MachineCounts = append(d.MachineCounts, machineCount{k.Kind.Text, k.Each.Value})
	}
	s, err := config.Load(d.Template)
	if err != nil {
		return nil, err
	}
	d.Workloads = make([]emulator.Work, len(s.Workloads))
	for _, w := range f.Work {
		n, err := strictyaml.Choose(src, w.Workload, s.Workloads...)
		if err != nil {
			return nil, err
		}
		if len(w.Cores) == 0 || len(w.Cores) != len(w.Memory) || w.Services.Value == 0 {
			return nil, src.At(w.Workload.Place, "work needs services, and as many memories as cores")
		}
		x := emulator.Work{Share: w.Share.Value, Services: w.Services.Value, Life: duration(w.Life), Again: w.Again.Value,
			AgainLost: w.AgainLost.Value, HardStop: time.Duration(s.Terms.WorkloadClasses[n].PlacementTimeout) * 100 * time.Microsecond}
		for i := range w.Cores {
			x.Cores, x.Memory = append(x.Cores, w.Cores[i].Value), append(x.Memory, w.Memory[i].GiB)
		}
		d.Workloads[n] = x
	}
	for _, t := range f.Troubles {
		if troubles[t.Kind.Text] == nil {
			return nil, src.At(t.Kind.Place, "%q is no trouble; there are %v", t.Kind.Text, faultKinds())
		}
		x := Fault{Kind: t.Kind.Text, At: duration(t.At), Duration: duration(t.For), Fraction: t.Part.Value, Size: t.Size.Value}
		if t.Hall.Set() {
			if x.Zone, err = strictyaml.Choose(src, t.Hall, d.Zones...); err != nil {
				return nil, err
			}
		}
		d.Faults = append(d.Faults, x)
	}
	return d, nil
}

// machineShapes are the day's machines, hall by hall.
func (d *Scenario) machineShapes(s *config.Placer) []emulator.Shape {
	var all []emulator.Shape
	byName := map[string]int{}
	for i, k := range s.Kinds {
		byName[k] = i
	}
	var needs, rank []int
	for _, w := range s.Terms.WorkloadClasses {
		needs = append(needs, w.MachineType)
		rank = append(rank, int(w.PriorityWeight*100))
	}
	for z, hall := range d.Zones {
		for _, c := range d.MachineCounts {
			for i := range c.perZone {
				m := d.Machine
				n := byName[c.machineType]
				k := s.Terms.MachineTypes[n]
				m.Name, m.Zone, m.ZoneN, m.KindN = fmt.Sprintf("%s-%s-%d", hall, c.machineType, i), hall, z, n
				m.CellN = z*1000 + i/4
				m.Cores, m.Memory, m.AcceptCores, m.AcceptMemory = k.Cores, k.Memory, s.Terms.CoresOvercommit, s.Terms.MemoryOvercommit
				m.ColdFor = time.Duration(s.Terms.SlowStartPeriod) * 100 * time.Microsecond
				m.ColdWindow = time.Duration(s.Terms.SlowStartWindow) * 100 * time.Microsecond
				m.YesRuns, m.TellUse, m.NeedsKind, m.Rank = s.Terms.AcceptMeansRunning, s.Terms.UsageReports, needs, rank
				all = append(all, m)
			}
		}
	}
	return all
}

// faultInjector plays troubles on a cluster.
type faultInjector struct {
	*Cluster
	scenario *Scenario
	rng      *rand.Rand

	mu           sync.Mutex
	networkRules map[int]func(placer string, far protocol.Role, name string) faultproxy.Fault
	lastRule     int
	logf         func(format string, a ...any)
}

// addNetworkRule puts a rule of network faults in force and returns what ends it.
func (p *faultInjector) addNetworkRule(f func(placer string, far protocol.Role, name string) faultproxy.Fault) (end func()) {
	p.mu.Lock()
	p.lastRule++
	n := p.lastRule
	p.networkRules[n] = f
	p.mu.Unlock()
	p.applyNetworkRules()
	return func() {
		p.mu.Lock()
		delete(p.networkRules, n)
		p.mu.Unlock()
		p.applyNetworkRules()
	}
}

func (p *faultInjector) applyNetworkRules() {
	p.mu.Lock()
	var all []func(string, protocol.Role, string) faultproxy.Fault
	for _, f := range p.networkRules {
		all = append(all, f)
	}
	p.mu.Unlock()
	p.Net.Set(func(placer string, far protocol.Role, name string) (sum faultproxy.Fault) {
		for _, f := range all {
			x := f(placer, far, name)
			sum.Cut = sum.Cut || x.Cut
			sum.LoseAnswers = max(sum.LoseAnswers, x.LoseAnswers)
			sum.Delay = max(sum.Delay, x.Delay)
		}
		return sum
	})
}

// pickMachines picks a part of the machines, one at least.
func (p *faultInjector) pickMachines(part float64) []*emulator.Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := max(1, int(part*float64(len(p.Machines))+0.5))
	var out []*emulator.Machine
	for _, i := range p.rng.Perm(len(p.Machines))[:min(n, len(p.Machines))] {
		out = append(out, p.Machines[i])
	}
	return out
}

func (p *faultInjector) zoneMachines(n int) (out []*emulator.Machine) {
	for _, m := range p.Machines {
		if m.ZoneN == n {
			out = append(out, m)
		}
	}
	return out
}

func machineNames(ms []*emulator.Machine) map[string]bool {
	names := map[string]bool{}
	for _, m := range ms {
		names[m.Name] = true
	}
	return names
}

// troubles play one each; they return when the trouble is over. wait sleeps unless the day is over.
var troubles = map[string]func(p *faultInjector, t Fault, wait func(time.Duration)){
	"crash": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		p.restart(p.pickMachines(t.Fraction), t.Duration, wait)
	},
	"hall restarts cold": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		p.restart(p.zoneMachines(t.Zone), t.Duration, wait)
	},
	"silence": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		for _, m := range ms {
			m.Freeze(true)
		}
		wait(t.Duration)
		for _, m := range ms {
			m.Freeze(false)
		}
	},
	"silence, then cold": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		for _, m := range ms {
			m.Freeze(true)
		}
		wait(t.Duration)
		p.restart(ms, 0, wait)
	},
	"half-open links": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		names := machineNames(p.pickMachines(t.Fraction))
		end := p.addNetworkRule(func(_ string, far protocol.Role, name string) faultproxy.Fault {
			return faultproxy.Fault{Cut: far == protocol.RoleMachine && names[name]}
		})
		wait(t.Duration)
		end()
	},
	"hall cut off": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		names := machineNames(p.zoneMachines(t.Zone))
		here := map[string]bool{}
		for _, x := range p.Schedulers {
			here[x.Name] = x.Zone == t.Zone
		}
		end := p.addNetworkRule(func(placer string, far protocol.Role, name string) faultproxy.Fault {
			return faultproxy.Fault{Cut: far == protocol.RoleMachine && names[name] != here[placer]}
		})
		wait(t.Duration)
		end()
	},
	"resets": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		for end := t.Duration; end > 0; end -= time.Second {
			names := machineNames(p.pickMachines(t.Fraction))
			p.Net.Reset(func(_ string, far protocol.Role, name string) bool { return far == protocol.RoleMachine && names[name] })
			wait(min(end, time.Second))
		}
	},
	"slow": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		for _, m := range ms {
			m.Slow(t.Size)
		}
		wait(t.Duration)
		for _, m := range ms {
			m.Slow(1)
		}
	},
	"drain": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		for _, m := range ms {
			p.List.Mark(m, protocol.MachineDraining)
			m.Drain(true, t.Size > 0)
		}
		wait(t.Duration)
		for _, m := range ms {
			p.List.Mark(m, protocol.MachineServing)
			m.Drain(false, false)
		}
	},
	"rolling deploy": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		step := max(1, int(t.Size*float64(len(p.Machines))+0.5))
		steps := (len(ms) + step - 1) / step
		for len(ms) > 0 {
			now := ms[:min(step, len(ms))]
			ms = ms[len(now):]
			for _, m := range now {
				p.List.Mark(m, protocol.MachineDraining)
				m.Drain(true, true)
			}
			wait(t.Duration / time.Duration(2*steps))
			for _, m := range now {
				p.List.Mark(m, protocol.MachineServing)
			}
			p.restart(now, t.Duration/time.Duration(2*steps), wait)
		}
	},
	"list away": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		p.List.Away(true)
		wait(t.Duration)
		p.List.Away(false)
	},
	"list stale": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		p.List.Stale(time.Duration(t.Size * float64(time.Second)))
		wait(t.Duration)
		p.List.Stale(0)
	},
	"placers killed": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		n := max(1, int(t.Fraction*float64(len(p.Schedulers))+0.5))
		p.mu.Lock()
		order := p.rng.Perm(len(p.Schedulers))[:min(n, len(p.Schedulers))]
		p.mu.Unlock()
		for _, i := range order {
			p.KillScheduler(p.Schedulers[i])
		}
		wait(t.Duration)
		for _, i := range order {
			if err := p.StartScheduler(p.Schedulers[i]); err != nil {
				p.logf("placer %s did not come back: %v", p.Schedulers[i].Name, err)
			}
		}
	},
	"burst": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		p.Clients.Rate(p.scenario.Rate * t.Size)
		wait(t.Duration)
		p.Clients.Rate(p.scenario.Rate)
	},
	"asked again": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		p.Clients.Reask(t.Fraction)
		wait(t.Duration)
	},
	"answers lost": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		end := p.addNetworkRule(func(_ string, far protocol.Role, _ string) faultproxy.Fault {
			if far == protocol.RoleMachine {
				return faultproxy.Fault{LoseAnswers: t.Size}
			}
			return faultproxy.Fault{}
		})
		wait(t.Duration)
		end()
	},
	"late network": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		end := p.addNetworkRule(func(string, protocol.Role, string) faultproxy.Fault {
			return faultproxy.Fault{Delay: time.Duration(t.Size * float64(time.Millisecond))}
		})
		wait(t.Duration)
		end()
	},
	"workload unanswered": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		for _, m := range ms {
			m.Shun(int(t.Size), true)
		}
		wait(t.Duration)
		for _, m := range ms {
			m.Shun(int(t.Size), false)
		}
	},
	"customer turned away": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		for _, m := range ms {
			m.Throttle(int(t.Size), true)
		}
		wait(t.Duration)
		for _, m := range ms {
			m.Throttle(int(t.Size), false)
		}
	},
	"memory swells": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		ms := p.pickMachines(t.Fraction)
		for _, m := range ms {
			m.Swell(t.Size)
		}
		wait(t.Duration)
		for _, m := range ms {
			m.Swell(1)
		}
	},
	"fleet grows": func(p *faultInjector, t Fault, wait func(time.Duration)) {
		p.restart(p.pickMachines(t.Fraction), t.Duration, wait)
	},
}

func faultKinds() []string {
	var all []string
	for k := range troubles {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}

// restart takes machines down and up again, cold.
func (p *faultInjector) restart(ms []*emulator.Machine, down time.Duration, wait func(time.Duration)) {
	for _, m := range ms {
		m.Crash()
	}
	wait(down)
	for _, m := range ms {
		if err := m.Up(false); err != nil {
			p.logf("machine %s did not come back: %v", m.Name, err)
		}
	}
}
