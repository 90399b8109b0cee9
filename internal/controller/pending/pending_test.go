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

// fleetFacts returns the facts about a pending container after two rejections, whose next request is due in 2 s, with
// an explanation that covers ten machines.
func fleetFacts(x scheduler.Explanation) Facts {
	x.Machines = 10
	return Facts{
		Container: controller.Container{
			State: controller.StatePending, NextStepAt: 7 * second, Attempts: 2, LastStatus: "pushed back",
		},
		Schedulers: 2, SchedulersConnected: 2, SchedulerConnected: true, HasExplanation: true,
		Explanation: x, SlowStartWindow: 3 * second,
	}
}

// fullFleetFacts returns the facts about a container for which no machine has capacity, after a change.
func fullFleetFacts(change func(f *Facts)) Facts {
	f := fleetFacts(explanation{InsufficientCores: 2, InsufficientMemory: 8})
	change(&f)
	return f
}

// refusedFacts returns the facts about a container that a scheduler has refused, in a full fleet.
func refusedFacts(message string) Facts {
	return fullFleetFacts(func(f *Facts) {
		f.Container.WasRefused, f.Container.LastStatus = true, "turned away: "+message
	})
}

// factsInState returns the facts about a container in a state of the controller, without an explanation from the
// connected scheduler.
func factsInState(state controller.ContainerState) Facts {
	return Facts{Container: controller.Container{State: state}, SchedulersConnected: 1}
}

type explanation = scheduler.Explanation

// explainCase gives the facts, the expected codes of all reasons in order, and a part of the texts.
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
	got := strings.Join(codes, " ")
	testutil.Expect(t, got == tc.codes, "got codes %s, want %s; texts %s", got, tc.codes, texts)
	all := strings.Join(texts, " ")
	testutil.Expect(t, strings.Contains(all, tc.contains), "got texts %q, want %q in them", all, tc.contains)
}

func TestReasonsFollowTheStateOfTheController(t *testing.T) {
	mayRun := &recovery.MayRunError{Key: "k", Machine: "m", SilentFor: 900 * scheduler.Millisecond}
	recovering := &recovery.RecoveringError{Uptime: second}
	for _, tc := range []explainCase{
		{"running", factsInState(controller.StateRunning), "", ""},
		{"just requested", factsInState(controller.StatePending), "unknown", ""},
		{"fencing", fullFleetFacts(func(f *Facts) {
			f.Container.State, f.Container.NextStepAt = controller.StateFencing, 11*second
		}), "guard no_room", "for another 6.0 s"},
		{"no scheduler connected", fullFleetFacts(func(f *Facts) {
			f.SchedulersConnected, f.HasExplanation, f.Container.NextStepAt, f.SchedulerConnected = 0, false, 0, false
		}), "no_placer", "None of the 2 placers"},
		{"the only scheduler that can tell is not connected", fullFleetFacts(func(f *Facts) {
			f.Container.Sticky, f.SchedulerConnected, f.HasExplanation = true, false, false
		}), "placer_away backing_off", ""},
		{"being placed", fullFleetFacts(func(f *Facts) {
			f.Container.State, f.HasExplanation, f.Container.EnteredStateAt = controller.StatePlacing, false, 4*second
		}), "being_placed", "for 1.0 s"},
		{"refused, machine silent", refusedFacts(mayRun.Error()), "unsure no_room backing_off", "may run on machine m"},
		{"refused, recovering", refusedFacts(recovering.Error()), "unsure no_room backing_off", "does not know yet"},
		{"refused, too many requests", refusedFacts("9 containers are open"), "no_room turned_away backing_off", ""},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestReasonsFollowTheFleet(t *testing.T) {
	manyReasons := fleetFacts(explanation{
		Draining: 4, InsufficientMemory: 2, SpreadExhausted: 3, SlowStartExhausted: 1,
	})
	manyReasons.Zones = []Zone{{"north", 4, 4}, {"south", 6, 0}}
	noCapacity := fullFleetFacts(func(*Facts) {})
	stale := fullFleetFacts(func(f *Facts) { f.ListAge = 9 * second })
	backingOff := fleetFacts(explanation{Eligible: 1, InsufficientCores: 9})
	wrongType := fleetFacts(explanation{WrongMachineType: 10})
	draining := fleetFacts(explanation{WrongMachineType: 6, Draining: 4})
	spread := fleetFacts(explanation{SpreadExhausted: 10})
	slowStart := fleetFacts(explanation{SlowStartExhausted: 10})
	ejected := fleetFacts(explanation{Ejected: 4, Suspected: 6})
	shedding := fleetFacts(explanation{Eligible: 2, SheddingLoad: true, FullRatio: 0.4})
	const noRoom = "10 of 10 machines have no room: memory is short (2 lack cores, 8 memory)"
	for _, tc := range []explainCase{
		{"no capacity", noCapacity, "no_room backing_off", noRoom},
		{"capacity, but backing off", backingOff, "backing_off", "after 2 tries the next is in 2.0 s"},
		{"no machine of its type", wrongType, "no_machine backing_off", "None of the 10 machines"},
		{"machines of its type drain", draining, "no_machine backing_off", "All 4 machines that could run it drain"},
		{"spread exhausted", spread, "spread_full backing_off", "On 10 of 10 machines"},
		{"slow start exhausted", slowStart, "cold_budget backing_off", "every 3.0 s"},
		{"machines ejected", ejected, "machines_sick backing_off", "4 look sick, 6 leave"},
		{"load shedding", shedding, "low_gain backing_off", "40%"},
		{"stale machine list", stale, "no_room list_away backing_off", "not been heard for 9 s"},
		{
			"four reasons of the fleet", manyReasons, "hall_drains no_room spread_full cold_budget backing_off",
			"Hall north is under maintenance: all of its 4 machines drain",
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestEachCodeHasOneRank(t *testing.T) {
	codes := slices.Clone(codesByRank)
	slices.Sort(codes)
	unique := slices.Compact(codes)
	testutil.Expect(t, len(unique) == 17, "%d different codes have a rank, want 17: %s", len(unique), unique)
	testutil.Expect(t, len(codesByRank) == 17, "%d ranks, want 17", len(codesByRank))
}
