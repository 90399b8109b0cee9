package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"glenport/internal/config"
	"glenport/internal/config/strictyaml"
	"glenport/internal/testbed/emulator"
	"glenport/scheduler"
)

// tick is the resolution of times in settings files and in the scheduler's decisions.
const tick = 100 * time.Microsecond

type scenarioFile struct {
	Name       strictyaml.Word       `yaml:"name"`
	Seed       strictyaml.Count      `yaml:"seed"`
	Length     strictyaml.Span       `yaml:"length"`
	Settle     strictyaml.Span       `yaml:"settle"`
	Schedulers strictyaml.Count      `yaml:"placers"`
	Template   strictyaml.Word       `yaml:"placer_file"`
	Rate       strictyaml.Number     `yaml:"submissions_a_second"`
	DrainGrace strictyaml.Span       `yaml:"drain_grace"`
	Slack      strictyaml.Span       `yaml:"slack"`
	Zones      []strictyaml.Word     `yaml:"halls"`
	Machines   []machineGroupSection `yaml:"machines"`
	Machine    machineSection        `yaml:"machine"`
	List       listSection           `yaml:"list"`
	Work       []workSection         `yaml:"work"`
	Faults     []faultSection        `yaml:"troubles"`
}

type machineGroupSection struct {
	MachineType strictyaml.Word  `yaml:"kind"`
	PerZone     strictyaml.Count `yaml:"in_each_hall"`
}

type machineSection struct {
	AdmissionTime     strictyaml.Span   `yaml:"look_at_an_offer"`
	MaxQueuedOffers   strictyaml.Count  `yaml:"offers_may_wait"`
	ConcurrentStarts  strictyaml.Count  `yaml:"starts_at_once"`
	StartTime         strictyaml.Span   `yaml:"start"`
	ImageMissFactor   strictyaml.Number `yaml:"first_start_times"`
	CachedImages      strictyaml.Count  `yaml:"programs_kept"`
	SlowStartPace     strictyaml.Number `yaml:"cold_pace"`
	SlowStartCapacity strictyaml.Count  `yaml:"cold_bears"`
	MemoryDrift       strictyaml.Number `yaml:"use_drifts"`
}

type listSection struct {
	Lag              strictyaml.Span  `yaml:"behind"`
	FailureDetection strictyaml.Span  `yaml:"notices_death_after"`
	PollInterval     strictyaml.Span  `yaml:"looks_every"`
	CallsPerSecond   strictyaml.Count `yaml:"calls_a_second"`
}

type workSection struct {
	Workload        strictyaml.Word     `yaml:"workload"`
	Share           strictyaml.Number   `yaml:"share"`
	Services        strictyaml.Count    `yaml:"services"`
	Cores           []strictyaml.Number `yaml:"cores"`
	Memory          []strictyaml.Memory `yaml:"memory"`
	MeanRuntime     strictyaml.Span     `yaml:"life"`
	RetryRejected   strictyaml.Flag     `yaml:"asked_again"`
	RetryUnanswered strictyaml.Flag     `yaml:"asked_again_when_unheard" settings:"may"`
}

type faultSection struct {
	Kind     strictyaml.Word   `yaml:"kind"`
	At       strictyaml.Span   `yaml:"at"`
	Duration strictyaml.Span   `yaml:"for"`
	Fraction strictyaml.Number `yaml:"part" settings:"may"`
	Size     strictyaml.Number `yaml:"size" settings:"may"`
	Zone     strictyaml.Word   `yaml:"hall" settings:"may"`
}

func duration(s strictyaml.Span) time.Duration { return time.Duration(s.Tenths) * tick }

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
		return nil, source.At(file.Name.Place, "a day needs halls, placers, machines and work")
	}
	settings, err := config.Load(s.Template)
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
		if err := strictyaml.Needed(source, s.path, s.value); err != nil {
			return err
		}
	}
	return nil
}

// scenario converts all but the workloads and faults, which refer to names from elsewhere.
func (f *scenarioFile) scenario(path string) *Scenario {
	s := &Scenario{
		Name:       f.Name.Text,
		Seed:       uint64(f.Seed.Value),
		Length:     duration(f.Length),
		Settle:     duration(f.Settle),
		Schedulers: f.Schedulers.Value,
		Template:   filepath.Join(filepath.Dir(path), f.Template.Text),
		Rate:       f.Rate.Value,
		DrainGrace: scheduler.Time(f.DrainGrace.Tenths),
		Slack:      scheduler.Time(f.Slack.Tenths),
		Machine:    f.Machine.shape(),
		List:       listTiming{duration(f.List.Lag), duration(f.List.FailureDetection), duration(f.List.PollInterval), f.List.CallsPerSecond.Value},
	}
	for _, zone := range f.Zones {
		s.Zones = append(s.Zones, zone.Text)
	}
	for _, m := range f.Machines {
		s.MachineCounts = append(s.MachineCounts, machineCount{m.MachineType.Text, m.PerZone.Value})
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
func (f *scenarioFile) workloads(source *strictyaml.File, settings *config.Placer) ([]emulator.WorkloadProfile, error) {
	workloads := make([]emulator.WorkloadProfile, len(settings.Workloads))
	for _, section := range f.Work {
		class, err := strictyaml.Choose(source, section.Workload, settings.Workloads...)
		if err != nil {
			return nil, err
		}
		if len(section.Cores) == 0 || len(section.Cores) != len(section.Memory) || section.Services.Value == 0 {
			return nil, source.At(section.Workload.Place, "work needs services, and as many memories as cores")
		}
		workloads[class] = section.work(settings.Terms.WorkloadClasses[class])
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
		PlacementTimeout: time.Duration(class.PlacementTimeout) * tick,
	}
	for i := range s.Cores {
		work.Cores = append(work.Cores, s.Cores[i].Value)
		work.Memory = append(work.Memory, s.Memory[i].GiB)
	}
	return work
}

func (f *scenarioFile) faults(source *strictyaml.File, zones []string) ([]Fault, error) {
	var faults []Fault
	for _, section := range f.Faults {
		if injectors[section.Kind.Text] == nil {
			return nil, source.At(section.Kind.Place, "%q is no trouble; there are %v", section.Kind.Text, faultKinds())
		}
		fault := Fault{Kind: section.Kind.Text, At: duration(section.At), Duration: duration(section.Duration),
			Fraction: section.Fraction.Value, Size: section.Size.Value}
		if section.Zone.Set() {
			var err error
			if fault.Zone, err = strictyaml.Choose(source, section.Zone, zones...); err != nil {
				return nil, err
			}
		}
		faults = append(faults, fault)
	}
	return faults, nil
}
