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

// Placer is a placer's file, checked.
type Placer struct {
	Name      string
	Door      string
	ListAddr  string
	State     string // the folder of what is kept over restarts; nothing is where empty
	Keep      string // an earlier version's file of the last list, read once
	Metrics   string // where to be scraped; nowhere where empty
	Terms     scheduler.Config
	Bounds    admission.Limits
	Output    int // bytes that may wait on one link
	Connect   eventloop.Tick
	Idle      eventloop.Tick
	Silent    eventloop.Tick
	Kinds     []string // their names, in the order of the terms
	Workloads []string
	Customers []string
	Damped    bool        // the door narrows when starts become slow
	BGP       *Announcing // nil where no address is announced
}

type file struct {
	Name      strictyaml.Word   `yaml:"name"`
	Number    strictyaml.Count  `yaml:"number"`
	Placers   strictyaml.Count  `yaml:"placers"`
	Seed      strictyaml.Count  `yaml:"seed" settings:"may"`
	Door      strictyaml.Word   `yaml:"door"`
	State     strictyaml.Word   `yaml:"state" settings:"may"`
	Keep      strictyaml.Word   `yaml:"keep" settings:"may"`
	Metrics   strictyaml.Word   `yaml:"metrics" settings:"may"`
	List      list              `yaml:"list"`
	Links     links             `yaml:"links"`
	Bounds    bounds            `yaml:"bounds"`
	Machines  machines          `yaml:"machines"`
	Bids      bids              `yaml:"bids"`
	Workloads []workload        `yaml:"workloads"`
	Customers []customer        `yaml:"customers"`
	OverShare strictyaml.Number `yaml:"over_share" settings:"may"`
	BGP       *bgpFile          `yaml:"bgp"`
}

type list struct {
	Address   strictyaml.Word `yaml:"address"`
	AskWithin strictyaml.Span `yaml:"ask_within"`
}

type links struct {
	Connect strictyaml.Span   `yaml:"connect_within"`
	Idle    strictyaml.Span   `yaml:"close_idle_after"`
	Silent  strictyaml.Span   `yaml:"broken_when_silent_for"`
	Output  strictyaml.Memory `yaml:"most_waiting_output"`
}

type bounds struct {
	Owners       strictyaml.Count `yaml:"owners"`
	Open         strictyaml.Count `yaml:"open_containers"`
	OpenPerOwner strictyaml.Count `yaml:"open_containers_of_one_owner"`
	Narrow       strictyaml.Flag  `yaml:"narrow_when_slow" settings:"may"`
}

type machines struct {
	Kinds      []kind           `yaml:"kinds"`
	Accept     multiples        `yaml:"accept"`
	Mean       mean             `yaml:"mean_container"`
	Yes        strictyaml.Word  `yaml:"say_yes_when"`
	UseNotes   strictyaml.Flag  `yaml:"tell_use"`
	ListedAsks strictyaml.Flag  `yaml:"list_tells_room"`
	Probes     strictyaml.Flag  `yaml:"may_be_probed"`
	ColdFor    strictyaml.Span  `yaml:"cold_for"`
	ColdWindow strictyaml.Span  `yaml:"cold_window"`
	ColdBids   strictyaml.Count `yaml:"cold_bids"`
}

type kind struct {
	Name   strictyaml.Word   `yaml:"name"`
	Cores  strictyaml.Number `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

type multiples struct {
	Cores  strictyaml.Number `yaml:"cores"`
	Memory strictyaml.Number `yaml:"memory"`
}

type mean struct {
	Cores  strictyaml.Number `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

type bids struct {
	Most  strictyaml.Count `yaml:"most"`
	Grace strictyaml.Span  `yaml:"answer_grace"`
}

type workload struct {
	Name     strictyaml.Word   `yaml:"name"`
	Effect   strictyaml.Word   `yaml:"effect"`
	Repeats  strictyaml.Word   `yaml:"repeats_dropped_in" settings:"may"`
	Window   strictyaml.Span   `yaml:"repeats_dropped_for" settings:"may"`
	Agreed   strictyaml.Span   `yaml:"agreed_time"`
	HardStop strictyaml.Span   `yaml:"hard_stop"`
	Kind     strictyaml.Word   `yaml:"kind" settings:"may"`
	Spread   strictyaml.Word   `yaml:"spread_over" settings:"may"`
	Most     strictyaml.Count  `yaml:"most_in_one" settings:"may"`
	Gain     strictyaml.Number `yaml:"gain"`
}

type customer struct {
	Name  strictyaml.Word   `yaml:"name"`
	Cores strictyaml.Number `yaml:"cores"`
}

// Load reads and checks a placer's file.
func Load(path string) (*Placer, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse checks the text of a placer's file; the first fault is returned.
func Parse(name string, data []byte) (*Placer, error) {
	var f file
	src, err := strictyaml.Read(name, data, &f)
	if err != nil {
		return nil, err
	}
	c := &check{src: src}
	p := c.placer(&f)
	if c.fault != nil {
		return nil, c.fault
	}
	return p, nil
}

// check keeps the first fault met.
type check struct {
	src   *strictyaml.File
	fault error
}

func (c *check) keep(err error) {
	if c.fault == nil {
		c.fault = err
	}
}

func (c *check) fail(at strictyaml.Place, format string, a ...any) {
	c.keep(c.src.At(at, format, a...))
}

func (c *check) needed(path string, mapping any) { c.keep(strictyaml.Needed(c.src, path, mapping)) }

func (c *check) address(w strictyaml.Word) string {
	if _, err := netip.ParseAddrPort(w.Text); err != nil && w.Set() {
		c.fail(w.Place, "%q is no address such as 127.0.0.1:7400", w.Text)
	}
	return w.Text
}

func (c *check) above0(n strictyaml.Number) float64 {
	if n.Value <= 0 {
		c.fail(n.Place, "%g is not above 0", n.Value)
	}
	return n.Value
}

func (c *check) some(n strictyaml.Count) int {
	if n.Value == 0 {
		c.fail(n.Place, "0 would let nothing pass")
	}
	return n.Value
}

func (c *check) span(s strictyaml.Span) scheduler.Time { return scheduler.Time(s.Tenths) }

func (c *check) lasting(s strictyaml.Span) scheduler.Time {
	if s.Tenths == 0 {
		c.fail(s.Place, "a span above 0 is wanted")
	}
	return scheduler.Time(s.Tenths)
}

func (c *check) placer(f *file) *Placer {
	c.needed("", *f)
	for _, m := range []struct {
		path string
		of   any
	}{{"list", f.List}, {"links", f.Links}, {"bounds", f.Bounds}, {"machines", f.Machines},
		{"machines.accept", f.Machines.Accept}, {"machines.mean_container", f.Machines.Mean}, {"bids", f.Bids}} {
		c.needed(m.path, m.of)
	}
	if c.fault != nil {
		return nil
	}
	if f.Number.Value >= f.Placers.Value {
		c.fail(f.Number.Place, "number %d is not below placers, %d", f.Number.Value, f.Placers.Value)
	}
	m := &f.Machines
	p := &Placer{Name: f.Name.Text, Door: c.address(f.Door), ListAddr: c.address(f.List.Address), State: f.State.Text, Keep: f.Keep.Text,
		Bounds: admission.Limits{Clients: c.some(f.Bounds.Owners), OpenRequests: c.some(f.Bounds.Open),
			OpenRequestsPerClient: c.some(f.Bounds.OpenPerOwner)},
		Damped: f.Bounds.Narrow.Value, Output: int(f.Links.Output.GiB * (1 << 30)),
		Connect: eventloop.Tick(c.lasting(f.Links.Connect)), Idle: eventloop.Tick(c.lasting(f.Links.Idle)),
		Silent: eventloop.Tick(c.lasting(f.Links.Silent)),
		Terms: scheduler.Config{Seed: uint64(f.Seed.Value), SchedulerIndex: f.Number.Value, SchedulerCount: f.Placers.Value,
			OverQuotaWeight: f.OverShare.Value, CoresOvercommit: c.above0(m.Accept.Cores), MemoryOvercommit: c.above0(m.Accept.Memory),
			MeanCores: c.above0(m.Mean.Cores), MeanMemory: m.Mean.Memory.GiB, UsageReports: m.UseNotes.Value,
			ListTracksRequests: m.ListedAsks.Value, ProbesAllowed: m.Probes.Value, MaxAttempts: c.some(f.Bids.Most),
			AnswerGrace: c.span(f.Bids.Grace), ListOnRequest: true, ResyncInterval: c.lasting(f.List.AskWithin),
			SlowStartPeriod: c.span(m.ColdFor), SlowStartWindow: c.span(m.ColdWindow), SlowStartBudget: m.ColdBids.Value}}
	if t := &p.Terms; t.SlowStartBudget > 0 && 16*p.Connect > eventloop.Tick(t.SlowStartWindow) {
		c.fail(f.Links.Connect.Place, "a bid may wait for its link no longer than a sixteenth of cold_window, %g ms",
			float64(t.SlowStartWindow)/16/float64(scheduler.Millisecond))
	}
	if p.Output < 64<<10 {
		c.fail(f.Links.Output.Place, "%d bytes are too few for a frame: 64KiB at least", p.Output)
	}
	if p.Terms.MeanMemory <= 0 {
		c.fail(m.Mean.Memory.Place, "a container of mean size needs memory above 0")
	}
	yes, err := strictyaml.Choose(c.src, m.Yes, "accepted", "running")
	c.keep(err)
	p.Terms.AcceptMeansRunning = yes == 1
	kinds := c.kinds(m.Kinds, p)
	for i := range f.Workloads {
		c.workload(fmt.Sprintf("workloads[%d]", i), &f.Workloads[i], kinds, p)
	}
	if len(f.Workloads) == 0 {
		c.keep(c.src.Missing("", "workloads"))
	}
	for i, k := range f.Customers {
		c.needed(fmt.Sprintf("customers[%d]", i), k)
		p.Terms.Tenants = append(p.Terms.Tenants, scheduler.Tenant{QuotaCores: c.above0(k.Cores)})
		p.Customers = append(p.Customers, k.Name.Text)
	}
	if f.Keep.Set() && !f.State.Set() {
		c.fail(f.Keep.Place, "keep is only read once, when state names a folder: name one")
	}
	if f.Metrics.Set() {
		p.Metrics = c.address(f.Metrics)
	}
	if f.BGP != nil {
		p.BGP = c.bgp(f.BGP)
	}
	if f.OverShare.Value < 0 || f.OverShare.Value > 1 {
		c.fail(f.OverShare.Place, "%g is no part from 0 to 1", f.OverShare.Value)
	}
	return p
}

func (c *check) kinds(all []kind, p *Placer) map[string]int {
	byName := map[string]int{}
	for i, k := range all {
		c.needed(fmt.Sprintf("machines.kinds[%d]", i), k)
		if _, twice := byName[k.Name.Text]; twice {
			c.fail(k.Name.Place, "kind %q stands twice", k.Name.Text)
		}
		byName[k.Name.Text] = i
		p.Kinds = append(p.Kinds, k.Name.Text)
		if k.Memory.GiB <= 0 {
			c.fail(k.Memory.Place, "a machine needs memory above 0")
		}
		p.Terms.MachineTypes = append(p.Terms.MachineTypes, scheduler.MachineType{Cores: c.above0(k.Cores), Memory: k.Memory.GiB})
	}
	if len(all) == 0 {
		c.keep(c.src.Missing("machines", "kinds"))
	}
	return byName
}

func (c *check) workload(path string, f *workload, kinds map[string]int, p *Placer) {
	c.needed(path, *f)
	if c.fault != nil {
		return
	}
	w := scheduler.WorkloadClass{LatencyObjective: c.lasting(f.Agreed), PlacementTimeout: c.lasting(f.HardStop), MachineType: -1, PriorityWeight: c.above0(f.Gain)}
	if w.LatencyObjective > w.PlacementTimeout {
		c.fail(f.Agreed.Place, "the agreed time is after the hard stop")
	}
	effect, err := strictyaml.Choose(c.src, f.Effect, "reissuable", "numbered", "at-most-once")
	c.keep(err)
	w.Idempotency = scheduler.Idempotency(effect)
	if w.Idempotency == scheduler.IdempotentWithKey {
		if !f.Repeats.Set() {
			c.keep(c.src.Missing(path, "repeats_dropped_in"))
		}
		if !f.Window.Set() {
			c.keep(c.src.Missing(path, "repeats_dropped_for"))
		}
		n, err := strictyaml.Choose(c.src, f.Repeats, "cell", "zone", "everywhere")
		c.keep(err)
		w.DedupScope, w.DedupWindow = []scheduler.Scope{scheduler.ScopeRackGroup, scheduler.ScopeZone, scheduler.ScopeFleet}[n], c.span(f.Window)
	} else if f.Repeats.Set() || f.Window.Set() {
		c.fail(max1(f.Repeats.Place, f.Window.Place), "only numbered work has its repeats dropped")
	}
	if f.Kind.Set() {
		n, ok := kinds[f.Kind.Text]
		if !ok {
			c.fail(f.Kind.Place, "there is no kind %q", f.Kind.Text)
		}
		w.MachineType = n
	}
	if f.Spread.Set() {
		n, err := strictyaml.Choose(c.src, f.Spread, "machine", "cell", "zone")
		c.keep(err)
		w.SpreadScope = []scheduler.Scope{scheduler.ScopeMachine, scheduler.ScopeRackGroup, scheduler.ScopeZone}[n]
		if !f.Most.Set() {
			c.keep(c.src.Missing(path, "most_in_one"))
		}
		w.MaxPerScope = c.some(f.Most)
	} else if f.Most.Set() {
		c.fail(f.Most.Place, "most_in_one needs spread_over")
	}
	for _, name := range p.Workloads {
		if name == f.Name.Text {
			c.fail(f.Name.Place, "workload %q stands twice", name)
		}
	}
	p.Workloads = append(p.Workloads, f.Name.Text)
	p.Terms.WorkloadClasses = append(p.Terms.WorkloadClasses, w)
}

// max1 is the first of two places that is set.
func max1(a, b strictyaml.Place) strictyaml.Place {
	if a.Set() {
		return a
	}
	return b
}
