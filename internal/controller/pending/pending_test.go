package pending

import (
	"slices"
	"strings"
	"testing"

	"glenport/internal/controller"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

const second = scheduler.Second

// fleet are the facts about a container that was rejected twice, at 5 s, with an explanation that is of ten machines.
func fleet(x scheduler.Explanation) Facts {
	x.Machines = 10
	return Facts{
		Container: controller.Container{
			State: controller.StatePending, Until: 7 * second, Attempts: 2, LastStatus: "pushed back",
		},
		Schedulers: 2, SchedulersConnected: 2, SchedulerConnected: true, Explained: true,
		Explanation: x, SlowStartWindow: 3 * second,
	}
}

// fullFleet are the facts where no machine has room, with a change.
func fullFleet(change func(f *Facts)) Facts {
	f := fleet(explanation{InsufficientCores: 2, InsufficientMemory: 8})
	change(&f)
	return f
}

// refused are the facts about a container that a scheduler has refused, in a full fleet.
func refused(message string) Facts {
	return fullFleet(func(f *Facts) { f.Container.Refused, f.Container.LastStatus = true, "turned away: "+message })
}

// inState are the facts about a container in a state of the controller, with a scheduler that was not asked.
func inState(state controller.ContainerState) Facts {
	return Facts{Container: controller.Container{State: state}, SchedulersConnected: 1}
}

type explanation = scheduler.Explanation

// explainCase is what is known, the codes of all reasons in order, and a part of their texts.
type explainCase struct {
	name     string
	facts    Facts
	codes    string
	contains string
}

func (tc explainCase) run(t *testing.T) {
	t.Helper()
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
		{"running", inState(controller.StateRunning), "", ""},
		{"just requested", inState(controller.StatePending), "unknown", ""},
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
		{"refused, machine silent", refused(mayRun.Error()), "unsure no_room backing_off", "may run on machine m"},
		{"refused, recovering", refused(recovering.Error()), "unsure no_room backing_off", "does not know yet"},
		{"refused, too many requests", refused("9 containers are open"), "no_room turned_away backing_off", ""},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestReasonsFollowTheFleet(t *testing.T) {
	manyReasons := fleet(explanation{Draining: 4, InsufficientMemory: 2, SpreadExhausted: 3, SlowStartExhausted: 1})
	manyReasons.Zones = []Zone{{"north", 4, 4}, {"south", 6, 0}}
	noCapacity := fullFleet(func(*Facts) {})
	stale := fullFleet(func(f *Facts) { f.ListAge = 9 * second })
	backingOff := fleet(explanation{Eligible: 1, InsufficientCores: 9})
	wrongType := fleet(explanation{WrongMachineType: 10})
	draining := fleet(explanation{WrongMachineType: 6, Draining: 4})
	spread := fleet(explanation{SpreadExhausted: 10})
	slowStart := fleet(explanation{SlowStartExhausted: 10})
	ejected := fleet(explanation{Ejected: 4, Suspected: 6})
	shedding := fleet(explanation{Eligible: 2, SheddingLoad: true, FullRatio: 0.4})
	const noRoom = "10 of 10 machines have no room: memory is short (2 lack cores, 8 memory)"
	for _, tc := range []explainCase{
		{"no capacity", noCapacity, "no_room backing_off", noRoom},
		{"capacity, and the backoff is not over", backingOff, "backing_off", "after 2 tries the next is in 2.0 s"},
		{"no machine of its type", wrongType, "no_machine backing_off", "None of the 10 machines"},
		{"machines of its type drain", draining, "no_machine backing_off", "All 4 machines that could run it drain"},
		{"spread exhausted", spread, "spread_full backing_off", "On 10 of 10 machines"},
		{"slow start exhausted", slowStart, "cold_budget backing_off", "every 3.0 s"},
		{"machines ejected", ejected, "machines_sick backing_off", "4 look sick, 6 leave"},
		{"load is shed", shedding, "low_gain backing_off", "40%"},
		{"stale machine list", stale, "no_room list_away backing_off", "not been heard for 9 s"},
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
	testutil.Expect(t, len(byRank) == 17, "%d ranks, want 17", len(byRank))
}
