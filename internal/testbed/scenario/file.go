package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"glenport/internal/config"
	"glenport/internal/config/strictyaml"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faults"
	"glenport/internal/testbed/process"
	"glenport/scheduler"
)

func duration(s strictyaml.Duration) time.Duration { return time.Duration(s.Ticks) * process.Tick }

// Load reads a scenario file. An error names the file, the line and the key.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file scenarioFile
	source, err := strictyaml.ReadWithAliases(path, data, &file, Aliases())
	if err != nil {
		return nil, err
	}
	if err := file.checkRequired(source); err != nil {
		return nil, err
	}
	s := file.scenario(path)
	s.Deprecations = source.Deprecations()
	if len(s.Zones) == 0 || s.Schedulers == 0 || len(file.Machines) == 0 || len(file.Workloads) == 0 {
		return nil, source.ErrorAt(file.Name.Position, "a scenario needs zones, schedulers, machines and workloads")
	}
	settings, err := config.LoadScheduler(s.Template)
	if err != nil {
		return nil, err
	}
	if s.Workloads, err = file.workloads(source, settings); err != nil {
		return nil, err
	}
	if s.Faults, err = file.faults(source, s.Zones); err != nil {
		return nil, err
	}
	return s, nil
}

// checkRequired reports the first required key that is missing.
func (f *scenarioFile) checkRequired(source *strictyaml.File) error {
	type section struct {
		path  string
		value any
	}
	sections := []section{
		{"", *f},
		{"machine", f.Machine},
		{"machine.slow_start", f.Machine.SlowStart},
		{"machine_list", f.List},
	}
	for i := range f.Machines {
		sections = append(sections, section{fmt.Sprintf("machines[%d]", i), f.Machines[i]})
	}
	for i := range f.Workloads {
		sections = append(sections, section{fmt.Sprintf("workloads[%d]", i), f.Workloads[i]})
	}
	for i := range f.Faults {
		sections = append(sections, section{fmt.Sprintf("faults[%d]", i), f.Faults[i]})
	}
	for _, s := range sections {
		if err := strictyaml.CheckRequired(source, s.path, s.value); err != nil {
			return err
		}
	}
	return nil
}

// scenario converts all sections but the workloads and faults, which refer to names defined elsewhere.
func (f *scenarioFile) scenario(path string) *Scenario {
	s := &Scenario{
		Spec: cluster.Spec{
			Seed:       uint64(f.Seed.Value),
			Schedulers: f.Schedulers.Value,
			Template:   filepath.Join(filepath.Dir(path), f.Template.Value),
			DrainGrace: scheduler.Time(f.DrainGrace.Ticks),
			Slack:      scheduler.Time(f.Slack.Ticks),
			Machine:    f.Machine.spec(),
			List: cluster.ListTiming{
				Lag:              duration(f.List.Lag),
				FailureDetection: duration(f.List.FailureDetection),
				PollInterval:     duration(f.List.PollInterval),
				CallsPerSecond:   f.List.CallsPerSecond.Value,
			},
		},
		Name:   f.Name.Value,
		Length: duration(f.Length),
		Settle: duration(f.Settle),
		Rate:   f.Rate.Value,
	}
	for _, zone := range f.Zones {
		s.Zones = append(s.Zones, zone.Value)
	}
	for _, m := range f.Machines {
		count := cluster.MachineCount{MachineType: m.MachineType.Value, PerZone: m.PerZone.Value}
		s.MachineCounts = append(s.MachineCounts, count)
	}
	return s
}

func (m *machineSection) spec() emulator.MachineSpec {
	return emulator.MachineSpec{
		AdmissionTime:        duration(m.AdmissionTime),
		MaxQueuedOffers:      m.MaxQueuedOffers.Value,
		ConcurrentStarts:     m.ConcurrentStarts.Value,
		StartTime:            duration(m.StartTime),
		ImageMissFactor:      m.ImageMissFactor.Value,
		CachedImages:         m.CachedImages.Value,
		SlowStartInitialPace: m.SlowStart.Pace.Value,
		SlowStartCapacity:    m.SlowStart.Capacity.Value,
		MemoryDrift:          m.MemoryDrift.Value,
	}
}

// workloads returns the load of each workload class, in the order of the scheduler configuration.
func (f *scenarioFile) workloads(
	source *strictyaml.File,
	settings *config.Scheduler,
) ([]emulator.WorkloadProfile, error) {
	workloads := make([]emulator.WorkloadProfile, len(settings.WorkloadClasses))
	for _, section := range f.Workloads {
		class, err := strictyaml.OneOf(source, section.Class, settings.WorkloadClasses...)
		if err != nil {
			return nil, err
		}
		if len(section.Cores) == 0 || len(section.Cores) != len(section.Memory) || section.Services.Value == 0 {
			const message = "a workload needs services, and as many values of memory as of cores"
			return nil, source.ErrorAt(section.Class.Position, message)
		}
		workloads[class] = section.profile(settings.Policy.WorkloadClasses[class])
	}
	return workloads, nil
}

func (s *workloadSection) profile(class scheduler.WorkloadClass) emulator.WorkloadProfile {
	profile := emulator.WorkloadProfile{
		Share:            s.Share.Value,
		Services:         s.Services.Value,
		MeanRuntime:      duration(s.MeanRuntime),
		RetryRejected:    s.RetryRejected.Value,
		RetryUnanswered:  s.RetryUnanswered.Value,
		PlacementTimeout: time.Duration(class.PlacementTimeout) * process.Tick,
	}
	for i := range s.Cores {
		profile.Cores = append(profile.Cores, s.Cores[i].Value)
		profile.Memory = append(profile.Memory, s.Memory[i].GiB)
	}
	return profile
}

func (f *scenarioFile) faults(source *strictyaml.File, zones []string) ([]faults.Fault, error) {
	var all []faults.Fault
	for _, section := range f.Faults {
		fault := faults.Fault{
			Kind:     faults.Kind(section.Kind.Value),
			At:       duration(section.At),
			Duration: duration(section.Duration),
			Fraction: section.Fraction.Value,
			Size:     section.Size.Value,
		}
		if !faults.Known(fault.Kind) {
			const message = "%q is not a kind of fault; the kinds are %q"
			return nil, source.ErrorAt(section.Kind.Position, message, fault.Kind, faults.Kinds())
		}
		if section.Zone.IsSet() {
			var err error
			if fault.Zone, err = strictyaml.OneOf(source, section.Zone, zones...); err != nil {
				return nil, err
			}
		}
		all = append(all, fault)
	}
	return all, nil
}
