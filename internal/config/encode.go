package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/config/strictyaml"
	"glenport/scheduler"

	"github.com/goccy/go-yaml"
)

// Names of enumeration values in settings files.
var (
	idempotencyNames = map[scheduler.Idempotency]string{
		scheduler.Idempotent:        "idempotent",
		scheduler.IdempotentWithKey: "idempotent-with-key",
		scheduler.AtMostOnce:        "at-most-once",
	}
	scopeNames = map[scheduler.Scope]string{
		scheduler.ScopeMachine:   "machine",
		scheduler.ScopeRackGroup: "rack-group",
		scheduler.ScopeZone:      "zone",
		scheduler.ScopeFleet:     "fleet",
	}
	familyNames = map[wire.Family]string{wire.IPv4: "ipv4", wire.IPv6: "ipv6"}
)

// Encode returns the text of a settings file that [ParseScheduler] reads as the same settings.
func (s *Scheduler) Encode() ([]byte, error) {
	text, err := yaml.MarshalWithOptions(s.file(), yaml.OmitZero())
	if err != nil {
		return nil, fmt.Errorf("encode the settings of scheduler %s: %w", s.Name, err)
	}
	return text, nil
}

// Encode returns the text of a settings file that [LoadController] reads as the same settings. The parameter
// schedulerFile is the path of the scheduler's settings file, which goes into the text.
func (c *Controller) Encode(schedulerFile string) ([]byte, error) {
	file := &controllerFile{
		Name:            strictyaml.NewString(c.Name),
		APIAddr:         strictyaml.NewString(c.APIAddr),
		SchedulerFile:   strictyaml.NewString(schedulerFile),
		MachineListAddr: optionalString(c.MachineListAddr),
		Seed:            strictyaml.NewCount(int(c.Seed)),
		StateDir:        optionalString(c.StateDir),
	}
	for _, address := range c.SchedulerAddrs {
		file.SchedulerAddrs = append(file.SchedulerAddrs, strictyaml.NewString(address))
	}
	text, err := yaml.MarshalWithOptions(file, yaml.OmitZero())
	if err != nil {
		return nil, fmt.Errorf("encode the settings of controller %s: %w", c.Name, err)
	}
	return text, nil
}

// optionalString returns a value that is not set if the text is empty.
func optionalString(value string) strictyaml.String {
	if value == "" {
		return strictyaml.String{}
	}
	return strictyaml.NewString(value)
}

func durationValue(d scheduler.Time) strictyaml.Duration { return strictyaml.NewDuration(int64(d)) }

// file returns the settings in the form of the settings file.
func (s *Scheduler) file() *schedulerFile {
	policy := &s.Policy
	file := &schedulerFile{
		Name:       strictyaml.NewString(s.Name),
		Index:      strictyaml.NewCount(policy.SchedulerIndex),
		Schedulers: strictyaml.NewCount(policy.SchedulerCount),
		Seed:       strictyaml.NewCount(int(policy.Seed)),
		ListenAddr: strictyaml.NewString(s.ListenAddr),
		StateDir:   optionalString(s.StateDir),
		LegacyList: optionalString(s.LegacyListFile),
		Metrics:    optionalString(s.MetricsAddr),
		MachineList: machineListSection{
			Address:        strictyaml.NewString(s.MachineListAddr),
			ResyncInterval: durationValue(policy.ResyncInterval),
		},
		Connections: connectionsSection{
			ConnectTimeout: strictyaml.NewDuration(int64(s.ConnectTimeout)),
			IdleTimeout:    strictyaml.NewDuration(int64(s.IdleTimeout)),
			SilenceTimeout: strictyaml.NewDuration(int64(s.SilenceTimeout)),
			MaxOutput:      strictyaml.NewMemory(float64(s.MaxOutput) / bytesPerGiB),
		},
		Limits: limitsSection{
			Clients:               strictyaml.NewCount(s.Limits.Clients),
			OpenRequests:          strictyaml.NewCount(s.Limits.OpenRequests),
			OpenRequestsPerClient: strictyaml.NewCount(s.Limits.OpenRequestsPerClient),
			AdaptiveLimit:         strictyaml.NewBool(s.AdaptiveLimit),
		},
		Machines: s.machinesSection(),
		Attempts: attemptsSection{
			MaxAttempts: strictyaml.NewCount(policy.MaxAttempts),
			AnswerGrace: durationValue(policy.AnswerGrace),
		},
		OverQuotaWeight: strictyaml.NewFloat(policy.OverQuotaWeight),
	}
	for i, name := range s.WorkloadClasses {
		file.WorkloadClasses = append(file.WorkloadClasses, s.workloadClassEntry(name, &policy.WorkloadClasses[i]))
	}
	for i, name := range s.Tenants {
		quota := strictyaml.NewFloat(policy.Tenants[i].QuotaCores)
		file.Tenants = append(file.Tenants, tenantEntry{Name: strictyaml.NewString(name), Cores: quota})
	}
	if s.BGP != nil {
		file.BGP = s.BGP.section()
	}
	return file
}

func (s *Scheduler) machinesSection() machinesSection {
	policy := &s.Policy
	acceptMeans := "accepted"
	if policy.AcceptMeansRunning {
		acceptMeans = "running"
	}
	section := machinesSection{
		Overcommit: overcommitSection{
			Cores:  strictyaml.NewFloat(policy.CoresOvercommit),
			Memory: strictyaml.NewFloat(policy.MemoryOvercommit),
		},
		MeanContainer: meanContainerSection{
			Cores:  strictyaml.NewFloat(policy.MeanCores),
			Memory: strictyaml.NewMemory(policy.MeanMemory),
		},
		AcceptMeans:        strictyaml.NewString(acceptMeans),
		UsageReports:       strictyaml.NewBool(policy.UsageReports),
		ListTracksRequests: strictyaml.NewBool(policy.ListTracksRequests),
		ProbesAllowed:      strictyaml.NewBool(policy.ProbesAllowed),
		SlowStart: slowStartSection{
			Period: durationValue(policy.SlowStartPeriod),
			Window: durationValue(policy.SlowStartWindow),
			Budget: strictyaml.NewCount(policy.SlowStartBudget),
		},
	}
	for i, name := range s.MachineTypes {
		section.MachineTypes = append(section.MachineTypes, machineTypeEntry{
			Name:   strictyaml.NewString(name),
			Cores:  strictyaml.NewFloat(policy.MachineTypes[i].Cores),
			Memory: strictyaml.NewMemory(policy.MachineTypes[i].Memory),
		})
	}
	return section
}

func (s *Scheduler) workloadClassEntry(name string, class *scheduler.WorkloadClass) workloadClassEntry {
	entry := workloadClassEntry{
		Name:             strictyaml.NewString(name),
		Idempotency:      strictyaml.NewString(idempotencyNames[class.Idempotency]),
		LatencyObjective: durationValue(class.LatencyObjective),
		PlacementTimeout: durationValue(class.PlacementTimeout),
		PriorityWeight:   strictyaml.NewFloat(class.PriorityWeight),
	}
	if class.Idempotency == scheduler.IdempotentWithKey {
		entry.DedupScope = strictyaml.NewString(scopeNames[class.DedupScope])
		entry.DedupWindow = durationValue(class.DedupWindow)
	}
	if class.MachineType >= 0 {
		entry.MachineType = strictyaml.NewString(s.MachineTypes[class.MachineType])
	}
	if class.MaxPerScope > 0 {
		entry.SpreadScope = strictyaml.NewString(scopeNames[class.SpreadScope])
		entry.MaxPerScope = strictyaml.NewCount(class.MaxPerScope)
	}
	return entry
}

// section returns the settings in the form of the bgp section.
func (b *BGP) section() *bgpSection {
	section := &bgpSection{
		ASN:        strictyaml.NewCount(int(b.ASN)),
		RouterID:   strictyaml.NewString(netip.AddrFrom4(b.RouterID).String()),
		ListenAddr: optionalString(b.ListenAddr),
	}
	for i := range b.Peers {
		section.Peers = append(section.Peers, b.Peers[i].entry())
	}
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		section.Services = append(section.Services, newBGPServiceEntry(name, b.Services[name]))
	}
	return section
}

func (p *BGPPeer) entry() bgpPeerEntry {
	entry := bgpPeerEntry{
		Addr:        strictyaml.NewString(p.Addr),
		ASN:         strictyaml.NewCount(int(p.ASN)),
		HoldTime:    durationValue(p.HoldTime),
		RestartTime: durationValue(p.RestartTime),
		Passive:     strictyaml.NewBool(p.Passive),
		MD5Key:      optionalString(p.MD5Key),
	}
	for _, family := range p.Families {
		entry.Families = append(entry.Families, strictyaml.NewString(familyNames[family]))
	}
	for _, prefix := range p.Allow {
		entry.Allow = append(entry.Allow, strictyaml.NewString(prefix.String()))
	}
	return entry
}

func newBGPServiceEntry(name string, service announce.Service) bgpServiceEntry {
	return bgpServiceEntry{
		Service:     strictyaml.NewString(name),
		Prefix:      strictyaml.NewString(service.Prefix.String()),
		NextHop:     strictyaml.NewString(service.NextHop.String()),
		MinRunning:  strictyaml.NewCount(service.MinRunning),
		MED:         strictyaml.NewCount(int(service.MED)),
		MEDByHealth: strictyaml.NewBool(service.MEDByHealth),
	}
}
