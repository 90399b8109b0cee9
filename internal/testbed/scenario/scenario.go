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

// Day is a cluster, its load and its troubles.
type Day struct {
	Name       string
	Seed       uint64
	Length     time.Duration
	Settle     time.Duration // after the last submission
	Placers    int
	Template   string // a placer's file
	Rate       float64
	Halls      []string
	Counts     []kindCount
	Machine    emulator.MachineSpec
	List       listShape
	Works      []emulator.WorkloadProfile
	DrainGrace scheduler.Time
	Slack      scheduler.Time
	Troubles   []Trouble
	Extra      map[string]any // sections that every placer's file gets
}

type kindCount struct {
	kind string
	each int
}

type listShape struct {
	Lag, Notice, Period time.Duration
	Calls               int
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	Kind string
	At   time.Duration
	For  time.Duration
	Part float64 // of the machines, or what the kind says
	Size float64
	Hall int
}

type dayFile struct {
	Name       strictyaml.String   `yaml:"name"`
	Seed       strictyaml.Count    `yaml:"seed"`
	Length     strictyaml.Duration `yaml:"length"`
	Settle     strictyaml.Duration `yaml:"settle"`
	Placers    strictyaml.Count    `yaml:"placers"`
	Template   strictyaml.String   `yaml:"placer_file"`
	Rate       strictyaml.Float    `yaml:"submissions_a_second"`
	DrainGrace strictyaml.Duration `yaml:"drain_grace"`
	Slack      strictyaml.Duration `yaml:"slack"`
	Halls      []strictyaml.String `yaml:"halls"`
	Machines   []dayMachines       `yaml:"machines"`
	Machine    dayMachine          `yaml:"machine"`
	List       dayList             `yaml:"list"`
	Work       []dayWork           `yaml:"work"`
	Troubles   []dayTrouble        `yaml:"troubles"`
}

type dayMachines struct {
	Kind strictyaml.String `yaml:"kind"`
	Each strictyaml.Count  `yaml:"in_each_hall"`
}

type dayMachine struct {
	Admit    strictyaml.Duration `yaml:"look_at_an_offer"`
	Queue    strictyaml.Count    `yaml:"offers_may_wait"`
	Starts   strictyaml.Count    `yaml:"starts_at_once"`
	Start    strictyaml.Duration `yaml:"start"`
	Setup    strictyaml.Float    `yaml:"first_start_times"`
	Kept     strictyaml.Count    `yaml:"programs_kept"`
	ColdFrom strictyaml.Float    `yaml:"cold_pace"`
	Bears    strictyaml.Count    `yaml:"cold_bears"`
	Drift    strictyaml.Float    `yaml:"use_drifts"`
}

type dayList struct {
	Lag    strictyaml.Duration `yaml:"behind"`
	Notice strictyaml.Duration `yaml:"notices_death_after"`
	Period strictyaml.Duration `yaml:"looks_every"`
	Calls  strictyaml.Count    `yaml:"calls_a_second"`
}

type dayWork struct {
	Workload  strictyaml.String   `yaml:"workload"`
	Share     strictyaml.Float    `yaml:"share"`
	Services  strictyaml.Count    `yaml:"services"`
	Cores     []strictyaml.Float  `yaml:"cores"`
	Memory    []strictyaml.Memory `yaml:"memory"`
	Life      strictyaml.Duration `yaml:"life"`
	Again     strictyaml.Bool     `yaml:"asked_again"`
	AgainLost strictyaml.Bool     `yaml:"asked_again_when_unheard" settings:"optional"`
}

type dayTrouble struct {
	Kind strictyaml.String   `yaml:"kind"`
	At   strictyaml.Duration `yaml:"at"`
	For  strictyaml.Duration `yaml:"for"`
	Part strictyaml.Float    `yaml:"part" settings:"optional"`
	Size strictyaml.Float    `yaml:"size" settings:"optional"`
	Hall strictyaml.String   `yaml:"hall" settings:"optional"`
}

func span(s strictyaml.Duration) time.Duration {
	return time.Duration(s.Ticks) * 100 * time.Microsecond
}

// LoadDay reads a day's file.
func LoadDay(path string) (*Day, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f dayFile
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
		if err := strictyaml.CheckRequired(src, n.path, n.of); err != nil {
			return nil, err
		}
	}
	m := &f.Machine
	d := &Day{Name: f.Name.Value, Seed: uint64(f.Seed.Value), Length: span(f.Length), Settle: span(f.Settle),
		Placers: f.Placers.Value, Template: filepath.Join(filepath.Dir(path), f.Template.Value), Rate: f.Rate.Value,
		DrainGrace: scheduler.Time(f.DrainGrace.Ticks), Slack: scheduler.Time(f.Slack.Ticks),
		Machine: emulator.MachineSpec{AdmissionTime: span(m.Admit), MaxQueuedOffers: m.Queue.Value, ConcurrentStarts: m.Starts.Value, StartTime: span(m.Start),
			ImageMissFactor: m.Setup.Value, CachedImages: m.Kept.Value, SlowStartInitialPace: m.ColdFrom.Value, SlowStartCapacity: m.Bears.Value, MemoryDrift: m.Drift.Value},
		List: listShape{span(f.List.Lag), span(f.List.Notice), span(f.List.Period), f.List.Calls.Value}}
	for _, h := range f.Halls {
		d.Halls = append(d.Halls, h.Value)
	}
	if len(d.Halls) == 0 || d.Placers == 0 || len(f.Machines) == 0 || len(f.Work) == 0 {
		return nil, src.ErrorAt(f.Name.Position, "a day needs halls, placers, machines and work")
	}
	for _, k := range f.Machines {
		d.Counts = append(d.Counts, kindCount{k.Kind.Value, k.Each.Value})
	}
	s, err := config.LoadScheduler(d.Template)
	if err != nil {
		return nil, err
	}
	d.Works = make([]emulator.WorkloadProfile, len(s.WorkloadClasses))
	for _, w := range f.Work {
		n, err := strictyaml.OneOf(src, w.Workload, s.WorkloadClasses...)
		if err != nil {
			return nil, err
		}
		if len(w.Cores) == 0 || len(w.Cores) != len(w.Memory) || w.Services.Value == 0 {
			return nil, src.ErrorAt(w.Workload.Position, "work needs services, and as many memories as cores")
		}
		x := emulator.WorkloadProfile{Share: w.Share.Value, Services: w.Services.Value, MeanRuntime: span(w.Life), RetryRejected: w.Again.Value,
			RetryUnanswered: w.AgainLost.Value, PlacementTimeout: time.Duration(s.Policy.WorkloadClasses[n].PlacementTimeout) * 100 * time.Microsecond}
		for i := range w.Cores {
			x.Cores, x.Memory = append(x.Cores, w.Cores[i].Value), append(x.Memory, w.Memory[i].GiB)
		}
		d.Works[n] = x
	}
	for _, t := range f.Troubles {
		if troubles[t.Kind.Value] == nil {
			return nil, src.ErrorAt(t.Kind.Position, "%q is no trouble; there are %v", t.Kind.Value, kindsOfTrouble())
		}
		x := Trouble{Kind: t.Kind.Value, At: span(t.At), For: span(t.For), Part: t.Part.Value, Size: t.Size.Value}
		if t.Hall.IsSet() {
			if x.Hall, err = strictyaml.OneOf(src, t.Hall, d.Halls...); err != nil {
				return nil, err
			}
		}
		d.Troubles = append(d.Troubles, x)
	}
	return d, nil
}

// shapes are the day's machines, hall by hall.
func (d *Day) shapes(s *config.Scheduler) []emulator.MachineSpec {
	var all []emulator.MachineSpec
	byName := map[string]int{}
	for i, k := range s.MachineTypes {
		byName[k] = i
	}
	var needs, rank []int
	for _, w := range s.Policy.WorkloadClasses {
		needs = append(needs, w.MachineType)
		rank = append(rank, int(w.PriorityWeight*100))
	}
	for z, hall := range d.Halls {
		for _, c := range d.Counts {
			for i := range c.each {
				m := d.Machine
				n := byName[c.kind]
				k := s.Policy.MachineTypes[n]
				m.Name, m.Zone, m.ZoneIndex, m.MachineTypeIndex = fmt.Sprintf("%s-%s-%d", hall, c.kind, i), hall, z, n
				m.RackGroupIndex = z*1000 + i/4
				m.Cores, m.Memory, m.AcceptCores, m.AcceptMemory = k.Cores, k.Memory, s.Policy.CoresOvercommit, s.Policy.MemoryOvercommit
				m.SlowStartPeriod = time.Duration(s.Policy.SlowStartPeriod) * 100 * time.Microsecond
				m.SlowStartWindow = time.Duration(s.Policy.SlowStartWindow) * 100 * time.Microsecond
				m.AcceptMeansRunning, m.UsageReports, m.RequiredMachineType, m.EvictionRank = s.Policy.AcceptMeansRunning, s.Policy.UsageReports, needs, rank
				all = append(all, m)
			}
		}
	}
	return all
}

// player plays troubles on a cluster.
type player struct {
	*Cluster
	day *Day
	rng *rand.Rand

	mu     sync.Mutex
	faults map[int]func(placer string, far protocol.Role, name string) faultproxy.Fault
	last   int
	note   func(format string, a ...any)
}

// fault puts a rule of network faults in force and returns what ends it.
func (p *player) fault(f func(placer string, far protocol.Role, name string) faultproxy.Fault) (end func()) {
	p.mu.Lock()
	p.last++
	n := p.last
	p.faults[n] = f
	p.mu.Unlock()
	p.apply()
	return func() {
		p.mu.Lock()
		delete(p.faults, n)
		p.mu.Unlock()
		p.apply()
	}
}

func (p *player) apply() {
	p.mu.Lock()
	var all []func(string, protocol.Role, string) faultproxy.Fault
	for _, f := range p.faults {
		all = append(all, f)
	}
	p.mu.Unlock()
	p.Net.SetFaults(func(placer string, far protocol.Role, name string) (sum faultproxy.Fault) {
		for _, f := range all {
			x := f(placer, far, name)
			sum.Partitioned = sum.Partitioned || x.Partitioned
			sum.LoseAccepts = max(sum.LoseAccepts, x.LoseAccepts)
			sum.Delay = max(sum.Delay, x.Delay)
		}
		return sum
	})
}

// some picks a part of the machines, one at least.
func (p *player) some(part float64) []*emulator.Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := max(1, int(part*float64(len(p.Machines))+0.5))
	var out []*emulator.Machine
	for _, i := range p.rng.Perm(len(p.Machines))[:min(n, len(p.Machines))] {
		out = append(out, p.Machines[i])
	}
	return out
}

func (p *player) hall(n int) (out []*emulator.Machine) {
	for _, m := range p.Machines {
		if m.ZoneIndex == n {
			out = append(out, m)
		}
	}
	return out
}

func in(ms []*emulator.Machine) map[string]bool {
	names := map[string]bool{}
	for _, m := range ms {
		names[m.Name] = true
	}
	return names
}

// troubles play one each; they return when the trouble is over. wait sleeps unless the day is over.
var troubles = map[string]func(p *player, t Trouble, wait func(time.Duration)){
	"crash": func(p *player, t Trouble, wait func(time.Duration)) {
		p.restart(p.some(t.Part), t.For, wait)
	},
	"hall restarts cold": func(p *player, t Trouble, wait func(time.Duration)) {
		p.restart(p.hall(t.Hall), t.For, wait)
	},
	"silence": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		for _, m := range ms {
			m.SetFrozen(true)
		}
		wait(t.For)
		for _, m := range ms {
			m.SetFrozen(false)
		}
	},
	"silence, then cold": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		for _, m := range ms {
			m.SetFrozen(true)
		}
		wait(t.For)
		p.restart(ms, 0, wait)
	},
	"half-open links": func(p *player, t Trouble, wait func(time.Duration)) {
		names := in(p.some(t.Part))
		end := p.fault(func(_ string, far protocol.Role, name string) faultproxy.Fault {
			return faultproxy.Fault{Partitioned: far == protocol.RoleMachine && names[name]}
		})
		wait(t.For)
		end()
	},
	"hall cut off": func(p *player, t Trouble, wait func(time.Duration)) {
		names := in(p.hall(t.Hall))
		here := map[string]bool{}
		for _, x := range p.Placers {
			here[x.Name] = x.Hall == t.Hall
		}
		end := p.fault(func(placer string, far protocol.Role, name string) faultproxy.Fault {
			return faultproxy.Fault{Partitioned: far == protocol.RoleMachine && names[name] != here[placer]}
		})
		wait(t.For)
		end()
	},
	"resets": func(p *player, t Trouble, wait func(time.Duration)) {
		for end := t.For; end > 0; end -= time.Second {
			names := in(p.some(t.Part))
			p.Net.Reset(func(_ string, far protocol.Role, name string) bool { return far == protocol.RoleMachine && names[name] })
			wait(min(end, time.Second))
		}
	},
	"slow": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		for _, m := range ms {
			m.SetSlowdown(t.Size)
		}
		wait(t.For)
		for _, m := range ms {
			m.SetSlowdown(1)
		}
	},
	"drain": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		for _, m := range ms {
			p.List.SetState(m, protocol.MachineDraining)
			m.SetDraining(true, t.Size > 0)
		}
		wait(t.For)
		for _, m := range ms {
			p.List.SetState(m, protocol.MachineServing)
			m.SetDraining(false, false)
		}
	},
	"rolling deploy": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		step := max(1, int(t.Size*float64(len(p.Machines))+0.5))
		steps := (len(ms) + step - 1) / step
		for len(ms) > 0 {
			now := ms[:min(step, len(ms))]
			ms = ms[len(now):]
			for _, m := range now {
				p.List.SetState(m, protocol.MachineDraining)
				m.SetDraining(true, true)
			}
			wait(t.For / time.Duration(2*steps))
			for _, m := range now {
				p.List.SetState(m, protocol.MachineServing)
			}
			p.restart(now, t.For/time.Duration(2*steps), wait)
		}
	},
	"list away": func(p *player, t Trouble, wait func(time.Duration)) {
		p.List.SetUnreachable(true)
		wait(t.For)
		p.List.SetUnreachable(false)
	},
	"list stale": func(p *player, t Trouble, wait func(time.Duration)) {
		p.List.SetStaleness(time.Duration(t.Size * float64(time.Second)))
		wait(t.For)
		p.List.SetStaleness(0)
	},
	"placers killed": func(p *player, t Trouble, wait func(time.Duration)) {
		n := max(1, int(t.Part*float64(len(p.Placers))+0.5))
		p.mu.Lock()
		order := p.rng.Perm(len(p.Placers))[:min(n, len(p.Placers))]
		p.mu.Unlock()
		for _, i := range order {
			p.Kill(p.Placers[i])
		}
		wait(t.For)
		for _, i := range order {
			if err := p.Up(p.Placers[i]); err != nil {
				p.note("placer %s did not come back: %v", p.Placers[i].Name, err)
			}
		}
	},
	"burst": func(p *player, t Trouble, wait func(time.Duration)) {
		p.Owners.SetRate(p.day.Rate * t.Size)
		wait(t.For)
		p.Owners.SetRate(p.day.Rate)
	},
	"asked again": func(p *player, t Trouble, wait func(time.Duration)) {
		p.Owners.Redeploy(t.Part)
		wait(t.For)
	},
	"answers lost": func(p *player, t Trouble, wait func(time.Duration)) {
		end := p.fault(func(_ string, far protocol.Role, _ string) faultproxy.Fault {
			if far == protocol.RoleMachine {
				return faultproxy.Fault{LoseAccepts: t.Size}
			}
			return faultproxy.Fault{}
		})
		wait(t.For)
		end()
	},
	"late network": func(p *player, t Trouble, wait func(time.Duration)) {
		end := p.fault(func(string, protocol.Role, string) faultproxy.Fault {
			return faultproxy.Fault{Delay: time.Duration(t.Size * float64(time.Millisecond))}
		})
		wait(t.For)
		end()
	},
	"workload unanswered": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		for _, m := range ms {
			m.SetIgnoredWorkload(int(t.Size), true)
		}
		wait(t.For)
		for _, m := range ms {
			m.SetIgnoredWorkload(int(t.Size), false)
		}
	},
	"customer turned away": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		for _, m := range ms {
			m.SetThrottledTenant(int(t.Size), true)
		}
		wait(t.For)
		for _, m := range ms {
			m.SetThrottledTenant(int(t.Size), false)
		}
	},
	"memory swells": func(p *player, t Trouble, wait func(time.Duration)) {
		ms := p.some(t.Part)
		for _, m := range ms {
			m.SetMemoryFactor(t.Size)
		}
		wait(t.For)
		for _, m := range ms {
			m.SetMemoryFactor(1)
		}
	},
	"fleet grows": func(p *player, t Trouble, wait func(time.Duration)) {
		p.restart(p.some(t.Part), t.For, wait)
	},
}

func kindsOfTrouble() []string {
	var all []string
	for k := range troubles {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}

// restart takes machines down and up again, cold.
func (p *player) restart(ms []*emulator.Machine, down time.Duration, wait func(time.Duration)) {
	for _, m := range ms {
		m.Crash()
	}
	wait(down)
	for _, m := range ms {
		if err := m.Start(false); err != nil {
			p.note("machine %s did not come back: %v", m.Name, err)
		}
	}
}
