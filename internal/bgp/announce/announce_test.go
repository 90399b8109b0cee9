package announce

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"glenport/scheduler"

	"pgregory.net/rapid"
)

const sec = scheduler.Second

var web = Service{Prefix: netip.MustParsePrefix("192.0.2.1/32"), NextHop: netip.MustParseAddr("192.0.2.254"), MinRunning: 1}

func show(acts []Action) string {
	var all []string
	for _, a := range acts {
		switch a := a.(type) {
		case Announce:
			all = append(all, fmt.Sprintf("announce %s %d", a.Prefix, a.Path.Preference))
		case Withdraw:
			all = append(all, "withdraw "+a.Prefix.String())
		}
	}
	return strings.Join(all, ", ")
}

// Each history's events come at the seconds given; all that is told is compared, with its time.
func TestHistories(t *testing.T) {
	type at struct {
		sec float64
		e   Event
	}
	offered := at{0, ServiceSet{"web", web}}
	runs := func(s float64, c string) at { return at{s, ContainerRunning{"web", c, false}} }
	ends := func(s float64, c string) at { return at{s, ContainerEnded{"web", c}} }
	other := web
	other.Prefix = netip.MustParsePrefix("192.0.2.2/32")
	two := web
	two.MinRunning = 2
	for _, tc := range []struct {
		name  string
		steps []at
		want  string
	}{
		{"announced with the first, withdrawn with the last", []at{offered, runs(1, "a"), runs(1.2, "b"), ends(5, "a"), ends(6, "b")},
			"1.0 announce 192.0.2.1/32 100; 6.0 withdraw 192.0.2.1/32"},
		{"not offered", []at{runs(1, "a")}, ""},
		{"the last ends at once after the first: within the two seconds", []at{offered, runs(1, "a"), ends(1.1, "a")},
			"1.0 announce 192.0.2.1/32 100; 2.0 withdraw 192.0.2.1/32"},
		{"gone and back within the pace is not told", []at{offered, runs(1, "a"), ends(1.3, "a"), runs(1.6, "a")},
			"1.0 announce 192.0.2.1/32 100"},
		{"a threshold", []at{{0, ServiceSet{"web", two}}, runs(1, "a"), runs(3, "b"), ends(5, "a")},
			"3.0 announce 192.0.2.1/32 100; 5.0 withdraw 192.0.2.1/32"},
		{"all drain: last choice first, then gone", []at{offered, runs(1, "a"), {3, ContainerRunning{"web", "a", true}}, ends(9, "a")},
			"1.0 announce 192.0.2.1/32 100; 3.0 announce 192.0.2.1/32 0; 9.0 withdraw 192.0.2.1/32"},
		{"one of two drains", []at{offered, runs(1, "a"), runs(1, "b"), {3, ContainerRunning{"web", "a", true}}}, "1.0 announce 192.0.2.1/32 100"},
		{"another address", []at{offered, runs(1, "a"), {5, ServiceSet{"web", other}}},
			"1.0 announce 192.0.2.1/32 100; 5.0 withdraw 192.0.2.1/32; 6.0 announce 192.0.2.2/32 100"},
		{"no longer offered", []at{offered, runs(1, "a"), {5, ServiceRemoved{"web"}}}, "1.0 announce 192.0.2.1/32 100; 5.0 withdraw 192.0.2.1/32"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := New()
			var told []string
			wake := scheduler.Time(0)
			do := func(now scheduler.Time, e Event) {
				for _, act := range a.Handle(now, []Event{e}) {
					if w, ok := act.(SetTimer); ok {
						wake = now + w.After
					}
					if s := show([]Action{act}); s != "" {
						told = append(told, fmt.Sprintf("%.1f %s", float64(now)/float64(sec), s))
					}
				}
			}
			pass := func(until scheduler.Time) {
				for n := 0; wake > 0 && wake <= until && n < 100; n++ {
					now := wake
					wake = 0
					do(now, TimerFired{})
				}
			}
			for _, s := range tc.steps {
				now := scheduler.Time(s.sec * float64(sec))
				pass(now)
				do(now, s.e)
			}
			pass(30 * sec)
			if got := strings.Join(told, "; "); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

// Where asked for, peers are led to the placer with most containers, by halves.
func TestMostHealthyFirst(t *testing.T) {
	for _, tc := range []struct {
		running, draining int
		med               uint32
	}{{1, 0, 47}, {2, 0, 37}, {3, 0, 37}, {4, 0, 27}, {15, 0, 17}, {16, 0, 7}, {100, 0, 7}, {4, 2, 37}, {2, 2, 57}} {
		s := web
		s.MED, s.MEDByHealth = 7, true
		events := []Event{ServiceSet{"web", s}}
		for i := range tc.running {
			events = append(events, ContainerRunning{"web", fmt.Sprint(i), i < tc.draining})
		}
		acts := New().Handle(sec, events)
		if a, ok := acts[0].(Announce); !ok || a.Path.MED != tc.med {
			t.Errorf("%d run, %d drain: %+v, want MED %d", tc.running, tc.draining, acts, tc.med)
		}
	}
}

// A container that flaps fifty times a second costs one update a second at most, and its address is left out after
// a while; steady again, it comes back.
func TestFlap(t *testing.T) {
	a, updates, last, wake := New(), 0, scheduler.Time(-sec), scheduler.Time(0)
	do := func(now scheduler.Time, e Event) {
		for _, act := range a.Handle(now, []Event{e}) {
			switch act := act.(type) {
			case Announce, Withdraw:
				if now-last < pace {
					t.Fatalf("two updates in %d", now-last)
				}
				last = now
				updates++
			case SetTimer:
				wake = now + act.After
			}
		}
	}
	do(0, ServiceSet{"web", web})
	now := scheduler.Time(0)
	for i := range 3000 { // a minute
		now = scheduler.Time(i) * sec / 50
		if wake > 0 && wake <= now {
			wake = 0
			do(now, TimerFired{})
		}
		if i%2 == 0 {
			do(now, ContainerRunning{"web", "a", false})
		} else {
			do(now, ContainerEnded{"web", "a"})
		}
	}
	w, _ := a.Status("web")
	if !w.Suppressed || updates > 14 {
		t.Errorf("%d updates in a minute, %+v", updates, w)
	}
	do(now+1, ContainerRunning{"web", "a", false})
	for n := 0; wake > 0 && n < 1000; n++ {
		now, wake = max(now, wake), 0
		do(now, TimerFired{})
	}
	if w, _ = a.Status("web"); !w.Announced || now > 90*60*sec {
		t.Errorf("not back after %d min: %+v", now/(60*sec), w)
	}
}

// Whatever happens: never two updates of an address within its pace, a withdrawal within two seconds of the last
// container's end, the peers' table right whenever nothing is due, and nothing left when all is gone.
func TestDrawnHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now, wake := New(), scheduler.Time(0), scheduler.Time(0)
		table, last := map[netip.Prefix]bool{}, map[netip.Prefix]scheduler.Time{}
		run, offered, emptyAt := map[string]map[string]bool{}, map[string]bool{}, map[string]scheduler.Time{}
		prefix := func(n string) netip.Prefix { return netip.MustParsePrefix("192.0.2." + n + "/32") }
		do := func(e Event) {
			for _, act := range a.Handle(now, []Event{e}) {
				var p netip.Prefix
				switch act := act.(type) {
				case Announce:
					p = act.Prefix
					table[p] = true
				case Withdraw:
					p = act.Prefix
					delete(table, p)
				case SetTimer:
					wake = now + act.After
					continue
				default:
					continue
				}
				if at, ok := last[p]; ok && now-at < pace {
					t.Fatalf("%s told twice within %d", p, now-at)
				}
				last[p] = now
			}
		}
		pass := func(span scheduler.Time) {
			for end := now + span; ; {
				if wake == 0 || wake > end {
					now = end
					return
				}
				now, wake = max(now, wake), 0
				do(TimerFired{})
			}
		}
		for range 80 {
			n := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "service"))
			if run[n] == nil {
				run[n] = map[string]bool{}
			}
			c := fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "container"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s := web
				s.Prefix = prefix(n)
				offered[n] = true
				do(ServiceSet{n, s})
			case 1:
				run[n][c] = true
				do(ContainerRunning{n, c, rapid.Bool().Draw(t, "draining")})
			case 2:
				if delete(run[n], c); len(run[n]) == 0 {
					emptyAt[n] = now
				}
				do(ContainerEnded{n, c})
			case 3:
				pass(scheduler.Time(rapid.IntRange(0, 30000).Draw(t, "span")))
			case 4:
				offered[n] = false
				do(ServiceRemoved{n})
			}
			for n, containers := range run {
				if len(containers) == 0 && table[prefix(n)] && now > emptyAt[n]+lastWithin {
					t.Fatalf("%s stands %d after its last container", n, now-emptyAt[n])
				}
			}
		}
		pass(2 * sec)
		for n, containers := range run {
			w, _ := a.Status(n)
			if want := offered[n] && len(containers) > 0 && !w.Suppressed; table[prefix(n)] != want {
				t.Fatalf("%s stands: %t; offered %t, %d run", n, table[prefix(n)], offered[n], len(containers))
			}
			for c := range containers {
				do(ContainerEnded{n, c})
			}
			do(ServiceRemoved{n})
		}
		pass(5 * 60 * 60 * sec)
		if len(a.services) > 0 || len(table) > 0 {
			t.Fatalf("%d services and %d routes are left", len(a.services), len(table))
		}
	})
}
