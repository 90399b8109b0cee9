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
// single host can sustain. Faults without a counterpart are left out and named on out.
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
func (d *simulatedDay) counterpart(simulated *simulatedFault) (fault faults.Fault, ok bool) {
	fault = faults.Fault{
		At:       microseconds(simulated.At),
		Duration: microseconds(simulated.Duration),
		Size:     simulated.Size,
		Fraction: float64(len(simulated.On)) / float64(len(d.Servers)),
	}
	switch simulated.Kind {
	case "mass_restart":
		fault.Kind = faults.KindCrash
	case "vanish":
		fault.Kind = faults.KindFreezeAndRestart
	case "slow":
		fault.Kind = faults.KindSlow
	case "grow", "deploy":
		d.setStepwise(simulated, &fault)
	case "class_fail":
		fault.Kind, fault.Size = faults.KindWorkloadIgnored, float64(simulated.Which)
	case "throttle":
		fault.Kind, fault.Size = faults.KindTenantThrottled, float64(simulated.Which)
	case "burst":
		fault.Kind = faults.KindBurst
	case "heavy_tail":
		fault.Kind, fault.Fraction, fault.Size = faults.KindMemoryGrowth, 0.5, 1.6
	case "reconnect":
		fault.Kind, fault.Fraction = faults.KindClientRetries, simulated.Size
	case "balancer_crash":
		fault.Kind, fault.Fraction = faults.KindSchedulersKilled, float64(len(simulated.On))/float64(len(d.Schedulers))
	case "discovery_down":
		fault.Kind = faults.KindListUnavailable
	case "discovery_stale":
		fault.Kind, fault.Size = faults.KindListStale, min(10, max(2, simulated.Size))
	case "answer_lost":
		fault.Kind, fault.Size = faults.KindLostAccepts, min(0.9, simulated.Size)
	default:
		return fault, false
	}
	return fault, true
}

// setStepwise sets the kind, fraction and size of a fault that starts machines in steps.
func (d *simulatedDay) setStepwise(simulated *simulatedFault, fault *faults.Fault) {
	const largestFraction = 0.9
	started := 0
	for _, step := range simulated.Steps {
		started += len(step.Start)
	}
	fault.Fraction = min(largestFraction, float64(started)/float64(len(d.Servers)))
	fault.Kind, fault.Size = faults.KindRollingDeploy, 1/float64(max(1, len(simulated.Steps)))*fault.Fraction
	if simulated.Kind == "grow" {
		fault.Kind = faults.KindFleetGrowth
	}
}
