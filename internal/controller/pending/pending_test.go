package pending

import (
	"slices"
	"strings"
	"testing"

	"glenport/internal/controller"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

const second = scheduler.Second

// explained are the facts about a container that was rejected twice, at 5 s, in a fleet of ten machines.
func explained(change func(x *scheduler.Explanation)) Facts {
	x := scheduler.Explanation{Machines: 10}
	change(&x)
	container := controller.Container{
		State:      controller.StatePending,
		Until:      7 * second,
		Attempts:   2,
		LastStatus: "pushed back",
	}
	return Facts{
		Container: container, Schedulers: 2, SchedulersConnected: 2, SchedulerConnected: true, Explained: true,
		Explanation: x, SlowStartWindow: 3 * second,
	}
}

// fullFleet are the facts where no machine has room, with a change.
func fullFleet(change func(f *Facts)) Facts {
	f := explained(func(x *scheduler.Explanation) { x.InsufficientCores, x.InsufficientMemory = 2, 8 })
	change(&f)
	return f
}

// refused are the facts about a container that a scheduler has refused, in a full fleet.
func refused(message string) Facts {
	return fullFleet(func(f *Facts) { f.Container.Refused, f.Container.LastStatus = true, "turned away: "+message })
}

// explainCase is what is known, the codes of all reasons in order, and a part of their texts.
type explainCase struct {
	name     string
	facts    Facts
	codes    string
	contains string
}

func (tc explainCase) run(t *testing.T) {
	var codes, texts []string
	for _, r := range Explain(5*second, tc.facts) {
		codes = append(codes, string(r.Code))
		texts = append(texts, r.Text)
	}
	if got := strings.Join(codes, " "); got != tc.codes {
		t.Errorf("got %s, want %s; %s", got, tc.codes, texts)
	}
	if all := strings.Join(texts, " "); !strings.Contains(all, tc.contains) {
		t.Errorf("got %q, want %q in it", all, tc.contains)
	}
}

func TestReasonsFollowTheStateOfTheController(t *testing.T) {
	mayRun := &recovery.MayRunError{Key: "k", Machine: "m", SilentFor: 900 * scheduler.Millisecond}
	recovering := &recovery.RecoveringError{Uptime: second}
	for _, tc := range []explainCase{
		{"running", Facts{Container: controller.Container{State: controller.StateRunning}}, "", ""},
		{"just requested", Facts{Container: controller.Container{State: controller.StatePending}, SchedulersConnected: 1}, "unknown", ""},
		{"fencing", fullFleet(func(f *Facts) {
			f.Container.State, f.Container.Until = controller.StateFencing, 11*second
		}), "guard no_room", "for another 6.0 s"},
		{"no scheduler connected", fullFleet(func(f *Facts) {
			f.SchedulersConnected, f.Explained, f.Container.Until, f.SchedulerConnected = 0, false, 0, false
		}), "no_placer", "None of the 2 placers"},
		{"the scheduler that can know is not connected", fullFleet(func(f *Facts) {
			f.Container.Sticky, f.SchedulerConnected, f.Explained = true, false, false
		}), "placer_away backing_off", ""},
		{"being placed", fullFleet(func(f *Facts) {
			f.Container.State, f.Explained, f.Container.Since = controller.StatePlacing, false, 4*second
		}), "being_placed", "for 1.0 s"},
		{"refused, as a machine has not reported", refused(mayRun.Error()), "unsure no_room backing_off", "may run on machine m"},
		{"refused, as the scheduler has just started", refused(recovering.Error()), "unsure no_room backing_off", "does not know yet"},
		{"refused, as the client has too many requests", refused("9 containers are open"), "no_room turned_away backing_off", ""},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestReasonsFollowTheFleet(t *testing.T) {
	unchanged := func(*Facts) {}
	manyReasons := explained(func(x *scheduler.Explanation) {
		x.Draining, x.InsufficientMemory, x.SpreadExhausted, x.SlowStartExhausted = 4, 2, 3, 1
	})
	manyReasons.Zones = []Zone{{"north", 4, 4}, {"south", 6, 0}}
	for _, tc := range []explainCase{
		{
			"no capacity", fullFleet(unchanged), "no_room backing_off",
			"10 of 10 machines have no room: memory is short (2 lack cores, 8 memory)",
		},
		{
			"capacity, and the backoff is not over", explained(func(x *scheduler.Explanation) { x.Eligible, x.InsufficientCores = 1, 9 }),
			"backing_off", "after 2 tries the next is in 2.0 s",
		},
		{
			"no machine of its type", explained(func(x *scheduler.Explanation) { x.WrongMachineType = 10 }), "no_machine backing_off",
			"None of the 10 machines",
		},
		{
			"machines of its type drain", explained(func(x *scheduler.Explanation) { x.WrongMachineType, x.Draining = 6, 4 }),
			"no_machine backing_off", "All 4 machines that could run it drain",
		},
		{
			"spread exhausted", explained(func(x *scheduler.Explanation) { x.SpreadExhausted = 10 }), "spread_full backing_off",
			"On 10 of 10 machines",
		},
		{
			"slow start exhausted", explained(func(x *scheduler.Explanation) { x.SlowStartExhausted = 10 }), "cold_budget backing_off",
			"every 3.0 s",
		},
		{
			"machines ejected", explained(func(x *scheduler.Explanation) { x.Ejected, x.Suspected = 4, 6 }), "machines_sick backing_off",
			"4 look sick, 6 leave",
		},
		{
			"load is shed", explained(func(x *scheduler.Explanation) { x.Eligible, x.SheddingLoad, x.FullRatio = 2, true, 0.4 }),
			"low_gain backing_off", "40%",
		},
		{
			"stale machine list", fullFleet(func(f *Facts) { f.ListAge = 9 * second }), "no_room list_away backing_off",
			"not been heard for 9 s",
		},
		{
			"four at once", manyReasons, "hall_drains no_room spread_full cold_budget backing_off",
			"Hall north is under maintenance: all of its 4 machines drain",
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestEachCodeHasOneRank(t *testing.T) {
	codes := slices.Clone(byRank)
	slices.Sort(codes)
	if unique := slices.Compact(codes); len(unique) != 17 {
		t.Errorf("%d codes have a rank, want 17: %s", len(unique), unique)
	}
	if len(byRank) != 17 {
		t.Errorf("%d ranks, want 17", len(byRank))
	}
}
