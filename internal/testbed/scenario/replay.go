package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"glenport/internal/testbed/faults"
	"glenport/internal/testbed/report"
)

// simulatedDay is the part of a simulated day that a replay uses: its length, its fleet and its faults.
type simulatedDay struct {
	Site       string            `json:"site"`
	Length     int64             `json:"length"` // microseconds
	Servers    []json.RawMessage `json:"servers"`
	Schedulers []json.RawMessage `json:"balancers"`
	Faults     []simulatedFault  `json:"troubles"`
}

// simulatedFault is one fault of a simulated day; times are in microseconds.
type simulatedFault struct {
	Kind     string          `json:"kind"`
	At       int64           `json:"at"`
	Duration int64           `json:"len"`
	Size     float64         `json:"size"`
	Extra    float64         `json:"extra"`
	On       []int           `json:"on"`
	Which    int             `json:"which"`
	How      string          `json:"how"`
	Steps    []simulatedStep `json:"steps"`
}

type simulatedStep struct {
	Start []int `json:"start"`
	Stop  []int `json:"stop"`
}

// LoadReplay returns a scenario with the faults of a simulated day: the same kinds at the same times, of the same
// duration and on the same fractions of the fleet. The cluster is that of a scenario file, and the rate is one that a
// single machine can handle. Faults without a counterpart are left out and written to out.
func LoadReplay(path, scenarioPath string, rate float64, out io.Writer) (*Scenario, error) {
	day, err := readSimulatedDay(path)
	if err != nil {
		return nil, err
	}
	s, err := Load(scenarioPath)
	if err != nil {
		return nil, err
	}
	s.Name, s.Rate, s.Length, s.Faults = day.Site, rate, microseconds(day.Length), nil
	machines := 0
	for _, c := range s.MachineCounts {
		machines += c.PerZone * len(s.Zones)
	}
	report.Printf(out, "replay of a day of %s, SCALED DOWN: %d machines for %d, %d schedulers for %d, "+
		"%.0f submissions per second\n",
		day.Site, machines, len(day.Servers), s.Schedulers, len(day.Schedulers), rate)
	for i := range day.Faults {
		simulated := &day.Faults[i]
		fault, ok := day.counterpart(simulated)
		kind, at := simulated.Kind, fault.At.Seconds()
		if !ok {
			report.Printf(out, "left out: %s at %.1f s has no counterpart in the testbed\n", kind, at)
			continue
		}
		report.Printf(out, "%s at %.1f s is played as %s%s\n", kind, at, fault.Kind, fault.Describe(s.Zones))
		s.Faults = append(s.Faults, fault)
	}
	return s, nil
}

func readSimulatedDay(path string) (*simulatedDay, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var day simulatedDay
	if err := json.Unmarshal(data, &day); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if day.Length <= 0 || len(day.Servers) == 0 || len(day.Schedulers) == 0 {
		return nil, fmt.Errorf("%s is not a simulated day: length, servers or balancers are missing", path)
	}
	return &day, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// counterpart returns the scenario fault that corresponds most closely; ok reports whether there is one.
func (d *simulatedDay) counterpart(t *simulatedFault) (f faults.Fault, ok bool) {
	f = faults.Fault{
		At:       microseconds(t.At),
		Duration: microseconds(t.Duration),
		Size:     t.Size,
		Fraction: float64(len(t.On)) / float64(len(d.Servers)),
	}
	switch t.Kind {
	case "mass_restart":
		f.Kind = faults.KindCrash
	case "vanish":
		f.Kind = faults.KindFreezeAndRestart
	case "slow":
		f.Kind = faults.KindSlow
	case "grow", "deploy":
		d.setStepwise(t, &f)
	case "class_fail":
		f.Kind, f.Size = faults.KindWorkloadIgnored, float64(t.Which)
	case "throttle":
		f.Kind, f.Size = faults.KindTenantThrottled, float64(t.Which)
	case "burst":
		f.Kind = faults.KindBurst
	case "heavy_tail":
		f.Kind, f.Fraction, f.Size = faults.KindMemoryGrowth, 0.5, 1.6
	case "reconnect":
		f.Kind, f.Fraction = faults.KindClientRetries, t.Size
	case "balancer_crash":
		f.Kind, f.Fraction = faults.KindSchedulersKilled, float64(len(t.On))/float64(len(d.Schedulers))
	case "discovery_down":
		f.Kind = faults.KindListUnavailable
	case "discovery_stale":
		f.Kind, f.Size = faults.KindListStale, min(10, max(2, t.Size))
	case "answer_lost":
		f.Kind, f.Size = faults.KindLostAccepts, min(0.9, t.Size)
	default:
		return f, false
	}
	return f, true
}

// setStepwise sets the kind, fraction and size of a fault that starts machines in steps.
func (d *simulatedDay) setStepwise(t *simulatedFault, f *faults.Fault) {
	const largestFraction = 0.9
	started := 0
	for _, step := range t.Steps {
		started += len(step.Start)
	}
	f.Fraction = min(largestFraction, float64(started)/float64(len(d.Servers)))
	f.Kind, f.Size = faults.KindRollingDeploy, 1/float64(max(1, len(t.Steps)))*f.Fraction
	if t.Kind == "grow" {
		f.Kind = faults.KindFleetGrowth
	}
}
