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

type scenarioFile struct {
	Name       strictyaml.String     `yaml:"name"`
	Seed       strictyaml.Count      `yaml:"seed"`
	Length     strictyaml.Duration   `yaml:"length"`
	Settle     strictyaml.Duration   `yaml:"settle"`
	Schedulers strictyaml.Count      `yaml:"placers"`
	Template   strictyaml.String     `yaml:"placer_file"`
	Rate       strictyaml.Float      `yaml:"submissions_a_second"`
	DrainGrace strictyaml.Duration   `yaml:"drain_grace"`
	Slack      strictyaml.Duration   `yaml:"slack"`
	Zones      []strictyaml.String   `yaml:"halls"`
	Machines   []machineGroupSection `yaml:"machines"`
	Machine    machineSection        `yaml:"machine"`
	List       listSection           `yaml:"list"`
	Work       []workSection         `yaml:"work"`
	Faults     []faultSection        `yaml:"troubles"`
}

type machineGroupSection struct {
	MachineType strictyaml.String `yaml:"kind"`
	PerZone     strictyaml.Count  `yaml:"in_each_hall"`
}

type machineSection struct {
	AdmissionTime     strictyaml.Duration `yaml:"look_at_an_offer"`
	MaxQueuedOffers   strictyaml.Count    `yaml:"offers_may_wait"`
	ConcurrentStarts  strictyaml.Count    `yaml:"starts_at_once"`
	StartTime         strictyaml.Duration `yaml:"start"`
	ImageMissFactor   strictyaml.Float    `yaml:"first_start_times"`
	CachedImages      strictyaml.Count    `yaml:"programs_kept"`
	SlowStartPace     strictyaml.Float    `yaml:"cold_pace"`
	SlowStartCapacity strictyaml.Count    `yaml:"cold_bears"`
	MemoryDrift       strictyaml.Float    `yaml:"use_drifts"`
}

type listSection struct {
	Lag              strictyaml.Duration `yaml:"behind"`
	FailureDetection strictyaml.Duration `yaml:"notices_death_after"`
	PollInterval     strictyaml.Duration `yaml:"looks_every"`
	CallsPerSecond   strictyaml.Count    `yaml:"calls_a_second"`
}

type workSection struct {
	Workload        strictyaml.String   `yaml:"workload"`
	Share           strictyaml.Float    `yaml:"share"`
	Services        strictyaml.Count    `yaml:"services"`
	Cores           []strictyaml.Float  `yaml:"cores"`
	Memory          []strictyaml.Memory `yaml:"memory"`
	MeanRuntime     strictyaml.Duration `yaml:"life"`
	RetryRejected   strictyaml.Bool     `yaml:"asked_again"`
	RetryUnanswered strictyaml.Bool     `yaml:"asked_again_when_unheard" settings:"optional"`
}

type faultSection struct {
	Kind     strictyaml.String   `yaml:"kind"`
	At       strictyaml.Duration `yaml:"at"`
	Duration strictyaml.Duration `yaml:"for"`
	Fraction strictyaml.Float    `yaml:"part" settings:"optional"`
	Size     strictyaml.Float    `yaml:"size" settings:"optional"`
	Zone     strictyaml.String   `yaml:"hall" settings:"optional"`
}

func duration(s strictyaml.Duration) time.Duration { return time.Duration(s.Ticks) * process.Tick }

// Load reads a scenario file. An error names the file, the line and the key.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file scenarioFile
	source, err := strictyaml.Read(path, data, &file)
	if err != nil {
		return nil, err
	}
	if err := file.checkRequired(source); err != nil {
		return nil, err
	}
	s := file.scenario(path)
	if len(s.Zones) == 0 || s.Schedulers == 0 || len(file.Machines) == 0 || len(file.Work) == 0 {
		return nil, source.ErrorAt(file.Name.Position, "a day needs halls, placers, machines and work")
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

// checkRequired reports the first key that a section lacks.
func (f *scenarioFile) checkRequired(source *strictyaml.File) error {
	type section struct {
		path  string
		value any
	}
	sections := []section{{"", *f}, {"machine", f.Machine}, {"list", f.List}}
	for i := range f.Machines {
		sections = append(sections, section{fmt.Sprintf("machines[%d]", i), f.Machines[i]})
	}
	for i := range f.Work {
		sections = append(sections, section{fmt.Sprintf("work[%d]", i), f.Work[i]})
	}
	for i := range f.Faults {
		sections = append(sections, section{fmt.Sprintf("troubles[%d]", i), f.Faults[i]})
	}
	for _, s := range sections {
		if err := strictyaml.CheckRequired(source, s.path, s.value); err != nil {
			return err
		}
	}
	return nil
}

// scenario converts all but the workloads and faults, which refer to names from elsewhere.
func (f *scenarioFile) scenario(path string) *Scenario {
	s := &Scenario{
		Spec: cluster.Spec{
			Seed:       uint64(f.Seed.Value),
			Schedulers: f.Schedulers.Value,
			Template:   filepath.Join(filepath.Dir(path), f.Template.Value),
			DrainGrace: scheduler.Time(f.DrainGrace.Ticks),
			Slack:      scheduler.Time(f.Slack.Ticks),
			Machine:    f.Machine.shape(),
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
		s.MachineCounts = append(s.MachineCounts, cluster.MachineCount{MachineType: m.MachineType.Value, PerZone: m.PerZone.Value})
	}
	return s
}

func (m *machineSection) shape() emulator.MachineSpec {
	return emulator.MachineSpec{
		AdmissionTime:        duration(m.AdmissionTime),
		MaxQueuedOffers:      m.MaxQueuedOffers.Value,
		ConcurrentStarts:     m.ConcurrentStarts.Value,
		StartTime:            duration(m.StartTime),
		ImageMissFactor:      m.ImageMissFactor.Value,
		CachedImages:         m.CachedImages.Value,
		SlowStartInitialPace: m.SlowStartPace.Value,
		SlowStartCapacity:    m.SlowStartCapacity.Value,
		MemoryDrift:          m.MemoryDrift.Value,
	}
}

// workloads returns the load of each workload class, in the order of the scheduler's settings.
func (f *scenarioFile) workloads(
	source *strictyaml.File,
	settings *config.Scheduler,
) ([]emulator.WorkloadProfile, error) {
	workloads := make([]emulator.WorkloadProfile, len(settings.WorkloadClasses))
	for _, section := range f.Work {
		class, err := strictyaml.OneOf(source, section.Workload, settings.WorkloadClasses...)
		if err != nil {
			return nil, err
		}
		if len(section.Cores) == 0 || len(section.Cores) != len(section.Memory) || section.Services.Value == 0 {
			return nil, source.ErrorAt(section.Workload.Position, "work needs services, and as many memories as cores")
		}
		workloads[class] = section.work(settings.Policy.WorkloadClasses[class])
	}
	return workloads, nil
}

func (s *workSection) work(class scheduler.WorkloadClass) emulator.WorkloadProfile {
	work := emulator.WorkloadProfile{
		Share:            s.Share.Value,
		Services:         s.Services.Value,
		MeanRuntime:      duration(s.MeanRuntime),
		RetryRejected:    s.RetryRejected.Value,
		RetryUnanswered:  s.RetryUnanswered.Value,
		PlacementTimeout: time.Duration(class.PlacementTimeout) * process.Tick,
	}
	for i := range s.Cores {
		work.Cores = append(work.Cores, s.Cores[i].Value)
		work.Memory = append(work.Memory, s.Memory[i].GiB)
	}
	return work
}

func (f *scenarioFile) faults(source *strictyaml.File, zones []string) ([]faults.Fault, error) {
	var all []faults.Fault
	for _, section := range f.Faults {
		if !faults.Known(section.Kind.Value) {
			return nil, source.ErrorAt(
				section.Kind.Position,
				"%q is no trouble; there are %v",
				section.Kind.Value,
				faults.Kinds(),
			)
		}
		fault := faults.Fault{
			Kind: section.Kind.Value, At: duration(section.At), Duration: duration(section.Duration),
			Fraction: section.Fraction.Value, Size: section.Size.Value,
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
