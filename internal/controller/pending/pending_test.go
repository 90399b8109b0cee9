package pending

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/controller"
	"glenport/scheduler"
)

const sec = scheduler.Second

// Each case is what is known and the codes that must be told, in order.
func TestExplain(t *testing.T) {
	fleet := func(f func(x *scheduler.Explanation)) Facts {
		x := scheduler.Explanation{Machines: 10}
		f(&x)
		return Facts{Container: controller.Container{State: controller.StatePending, Until: 7 * sec, Attempts: 2, LastStatus: "pushed back"}, Schedulers: 2,
			SchedulersConnected: 2, SchedulerConnected: true, Explained: true, Explanation: x, SlowStartWindow: 3 * sec}
	}
	with := func(f Facts, change func(f *Facts)) Facts { change(&f); return f }
	full := fleet(func(x *scheduler.Explanation) { x.InsufficientCores, x.InsufficientMemory = 2, 8 })
	for _, tc := range []struct {
		name  string
		facts Facts
		want  string
		says  string
	}{
		{"runs", Facts{Container: controller.Container{State: controller.StateRunning}}, "", ""},
		{"just asked for", Facts{Container: controller.Container{State: controller.StatePending}, SchedulersConnected: 1}, "unknown", ""},
		{"no room", full, "no_room backing_off", "10 of 10 machines have no room: memory is short (2 lack cores, 8 memory)"},
		{"room, and its time has not come", fleet(func(x *scheduler.Explanation) { x.Eligible, x.InsufficientCores = 1, 9 }), "backing_off",
			"after 2 tries the next is in 2.0 s"},
		{"wrong kind", fleet(func(x *scheduler.Explanation) { x.WrongMachineType = 10 }), "no_machine backing_off", "None of the 10 machines"},
		{"its kind drains", fleet(func(x *scheduler.Explanation) { x.WrongMachineType, x.Draining = 6, 4 }), "no_machine backing_off",
			"All 4 machines that could run it drain"},
		{"spread", fleet(func(x *scheduler.Explanation) { x.SpreadExhausted = 10 }), "spread_full backing_off", "On 10 of 10 machines"},
		{"cold", fleet(func(x *scheduler.Explanation) { x.SlowStartExhausted = 10 }), "cold_budget backing_off", "every 3.0 s"},
		{"sick", fleet(func(x *scheduler.Explanation) { x.Ejected, x.Suspected = 4, 6 }), "machines_sick backing_off", "4 look sick, 6 leave"},
		{"over-asked", fleet(func(x *scheduler.Explanation) { x.Eligible, x.SheddingLoad, x.FullRatio = 2, true, 0.4 }), "low_gain backing_off", "40%"},
		{"the list is away", with(full, func(f *Facts) { f.ListAge = 9 * sec }), "no_room list_away backing_off", "not been heard for 9 s"},
		{"guarded", with(full, func(f *Facts) { f.Container.State = controller.StateFencing; f.Container.Until = 11 * sec }), "guard no_room",
			"for another 6.0 s"},
		{"no placer", with(full, func(f *Facts) {
			f.SchedulersConnected, f.Explained, f.Container.Until, f.SchedulerConnected = 0, false, 0, false
		}), "no_placer",
			"None of the 2 placers"},
		{"the placer that knows is away", with(full, func(f *Facts) { f.Container.Sticky, f.SchedulerConnected, f.Explained = true, false, false }),
			"placer_away backing_off", ""},
		{"being placed", with(full, func(f *Facts) {
			f.Container.State, f.Explained, f.Container.Since = controller.StatePlacing, false, 4*sec
		}),
			"being_placed", "for 1.0 s"},
		{"a silent machine", with(full, func(f *Facts) {
			f.Container.Refused, f.Container.LastStatus = true, "turned away: key k may run on machine m, which has not told since 900 ms"
		}), "unsure no_room backing_off", "may run on machine m"},
		{"the door is full", with(full, func(f *Facts) {
			f.Container.Refused, f.Container.LastStatus = true, "turned away: 9 containers are open"
		}),
			"no_room turned_away backing_off", ""},
		{"four at once", with(fleet(func(x *scheduler.Explanation) {
			x.Draining, x.InsufficientMemory, x.SpreadExhausted, x.SlowStartExhausted = 4, 2, 3, 1
		}),
			func(f *Facts) { f.Zones = []Zone{{"north", 4, 4}, {"south", 6, 0}} }),
			"hall_drains no_room spread_full cold_budget backing_off", "Hall north is under maintenance: all of its 4 machines drain"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var codes, words []string
			for _, r := range Explain(5*sec, tc.facts) {
				codes = append(codes, string(r.Code))
				words = append(words, r.Text)
			}
			if got := strings.Join(codes, " "); got != tc.want || !strings.Contains(fmt.Sprint(words), tc.says) {
				t.Errorf("got %s, want %s; %s", got, tc.want, words)
			}
		})
	}
}
