package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// simulatedDay is what a replay takes of a simulated day: its length, its fleet and its troubles.
type simulatedDay struct {
	Site     string            `json:"site"`
	Length   int64             `json:"length"` // microseconds
	Servers  []json.RawMessage `json:"servers"`
	Placers  []json.RawMessage `json:"balancers"`
	Troubles []struct {
		Kind  string  `json:"kind"`
		At    int64   `json:"at"`
		Len   int64   `json:"len"`
		Size  float64 `json:"size"`
		Extra float64 `json:"extra"`
		On    []int   `json:"on"`
		Which int     `json:"which"`
		How   string  `json:"how"`
		Steps []struct {
			Start []int `json:"start"`
			Stop  []int `json:"stop"`
		} `json:"steps"`
	} `json:"troubles"`
}

// LoadReplay makes a day of the troubles of a simulated day: the same kinds at the same times and for as long, on
// the same parts of the fleet, with the cluster of the day file and a load that one machine bears. What has no
// like here is named and left out.
func LoadReplay(path, dayPath string, rate float64, out io.Writer) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s simulatedDay
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Length <= 0 || len(s.Servers) == 0 || len(s.Placers) == 0 {
		return nil, fmt.Errorf("%s is no simulated day: it has no length, servers or balancers", path)
	}
	d, err := Load(dayPath)
	if err != nil {
		return nil, err
	}
	d.Name, d.Rate, d.Length, d.Faults = s.Site, rate, time.Duration(s.Length)*time.Microsecond, nil
	machines := 0
	for _, c := range d.MachineCounts {
		machines += c.perZone * len(d.Zones)
	}
	fmt.Fprintf(out, "replay of a day of %s, SCALED DOWN: %d machines for %d, %d placers for %d, %.0f submissions a second\n",
		s.Site, machines, len(s.Servers), d.Schedulers, len(s.Placers), rate)
	for _, t := range s.Troubles {
		x := Fault{At: time.Duration(t.At) * time.Microsecond, Duration: time.Duration(t.Len) * time.Microsecond,
			Size: t.Size, Fraction: float64(len(t.On)) / float64(len(s.Servers))}
		switch t.Kind {
		case "mass_restart":
			x.Kind = "crash"
		case "vanish":
			x.Kind = "silence, then cold"
		case "slow":
			x.Kind = "slow"
		case "grow", "deploy":
			touched := 0
			for _, step := range t.Steps {
				touched += len(step.Start)
			}
			x.Fraction = min(0.9, float64(touched)/float64(len(s.Servers)))
			x.Kind, x.Size = "rolling deploy", 1/float64(max(1, len(t.Steps)))*x.Fraction
			if t.Kind == "grow" {
				x.Kind = "fleet grows"
			}
		case "class_fail":
			x.Kind, x.Size = "workload unanswered", float64(t.Which)
		case "throttle":
			x.Kind, x.Size = "customer turned away", float64(t.Which)
		case "burst":
			x.Kind = "burst"
		case "heavy_tail":
			x.Kind, x.Fraction, x.Size = "memory swells", 0.5, 1.6
		case "reconnect":
			x.Kind, x.Fraction = "asked again", t.Size
		case "balancer_crash":
			x.Kind, x.Fraction = "placers killed", float64(len(t.On))/float64(len(s.Placers))
		case "discovery_down":
			x.Kind = "list away"
		case "discovery_stale":
			x.Kind, x.Size = "list stale", min(10, max(2, t.Size))
		case "answer_lost":
			x.Kind, x.Size = "answers lost", min(0.9, t.Size)
		default:
			fmt.Fprintf(out, "left out: %s at %.1f s has no like on the sockets\n", t.Kind, x.At.Seconds())
			continue
		}
		fmt.Fprintf(out, "%s at %.1f s is played as: %s%s\n", t.Kind, x.At.Seconds(), x.Kind, x.describe(d))
		d.Faults = append(d.Faults, x)
	}
	return d, nil
}
