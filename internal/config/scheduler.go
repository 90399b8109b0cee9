// Package config reads and checks the settings files of schedulers and controllers, and converts them to the types of
// the packages that they configure. schema.go lists every key with its default.
//
// The first fault in the content of a file is returned as a [*strictyaml.Error] with file, line, column and key. For a
// file that cannot be read, the error of the operating system is returned.
package config

import (
	"fmt"
	"os"

	"glenport/internal/config/strictyaml"
	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/admission"
	"glenport/scheduler"
)

const (
	minOutputBytes = 64 << 10 // a frame has to fit

	// connectsPerSlowStartWindow is the minimum number of consecutive connect timeouts in a slow-start window. With a
	// longer timeout, the attempts that wait for a connection would reach a machine in slow start in one burst.
	connectsPerSlowStartWindow = 16

	bytesPerGiB = 1 << 30
)

// Scheduler holds the checked settings of a scheduler process.
type Scheduler struct {
	Name            string
	ListenAddr      string
	MachineListAddr string
	StateDir        string // directory of the state kept across restarts; empty: no state is kept
	LegacyListFile  string // machine list file of an earlier version, read once; empty: none is read
	MetricsAddr     string // address on which metrics are served; empty: metrics are not served
	Policy          scheduler.Config
	Limits          admission.Limits
	MaxOutput       int // limit of the output buffer of one connection, in bytes
	ConnectTimeout  eventloop.Tick
	IdleTimeout     eventloop.Tick
	SilenceTimeout  eventloop.Tick
	MachineTypes    []string // names, in the order of Policy.MachineTypes
	WorkloadClasses []string // names, in the order of Policy.WorkloadClasses
	Tenants         []string // names, in the order of Policy.Tenants
	AdaptiveLimit   bool     // admission adapts its concurrency limit to the latency of placements
	BGP             *BGP     // nil: no address is announced

	Deprecations []strictyaml.Deprecation // old spellings in the file
}

// LoadScheduler reads and checks the settings file of a scheduler.
func LoadScheduler(path string) (*Scheduler, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScheduler(path, data)
}

// ParseScheduler parses and checks the text of a scheduler's settings file. Errors contain the name of the file.
func ParseScheduler(name string, data []byte) (*Scheduler, error) {
	var content schedulerFile
	file, err := strictyaml.ReadWithAliases(name, data, &content, SchedulerAliases())
	if err != nil {
		return nil, err
	}
	v := &validator{file: file}
	settings := v.scheduler(&content)
	if v.err != nil {
		return nil, v.err
	}
	settings.Deprecations = file.Deprecations()
	return settings, nil
}

// scheduler checks a scheduler's file and returns its settings, or nil if a required key is missing.
func (v *validator) scheduler(f *schedulerFile) *Scheduler {
	v.requiredSchedulerKeys(f)
	if v.err != nil {
		return nil
	}
	v.schedulerIndex(f)
	s := v.processSettings(f)
	v.connections(&f.Connections, s)
	typeIndex := v.machines(&f.Machines, s)
	v.workloadClasses(f.WorkloadClasses, typeIndex, s)
	v.tenants(f.Tenants, s)
	v.legacyListFile(f)
	s.MetricsAddr = v.address(f.Metrics)
	if f.BGP != nil {
		s.BGP = v.bgp(f.BGP)
	}
	if f.OverQuotaWeight.Value < 0 || f.OverQuotaWeight.Value > 1 {
		v.fail(f.OverQuotaWeight.Position, "%g is no part from 0 to 1", f.OverQuotaWeight.Value)
	}
	return s
}

func (v *validator) schedulerIndex(f *schedulerFile) {
	if f.Index.Value >= f.Schedulers.Value {
		v.fail(f.Index.Position, "%s %d is not below %s, %d",
			v.keyName("scheduler_index"), f.Index.Value, v.keyName("scheduler_count"), f.Schedulers.Value)
	}
}

func (v *validator) legacyListFile(f *schedulerFile) {
	if f.LegacyList.IsSet() && !f.StateDir.IsSet() {
		v.fail(f.LegacyList.Position, "%s is only read once, when %s names a folder: name one",
			v.keyName("legacy_list_file"), v.keyName("state_dir"))
	}
}

// processSettings returns the settings without those that machines, workloadClasses, tenants and bgp add.
func (v *validator) processSettings(f *schedulerFile) *Scheduler {
	return &Scheduler{
		Name:            f.Name.Value,
		ListenAddr:      v.address(f.ListenAddr),
		MachineListAddr: v.address(f.MachineList.Address),
		StateDir:        f.StateDir.Value,
		LegacyListFile:  f.LegacyList.Value,
		Limits:          v.limits(&f.Limits),
		AdaptiveLimit:   f.Limits.AdaptiveLimit.Value,
		MaxOutput:       int(f.Connections.MaxOutput.GiB * bytesPerGiB),
		ConnectTimeout:  eventloop.Tick(v.positiveDuration(f.Connections.ConnectTimeout)),
		IdleTimeout:     eventloop.Tick(v.positiveDuration(f.Connections.IdleTimeout)),
		SilenceTimeout:  eventloop.Tick(v.positiveDuration(f.Connections.SilenceTimeout)),
		Policy:          v.policy(f),
	}
}

// requiredSchedulerKeys checks that the file and its sections have their required keys. The keys of a list entry are
// checked together with the entry.
func (v *validator) requiredSchedulerKeys(f *schedulerFile) {
	for _, section := range []struct {
		path    string
		content any
	}{
		{"", *f},
		{"machine_list", f.MachineList},
		{"connections", f.Connections},
		{"limits", f.Limits},
		{"machines", f.Machines},
		{"machines.slow_start", f.Machines.SlowStart},
		{"machines.overcommit", f.Machines.Overcommit},
		{"machines.mean_container", f.Machines.MeanContainer},
		{"attempts", f.Attempts},
	} {
		v.required(section.path, section.content)
	}
}

func (v *validator) limits(f *limitsSection) admission.Limits {
	return admission.Limits{
		Clients:               v.positiveCount(f.Clients),
		OpenRequests:          v.positiveCount(f.OpenRequests),
		OpenRequestsPerClient: v.positiveCount(f.OpenRequestsPerClient),
	}
}

// policy returns the settings of the placement policy without those that machines, workloadClasses and tenants add.
func (v *validator) policy(f *schedulerFile) scheduler.Config {
	machines := &f.Machines
	return scheduler.Config{
		Seed:               uint64(f.Seed.Value),
		SchedulerIndex:     f.Index.Value,
		SchedulerCount:     f.Schedulers.Value,
		OverQuotaWeight:    f.OverQuotaWeight.Value,
		CoresOvercommit:    v.positive(machines.Overcommit.Cores),
		MemoryOvercommit:   v.positive(machines.Overcommit.Memory),
		MeanCores:          v.positive(machines.MeanContainer.Cores),
		MeanMemory:         machines.MeanContainer.Memory.GiB,
		UsageReports:       machines.UsageReports.Value,
		ListTracksRequests: machines.ListTracksRequests.Value,
		ProbesAllowed:      machines.ProbesAllowed.Value,
		MaxAttempts:        v.positiveCount(f.Attempts.MaxAttempts),
		AnswerGrace:        duration(f.Attempts.AnswerGrace),
		ListOnRequest:      true,
		ResyncInterval:     v.positiveDuration(f.MachineList.ResyncInterval),
		SlowStartPeriod:    duration(machines.SlowStart.Period),
		SlowStartWindow:    duration(machines.SlowStart.Window),
		SlowStartBudget:    machines.SlowStart.Budget.Value,
	}
}

// connections checks the connect timeout against the slow-start window, and the minimum size of the output buffer.
func (v *validator) connections(f *connectionsSection, s *Scheduler) {
	window := s.Policy.SlowStartWindow
	if s.Policy.SlowStartBudget > 0 && connectsPerSlowStartWindow*s.ConnectTimeout > eventloop.Tick(window) {
		maxTimeoutMS := float64(window) / connectsPerSlowStartWindow / float64(scheduler.Millisecond)
		v.fail(f.ConnectTimeout.Position, "an attempt may wait for its connection up to a sixteenth of %s, %g ms",
			v.keyName("machines.slow_start.window"), maxTimeoutMS)
	}
	if s.MaxOutput < minOutputBytes {
		v.fail(f.MaxOutput.Position, "%d bytes are too few for a frame: 64KiB at least", s.MaxOutput)
	}
}

// machines adds the remaining settings of the machines section and returns the indices of the machine types by name.
func (v *validator) machines(f *machinesSection, s *Scheduler) (typeIndex map[string]int) {
	if s.Policy.MeanMemory <= 0 {
		v.fail(f.MeanContainer.Memory.Position, "a container of mean size needs memory above 0")
	}
	s.Policy.AcceptMeansRunning = v.oneOf(f.AcceptMeans, "accepted", "running") == 1
	return v.machineTypes(f.MachineTypes, s)
}

// machineTypes adds the machine types to the settings and returns their indices by name.
func (v *validator) machineTypes(entries []machineTypeEntry, s *Scheduler) map[string]int {
	indices := map[string]int{}
	for i, entry := range entries {
		v.required(fmt.Sprintf("machines.machine_types[%d]", i), entry)
		if _, duplicate := indices[entry.Name.Value]; duplicate {
			v.fail(entry.Name.Position, "machine type %q is defined twice", entry.Name.Value)
		}
		indices[entry.Name.Value] = i
		if entry.Memory.GiB <= 0 {
			v.fail(entry.Memory.Position, "a machine needs memory above 0")
		}
		s.MachineTypes = append(s.MachineTypes, entry.Name.Value)
		s.Policy.MachineTypes = append(
			s.Policy.MachineTypes,
			scheduler.MachineType{Cores: v.positive(entry.Cores), Memory: entry.Memory.GiB},
		)
	}
	if len(entries) == 0 {
		v.record(v.file.MissingKey("machines", "machine_types"))
	}
	return indices
}

// tenants adds the tenants to the settings.
func (v *validator) tenants(entries []tenantEntry, s *Scheduler) {
	for i, entry := range entries {
		v.required(fmt.Sprintf("tenants[%d]", i), entry)
		s.Tenants = append(s.Tenants, entry.Name.Value)
		s.Policy.Tenants = append(s.Policy.Tenants, scheduler.Tenant{QuotaCores: v.positive(entry.Cores)})
	}
}
