// Package config reads what a placer is told when it starts: its place among the others, the machines it bids
// to, the workloads, and the bounds it keeps. It turns that into the placer module's terms.
package config

import (
	"fmt"
	"net/netip"
	"os"

	"glenport/internal/config/strictyaml"
	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/admission"
	"glenport/scheduler"
)

// Scheduler is a placer's file, checked.
type Scheduler struct {
	Name      string
	ListenAddr      string
	MachineListAddr  string
	StateDir     string // the folder of what is kept over restarts; nothing is where empty
	LegacyListFile      string // an earlier version's file of the last list, read once
	MetricsAddr   string // where to be scraped; nowhere where empty
	Policy     scheduler.Config
	Limits    admission.Limits
	MaxOutput    int // bytes that may wait on one link
	ConnectTimeout   eventloop.Tick
	IdleTimeout      eventloop.Tick
	SilenceTimeout    eventloop.Tick
	MachineTypes     []string // their names, in the order of the terms
	WorkloadClasses []string
	Tenants []string
	AdaptiveLimit    bool        // the door narrows when starts become slow
	BGP       *BGP // nil where no address is announced
}

type schedulerFile struct {
	Name      strictyaml.String   `yaml:"name"`
	Index    strictyaml.Count  `yaml:"number"`
	Schedulers   strictyaml.Count  `yaml:"placers"`
	Seed      strictyaml.Count  `yaml:"seed" settings:"may"`
	ListenAddr      strictyaml.String   `yaml:"door"`
	StateDir     strictyaml.String   `yaml:"state" settings:"may"`
	LegacyListFile      strictyaml.String   `yaml:"keep" settings:"may"`
	MetricsAddr   strictyaml.String   `yaml:"metrics" settings:"may"`
	MachineList      machineListSection              `yaml:"list"`
	Connections     connectionsSection             `yaml:"links"`
	Limits    limitsSection            `yaml:"bounds"`
	Machines  machinesSection          `yaml:"machines"`
	Attempts      attemptsSection              `yaml:"bids"`
	WorkloadClasses []workloadClassEntry        `yaml:"workloads"`
	Tenants []tenantEntry        `yaml:"customers"`
	OverQuotaWeight strictyaml.Float `yaml:"over_share" settings:"may"`
	BGP       *bgpSection          `yaml:"bgp"`
}

type machineListSection struct {
	Address   strictyaml.String `yaml:"address"`
	ResyncInterval strictyaml.Duration `yaml:"ask_within"`
}

type connectionsSection struct {
	ConnectTimeout strictyaml.Duration   `yaml:"connect_within"`
	IdleTimeout    strictyaml.Duration   `yaml:"close_idle_after"`
	SilenceTimeout  strictyaml.Duration   `yaml:"broken_when_silent_for"`
	MaxOutput  strictyaml.Memory `yaml:"most_waiting_output"`
}

type limitsSection struct {
	Clients       strictyaml.Count `yaml:"owners"`
	OpenRequests         strictyaml.Count `yaml:"open_containers"`
	OpenRequestsPerClient strictyaml.Count `yaml:"open_containers_of_one_owner"`
	AdaptiveLimit       strictyaml.Bool  `yaml:"narrow_when_slow" settings:"may"`
}

type machinesSection struct {
	MachineTypes      []machineTypeEntry           `yaml:"kinds"`
	Overcommit     overcommitSection        `yaml:"accept"`
	MeanContainer       meanContainerSection             `yaml:"mean_container"`
	AcceptMeans        strictyaml.String  `yaml:"say_yes_when"`
	UsageReports   strictyaml.Bool  `yaml:"tell_use"`
	ListTracksRequests strictyaml.Bool  `yaml:"list_tells_room"`
	ProbesAllowed     strictyaml.Bool  `yaml:"may_be_probed"`
	SlowStartPeriod    strictyaml.Duration  `yaml:"cold_for"`
	SlowStartWindow strictyaml.Duration  `yaml:"cold_window"`
	SlowStartBudget   strictyaml.Count `yaml:"cold_bids"`
}

type machineTypeEntry struct {
	Name   strictyaml.String   `yaml:"name"`
	Cores  strictyaml.Float `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

type overcommitSection struct {
	Cores  strictyaml.Float `yaml:"cores"`
	Memory strictyaml.Float `yaml:"memory"`
}

type meanContainerSection struct {
	Cores  strictyaml.Float `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

type attemptsSection struct {
	MaxAttempts  strictyaml.Count `yaml:"most"`
	AnswerGrace strictyaml.Duration  `yaml:"answer_grace"`
}

type workloadClassEntry struct {
	Name     strictyaml.String   `yaml:"name"`
	Idempotency   strictyaml.String   `yaml:"effect"`
	DedupScope  strictyaml.String   `yaml:"repeats_dropped_in" settings:"may"`
	DedupWindow   strictyaml.Duration   `yaml:"repeats_dropped_for" settings:"may"`
	LatencyObjective   strictyaml.Duration   `yaml:"agreed_time"`
	PlacementTimeout strictyaml.Duration   `yaml:"hard_stop"`
	MachineType     strictyaml.String   `yaml:"kind" settings:"may"`
	SpreadScope   strictyaml.String   `yaml:"spread_over" settings:"may"`
	MaxPerScope     strictyaml.Count  `yaml:"most_in_one" settings:"may"`
	PriorityWeight     strictyaml.Float `yaml:"gain"`
}

type tenantEntry struct {
	Name  strictyaml.String   `yaml:"name"`
	Cores strictyaml.Float `yaml:"cores"`
}

// LoadScheduler reads and checks a placer's file.
func LoadScheduler(path string) (*Scheduler, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScheduler(path, data)
}

// ParseScheduler checks the text of a placer's file; the first fault is returned.
func ParseScheduler(name string, data []byte) (*Scheduler, error) {
	var f schedulerFile
	src, err := strictyaml.Read(name, data, &f)
	if err != nil {
		return nil, err
	}
	c := &validator{file: src}
	p := c.scheduler(&f)
	if c.err != nil {
		return nil, c.err
	}
	return p, nil
}

// validator keeps the first fault met.
type validator struct {
	file   *strictyaml.File
	err error
}

func (c *validator) record(err error) {
	if c.err == nil {
		c.err = err
	}
}

func (c *validator) fail(at strictyaml.Position, format string, a ...any) {
	c.record(c.file.ErrorAt(at, format, a...))
}

func (c *validator) required(path string, mapping any) { c.record(strictyaml.CheckRequired(c.file, path, mapping)) }

func (c *validator) address(w strictyaml.String) string {
	if _, err := netip.ParseAddrPort(w.Value); err != nil && w.IsSet() {
		c.fail(w.Position, "%q is no address such as 127.0.0.1:7400", w.Value)
	}
	return w.Value
}

func (c *validator) positive(n strictyaml.Float) float64 {
	if n.Value <= 0 {
		c.fail(n.Position, "%g is not above 0", n.Value)
	}
	return n.Value
}

func (c *validator) positiveCount(n strictyaml.Count) int {
	if n.Value == 0 {
		c.fail(n.Position, "0 would let nothing pass")
	}
	return n.Value
}

func (c *validator) duration(s strictyaml.Duration) scheduler.Time { return scheduler.Time(s.Ticks) }

func (c *validator) positiveDuration(s strictyaml.Duration) scheduler.Time {
	if s.Ticks == 0 {
		c.fail(s.Position, "a span above 0 is wanted")
	}
	return scheduler.Time(s.Ticks)
}

func (c *validator) scheduler(f *schedulerFile) *Scheduler {
	c.required("", *f)
	for _, m := range []struct {
		path string
		of   any
	}{{"list", f.MachineList}, {"links", f.Connections}, {"bounds", f.Limits}, {"machines", f.Machines},
		{"machines.accept", f.Machines.Overcommit}, {"machines.mean_container", f.Machines.MeanContainer}, {"bids", f.Attempts}} {
		c.required(m.path, m.of)
	}
	if c.err != nil {
		return nil
	}
	if f.Index.Value >= f.Schedulers.Value {
		c.fail(f.Index.Position, "number %d is not below placers, %d", f.Index.Value, f.Schedulers.Value)
	}
	m := &f.Machines
	p := &Scheduler{Name: f.Name.Value, ListenAddr: c.address(f.ListenAddr), MachineListAddr: c.address(f.MachineList.Address), StateDir: f.StateDir.Value, LegacyListFile: f.LegacyListFile.Value,
		Limits: admission.Limits{Clients: c.positiveCount(f.Limits.Clients), OpenRequests: c.positiveCount(f.Limits.OpenRequests),
			OpenRequestsPerClient: c.positiveCount(f.Limits.OpenRequestsPerClient)},
		AdaptiveLimit: f.Limits.AdaptiveLimit.Value, MaxOutput: int(f.Connections.MaxOutput.GiB * (1 << 30)),
		ConnectTimeout: eventloop.Tick(c.positiveDuration(f.Connections.ConnectTimeout)), IdleTimeout: eventloop.Tick(c.positiveDuration(f.Connections.IdleTimeout)),
		SilenceTimeout: eventloop.Tick(c.positiveDuration(f.Connections.SilenceTimeout)),
		Policy: scheduler.Config{Seed: uint64(f.Seed.Value), SchedulerIndex: f.Index.Value, SchedulerCount: f.Schedulers.Value,
			OverQuotaWeight: f.OverQuotaWeight.Value, CoresOvercommit: c.positive(m.Overcommit.Cores), MemoryOvercommit: c.positive(m.Overcommit.Memory),
			MeanCores: c.positive(m.MeanContainer.Cores), MeanMemory: m.MeanContainer.Memory.GiB, UsageReports: m.UsageReports.Value,
			ListTracksRequests: m.ListTracksRequests.Value, ProbesAllowed: m.ProbesAllowed.Value, MaxAttempts: c.positiveCount(f.Attempts.MaxAttempts),
			AnswerGrace: c.duration(f.Attempts.AnswerGrace), ListOnRequest: true, ResyncInterval: c.positiveDuration(f.MachineList.ResyncInterval),
			SlowStartPeriod: c.duration(m.SlowStartPeriod), SlowStartWindow: c.duration(m.SlowStartWindow), SlowStartBudget: m.SlowStartBudget.Value}}
	if t := &p.Policy; t.SlowStartBudget > 0 && 16*p.ConnectTimeout > eventloop.Tick(t.SlowStartWindow) {
		c.fail(f.Connections.ConnectTimeout.Position, "a bid may wait for its link no longer than a sixteenth of cold_window, %g ms",
			float64(t.SlowStartWindow)/16/float64(scheduler.Millisecond))
	}
	if p.MaxOutput < 64<<10 {
		c.fail(f.Connections.MaxOutput.Position, "%d bytes are too few for a frame: 64KiB at least", p.MaxOutput)
	}
	if p.Policy.MeanMemory <= 0 {
		c.fail(m.MeanContainer.Memory.Position, "a container of mean size needs memory above 0")
	}
	yes, err := strictyaml.OneOf(c.file, m.AcceptMeans, "accepted", "running")
	c.record(err)
	p.Policy.AcceptMeansRunning = yes == 1
	kinds := c.machineTypes(m.MachineTypes, p)
	for i := range f.WorkloadClasses {
		c.workload(fmt.Sprintf("workloads[%d]", i), &f.WorkloadClasses[i], kinds, p)
	}
	if len(f.WorkloadClasses) == 0 {
		c.record(c.file.MissingKey("", "workloads"))
	}
	for i, k := range f.Tenants {
		c.required(fmt.Sprintf("customers[%d]", i), k)
		p.Policy.Tenants = append(p.Policy.Tenants, scheduler.Tenant{QuotaCores: c.positive(k.Cores)})
		p.Tenants = append(p.Tenants, k.Name.Value)
	}
	if f.LegacyListFile.IsSet() && !f.StateDir.IsSet() {
		c.fail(f.LegacyListFile.Position, "keep is only read once, when state names a folder: name one")
	}
	if f.MetricsAddr.IsSet() {
		p.MetricsAddr = c.address(f.MetricsAddr)
	}
	if f.BGP != nil {
		p.BGP = c.bgp(f.BGP)
	}
	if f.OverQuotaWeight.Value < 0 || f.OverQuotaWeight.Value > 1 {
		c.fail(f.OverQuotaWeight.Position, "%g is no part from 0 to 1", f.OverQuotaWeight.Value)
	}
	return p
}

func (c *validator) machineTypes(all []machineTypeEntry, p *Scheduler) map[string]int {
	byName := map[string]int{}
	for i, k := range all {
		c.required(fmt.Sprintf("machines.kinds[%d]", i), k)
		if _, twice := byName[k.Name.Value]; twice {
			c.fail(k.Name.Position, "kind %q stands twice", k.Name.Value)
		}
		byName[k.Name.Value] = i
		p.MachineTypes = append(p.MachineTypes, k.Name.Value)
		if k.Memory.GiB <= 0 {
			c.fail(k.Memory.Position, "a machine needs memory above 0")
		}
		p.Policy.MachineTypes = append(p.Policy.MachineTypes, scheduler.MachineType{Cores: c.positive(k.Cores), Memory: k.Memory.GiB})
	}
	if len(all) == 0 {
		c.record(c.file.MissingKey("machines", "kinds"))
	}
	return byName
}

func (c *validator) workload(path string, f *workloadClassEntry, kinds map[string]int, p *Scheduler) {
	c.required(path, *f)
	if c.err != nil {
		return
	}
	w := scheduler.WorkloadClass{LatencyObjective: c.positiveDuration(f.LatencyObjective), PlacementTimeout: c.positiveDuration(f.PlacementTimeout), MachineType: -1, PriorityWeight: c.positive(f.PriorityWeight)}
	if w.LatencyObjective > w.PlacementTimeout {
		c.fail(f.LatencyObjective.Position, "the agreed time is after the hard stop")
	}
	effect, err := strictyaml.OneOf(c.file, f.Idempotency, "reissuable", "numbered", "at-most-once")
	c.record(err)
	w.Idempotency = scheduler.Idempotency(effect)
	if w.Idempotency == scheduler.IdempotentWithKey {
		if !f.DedupScope.IsSet() {
			c.record(c.file.MissingKey(path, "repeats_dropped_in"))
		}
		if !f.DedupWindow.IsSet() {
			c.record(c.file.MissingKey(path, "repeats_dropped_for"))
		}
		n, err := strictyaml.OneOf(c.file, f.DedupScope, "cell", "zone", "everywhere")
		c.record(err)
		w.DedupScope, w.DedupWindow = []scheduler.Scope{scheduler.ScopeRackGroup, scheduler.ScopeZone, scheduler.ScopeFleet}[n], c.duration(f.DedupWindow)
	} else if f.DedupScope.IsSet() || f.DedupWindow.IsSet() {
		c.fail(firstSet(f.DedupScope.Position, f.DedupWindow.Position), "only numbered work has its repeats dropped")
	}
	if f.MachineType.IsSet() {
		n, ok := kinds[f.MachineType.Value]
		if !ok {
			c.fail(f.MachineType.Position, "there is no kind %q", f.MachineType.Value)
		}
		w.MachineType = n
	}
	if f.SpreadScope.IsSet() {
		n, err := strictyaml.OneOf(c.file, f.SpreadScope, "machine", "cell", "zone")
		c.record(err)
		w.SpreadScope = []scheduler.Scope{scheduler.ScopeMachine, scheduler.ScopeRackGroup, scheduler.ScopeZone}[n]
		if !f.MaxPerScope.IsSet() {
			c.record(c.file.MissingKey(path, "most_in_one"))
		}
		w.MaxPerScope = c.positiveCount(f.MaxPerScope)
	} else if f.MaxPerScope.IsSet() {
		c.fail(f.MaxPerScope.Position, "most_in_one needs spread_over")
	}
	for _, name := range p.WorkloadClasses {
		if name == f.Name.Value {
			c.fail(f.Name.Position, "workload %q stands twice", name)
		}
	}
	p.WorkloadClasses = append(p.WorkloadClasses, f.Name.Value)
	p.Policy.WorkloadClasses = append(p.Policy.WorkloadClasses, w)
}

// firstSet is the first of two places that is set.
func firstSet(a, b strictyaml.Position) strictyaml.Position {
	if a.IsSet() {
		return a
	}
	return b
}
