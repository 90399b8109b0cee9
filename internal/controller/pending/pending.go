// Package pending answers why a container is not running now: from what the keeper, a placer and the list know,
// all reasons that hold, the most telling first. It is pure and keeps nothing.
package pending

import (
	"fmt"
	"sort"
	"strings"

	"glenport/internal/controller"
	"glenport/scheduler"
)

// Code names a reason; codes do not change.
type Code string

const (
	CodeNoScheduler          Code = "no_placer"     // no placer can be reached
	CodeSchedulerUnreachable Code = "placer_away"   // the one that must answer
	CodeFencing              Code = "guard"         // it may run; a second copy must not
	CodeOutcomeUnknown       Code = "unsure"        // a placer does not know yet, or its machine has not told
	CodeNoMachine            Code = "no_machine"    // none of the needed kind and size is in service
	CodeZoneDraining         Code = "hall_drains"   // a whole hall drains
	CodeNoCapacity           Code = "no_room"       // every machine that may take it is full
	CodeSpreadExhausted      Code = "spread_full"   // where it may run there are as many of its service as allowed
	CodeSlowStartExhausted   Code = "cold_budget"   // machines that came up may not take more yet
	CodeMachinesEjected      Code = "machines_sick" // machines are left out by their health
	CodeLoadShedding         Code = "low_gain"      // the fleet is over-asked, and it gains little
	CodeBackingOff           Code = "backing_off"   // the next try is at a known time
	CodeMachineListStale     Code = "list_away"     // the list of machines has not been heard for long
	CodePlacing              Code = "being_placed"  // a placer is at it
	CodeRefused              Code = "turned_away"   // a placer's door is at its bounds
	CodeUnobserved           Code = "unwatched"     // it ran when its placer was lost
	CodeUnknown              Code = "unknown"       // no placer has answered yet
)

// Reason is one, in words and figures; Until is 0 where its end is not known.
type Reason struct {
	Code    Code               `json:"code"`
	Text    string             `json:"text"`
	Details map[string]float64 `json:"figures,omitempty"`
	Until   scheduler.Time     `json:"-"`
}

// Zone is what the list says of a hall.
type Zone struct {
	Name               string
	Machines, Draining int
}

// Facts are what is known of a container, as of now.
type Facts struct {
	Container           controller.Container
	SchedulersConnected int
	Schedulers          int
	SchedulerConnected  bool // that of the placer asked last
	Explained           bool // a placer has explained; the next two are then its words
	Explanation         scheduler.Explanation
	ListAge             scheduler.Time // as that placer has it; below 0: it never heard the list
	Zones               []Zone
	SlowStartWindow     scheduler.Time
}

const listIsAway = 4 * scheduler.Second // a list that lives beats each second

// Explain returns the reasons in order of rank. A container that runs, or is done, has none.
func Explain(now scheduler.Time, f Facts) []Reason {
	c := &f.Container
	if c.State == controller.StateRunning || c.State == controller.StateCompleted {
		return nil
	}
	var all []Reason
	add := func(code Code, until scheduler.Time, figures map[string]float64, format string, a ...any) {
		all = append(all, Reason{code, fmt.Sprintf(format, a...), figures, until})
	}
	left := max(0, c.Until-now)
	switch {
	case f.SchedulersConnected == 0:
		add(CodeNoScheduler, 0, map[string]float64{"placers": float64(f.Schedulers)}, "None of the %d placers can be reached.", f.Schedulers)
	case (c.Sticky || c.State == controller.StateUnobserved || c.State == controller.StateFencing) && !f.SchedulerConnected:
		add(CodeSchedulerUnreachable, 0, nil, "The placer that knows whether it runs cannot be reached.")
	}
	switch c.State {
	case controller.StateFencing:
		add(CodeFencing, c.Until, seconds("seconds", left), "It may have been started (%s). A second copy must not run, so nothing is done for another %.1f s.",
			c.LastStatus, secs(left))
	case controller.StateUnobserved:
		add(CodeUnobserved, c.Until, nil, "It ran when its placer was lost; whether it still does is not known.")
	case controller.StatePlacing:
		add(CodePlacing, 0, seconds("seconds", now-c.Since), "A placer has been at it for %.1f s.", secs(now-c.Since))
	case controller.StatePending:
		switch {
		case c.Refused && strings.Contains(c.LastStatus, "may run on machine") || c.Refused && strings.Contains(c.LastStatus, "does not know yet"):
			add(CodeOutcomeUnknown, c.Until, nil, "A placer cannot tell yet whether it runs (%s).", c.LastStatus)
		case c.Refused:
			add(CodeRefused, c.Until, nil, "A placer takes no more (%s).", c.LastStatus)
		}
		if c.Until > 0 && c.Attempts > 0 {
			add(CodeBackingOff, c.Until, map[string]float64{"seconds": secs(left), "tries": float64(c.Attempts)},
				"It was %s; after %d tries the next is in %.1f s.", c.LastStatus, c.Attempts, secs(left))
		}
	}
	if !f.Explained {
		if len(all) == 0 {
			add(CodeUnknown, 0, nil, "It has just been asked for, and no placer has answered yet.")
		}
		return rank(all)
	}
	all = append(all, f.fleet()...)
	return rank(all)
}

// fleet holds the reasons that lie with the machines: what keeps a container from each of them.
func (f *Facts) fleet() (all []Reason) {
	x := &f.Explanation
	add := func(code Code, figures map[string]float64, format string, a ...any) {
		all = append(all, Reason{code, fmt.Sprintf(format, a...), figures, 0})
	}
	if f.ListAge < 0 || f.ListAge > listIsAway {
		add(CodeMachineListStale, seconds("seconds", max(0, f.ListAge)), "The list of machines has not been heard for %.0f s; what is known may be old.",
			secs(max(0, f.ListAge)))
	}
	for _, h := range f.Zones {
		if h.Machines > 0 && h.Draining == h.Machines {
			add(CodeZoneDraining, map[string]float64{"machines": float64(h.Machines)}, "Hall %s is under maintenance: all of its %d machines drain.",
				h.Name, h.Machines)
		}
	}
	if x.Eligible > 0 {
		if x.SheddingLoad {
			add(CodeLoadShedding, map[string]float64{"share_without_room": x.FullRatio},
				"%.0f%% of recent bids found no room, and other work gains more.", 100*x.FullRatio)
		}
		return all
	}
	fit := x.Machines - x.WrongMachineType - x.TooSmall
	in := fit - x.Draining
	switch {
	case fit == 0:
		add(CodeNoMachine, count("machines", x.Machines), "None of the %d machines is of the kind and size it needs.", x.Machines)
	case in == 0:
		add(CodeNoMachine, map[string]float64{"machines": float64(fit), "draining": float64(x.Draining)},
			"All %d machines that could run it drain.", fit)
	}
	if n := x.InsufficientCores + x.InsufficientMemory; n > 0 {
		short := "cores"
		if x.InsufficientMemory > x.InsufficientCores {
			short = "memory"
		}
		add(CodeNoCapacity, map[string]float64{"machines": float64(in), "full": float64(n), "short_of_cores": float64(x.InsufficientCores),
			"short_of_memory": float64(x.InsufficientMemory)}, "%d of %d machines have no room: %s is short (%d lack cores, %d memory).", n, in,
			short, x.InsufficientCores, x.InsufficientMemory)
	}
	if x.SpreadExhausted > 0 {
		add(CodeSpreadExhausted, map[string]float64{"machines": float64(x.SpreadExhausted), "of": float64(in)},
			"On %d of %d machines its service has as many containers as its spread allows.", x.SpreadExhausted, in)
	}
	if x.SlowStartExhausted > 0 {
		add(CodeSlowStartExhausted, map[string]float64{"machines": float64(x.SlowStartExhausted), "window_seconds": secs(f.SlowStartWindow)},
			"%d machines have just come up and may not take more yet; their budget is renewed every %.1f s.", x.SlowStartExhausted, secs(f.SlowStartWindow))
	}
	if n := x.Ejected + x.Suspected + x.SelfDraining; n > 0 {
		add(CodeMachinesEjected, map[string]float64{"resting": float64(x.Ejected), "shun_it": float64(x.Suspected), "closing": float64(x.SelfDraining)},
			"%d machines are left out: %d look sick, %d leave this work unanswered, %d send work away.", n, x.Ejected, x.Suspected, x.SelfDraining)
	}
	if x.SheddingLoad {
		add(CodeLoadShedding, map[string]float64{"share_without_room": x.FullRatio}, "%.0f%% of recent bids found no room, and other work gains more.",
			100*x.FullRatio)
	}
	return all
}

var order = []Code{CodeNoScheduler, CodeSchedulerUnreachable, CodeFencing, CodeOutcomeUnknown, CodeUnobserved, CodeNoMachine, CodeZoneDraining, CodeNoCapacity, CodeSpreadExhausted, CodeSlowStartExhausted, CodeMachinesEjected,
	CodeLoadShedding, CodeMachineListStale, CodeRefused, CodeBackingOff, CodePlacing, CodeUnknown}

func rank(all []Reason) []Reason {
	place := map[Code]int{}
	for i, c := range order {
		place[c] = i
	}
	sort.SliceStable(all, func(i, j int) bool { return place[all[i].Code] < place[all[j].Code] })
	return all
}

func secs(t scheduler.Time) float64 { return float64(t) / float64(scheduler.Second) }

func seconds(name string, t scheduler.Time) map[string]float64 {
	return map[string]float64{name: secs(t)}
}

func count(name string, n int) map[string]float64 { return map[string]float64{name: float64(n)} }
