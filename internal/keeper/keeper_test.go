package keeper

import (
	"fmt"
	"strings"
	"testing"

	"glenport/placer"

	"pgregory.net/rapid"
)

const sec = placer.Second

func terms(effect placer.Effect) Terms {
	return Terms{Seed: 3, Doors: 2, Workloads: []Workload{{Effect: effect, HardStop: 4 * sec, Window: 8 * sec}}}
}

// rig runs a keeper on a clock of its own and remembers what it asked for last.
type rig struct {
	*testing.T
	k    *Keeper
	now  placer.Time
	wake placer.Time
	sent []Submit
	off  []string
	view map[string]Container
}

func newRig(t *testing.T, effect placer.Effect, count int) *rig {
	r := &rig{T: t, k: New(terms(effect)), view: map[string]Container{}}
	r.do(Door{0, true})
	r.do(Set{"j", count, Spec{Service: "s", Cores: 1}})
	r.pass(sec)
	return r
}

func (r *rig) do(e ...Event) {
	for _, a := range r.k.Handle(r.now, e) {
		switch a := a.(type) {
		case Submit:
			r.sent = append(r.sent, a)
		case Cancel:
			r.off = append(r.off, a.Ask)
		case Changed:
			r.view[fmt.Sprint(a.Container.Index)] = a.Container
		case Removed:
			delete(r.view, fmt.Sprint(a.Index))
		case Wake:
			r.wake = r.now + a.After
		}
	}
}

// pass lets time pass, with the wakings that were asked for.
func (r *rig) pass(span placer.Time) {
	for end := r.now + span; ; {
		if r.wake == 0 || r.wake > end {
			r.now = end
			return
		}
		r.now, r.wake = max(r.now, r.wake), 0
		r.do(Woke{})
	}
}

func (r *rig) last() Submit { return r.sent[len(r.sent)-1] }

// Each step is a word: what a placer says of the ask sent last, or what happens. want is the state and the number
// of asks so far.
func TestHistories(t *testing.T) {
	for _, tc := range []struct {
		name   string
		effect placer.Effect
		steps  string
		want   string
	}{
		{"asked for at once", 0, "", "asking 1"},
		{"placed", 0, "placed", "running 1"},
		{"pushed back", 0, "pushed", "waiting 1"},
		{"asked again after the back-off", 0, "pushed 2s", "asking 2"},
		{"the hold-off is kept", 0, "held-off 4s", "waiting 1"},
		{"and then asked", 0, "held-off 7s", "asking 2"},
		{"given up, reissuable", 0, "givenup 2s", "asking 2"},
		{"given up, at-most-once", 2, "givenup 7s", "guarded 1"},
		{"given up, at-most-once, made sure", 2, "givenup 9s", "asking 2"},
		{"finished, and started again", 0, "placed finished 1s", "asking 2"},
		{"evicted", 0, "placed evicted 300ms", "waiting 1"},
		{"evicted, and asked again", 0, "placed evicted 2s", "asking 2"},
		{"lost, reissuable", 0, "placed lost 1s", "asking 2"},
		{"lost, at-most-once", 2, "placed lost 7s", "guarded 1"},
		{"no placer", 0, "pushed away 9s", "waiting 1"},
		{"the placer is back", 0, "pushed away 9s back 2s", "asking 2"},
		{"its placer lost while asking, reissuable", 0, "away back 2s", "asking 2"},
		{"its placer lost while asking, at-most-once", 2, "away back 7s", "guarded 1"},
		{"its placer lost while running", 2, "placed away 60s", "unwatched 1"},
		{"and back", 2, "placed away 60s back 2s", "asking 2"},
		{"its placer lost for long, reissuable", 0, "placed away other 11s", "asking 2"},
		{"scaled down while asking", 0, "down", "asking 1, 1 cancelled"},
		{"scaled down, answered", 0, "down givenup", "removed 1, 1 cancelled"},
		{"scaled down in the guard", 2, "givenup down 5s", "guarded 1"},
		{"scaled down, the guard is over", 2, "givenup down 9s", "removed 1, 1 cancelled"},
		{"scaled down and up in the guard", 2, "givenup down up 9s", "asking 2"},
		{"scaled down while running", 0, "placed down stopped", "removed 1, 1 cancelled"},
		{"a new spec", 0, "placed spec stopped 1s", "asking 2, 1 cancelled"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, tc.effect, 1)
			for _, w := range strings.Fields(tc.steps) {
				ask := r.last().Ask
				switch w {
				case "placed":
					r.do(Answered{Ask: ask, Verdict: Placed, Machine: "m"})
				case "pushed":
					r.do(Answered{Ask: ask, Verdict: PushedBack})
				case "held-off":
					r.do(Answered{Ask: ask, Verdict: PushedBack, HoldOff: 5 * sec})
				case "givenup":
					r.do(Answered{Ask: ask, Verdict: GivenUp})
				case "finished":
					r.do(Fated{ask, placer.Finished, 0})
				case "evicted":
					r.do(Fated{ask, placer.Reset, placer.Evicted})
				case "stopped":
					r.do(Fated{ask, placer.Stopped, 0})
				case "lost":
					r.do(Fated{ask, placer.Reset, 0})
				case "away":
					r.do(Door{0, false})
				case "back":
					r.do(Door{0, true})
				case "other":
					r.do(Door{1, true})
				case "down":
					r.do(Set{"j", 0, Spec{Service: "s", Cores: 1}})
				case "up":
					r.do(Set{"j", 1, Spec{Service: "s", Cores: 1}})
				case "spec":
					r.do(Set{"j", 1, Spec{Service: "s", Cores: 2}})
				case "300ms":
					r.pass(300 * placer.Millisecond)
				default:
					var n placer.Time
					fmt.Sscanf(w, "%ds", &n)
					r.pass(n * sec)
				}
			}
			got := "removed"
			if v, ok := r.view["0"]; ok {
				got = v.State.String()
			}
			got += fmt.Sprint(" ", len(r.sent))
			if len(r.off) > 0 {
				got += fmt.Sprintf(", %d cancelled", len(r.off))
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// What waits together does not return together.
func TestBackOffSpreads(t *testing.T) {
	r := newRig(t, placer.Reissuable, 1000)
	for _, s := range r.sent {
		r.do(Answered{Ask: s.Ask, Verdict: PushedBack})
	}
	first, most := len(r.sent), 0
	for range 100 {
		n := len(r.sent)
		r.pass(20 * placer.Millisecond)
		most = max(most, len(r.sent)-n)
	}
	if len(r.sent) != first+1000 || most > 80 {
		t.Errorf("%d came back, up to %d in 20 ms", len(r.sent)-first, most)
	}
}

// Whatever happens, work that must not run twice has one copy at most, and once the trouble ends every wanted
// container runs and nothing is left over.
func TestNoSecondCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := placer.Effect(rapid.IntRange(1, 2).Draw(t, "effect"))
		k, now, wake := New(terms(effect)), placer.Time(0), placer.Time(0)
		runs := map[string]int{}    // containers (job and index), by copies
		keys := map[string]string{} // key that runs, to its ask
		doors := map[string]int{}   // key, to the placer that knows
		type sent struct {
			Submit
			at   placer.Time
			life int // of its placer
		}
		var asked []sent
		lives := []int{0, 0}
		up := []bool{false, false}
		name := func(key string) string { return key[:strings.LastIndex(key, "/")] }
		var feed func(e ...Event)
		begin := func(s Submit) {
			runs[name(s.Key)]++
			keys[s.Key], doors[s.Key] = s.Ask, s.Door
			if runs[name(s.Key)] > 1 {
				t.Fatalf("%s runs twice at %d", name(s.Key), now)
			}
		}
		stop := func(key string) {
			runs[name(key)]--
			delete(keys, key)
		}
		feed = func(e ...Event) {
			for _, a := range k.Handle(now, e) {
				switch a := a.(type) {
				case Submit:
					asked = append(asked, sent{a, now, lives[a.Door]})
				case Cancel:
					if ask, on := keys[a.Key]; on && doors[a.Key] == a.Door && up[a.Door] {
						stop(a.Key)
						feed(Fated{ask, placer.Stopped, 0})
					}
				case Wake:
					wake = now + a.After
				}
			}
		}
		pass := func(span placer.Time) {
			for end := now + span; ; {
				if wake == 0 || wake > end {
					now = end
					return
				}
				now, wake = max(now, wake), 0
				feed(Woke{})
			}
		}
		// answer settles the oldest ask in one of the ways a placer may.
		answer := func(how int) {
			s := asked[0]
			asked = asked[1:]
			if !up[s.Door] || lives[s.Door] != s.life {
				// The keeper heard of its loss. The bid may start all the same, until it lapses.
				if _, on := keys[s.Key]; !on && how == 0 && now-s.at < 4*sec {
					begin(s.Submit)
				}
				return
			}
			if _, on := keys[s.Key]; on {
				if doors[s.Key] == s.Door {
					keys[s.Key] = s.Ask
					feed(Answered{Ask: s.Ask, Verdict: Placed, Machine: "m"})
				} else {
					t.Fatalf("%s is asked for at %d and runs by %d", s.Key, s.Door, doors[s.Key])
				}
				return
			}
			switch how {
			case 0, 1:
				begin(s.Submit)
				feed(Answered{Ask: s.Ask, Verdict: Placed, Machine: "m"})
			case 2:
				feed(Answered{Ask: s.Ask, Verdict: PushedBack})
			case 3: // given up, and it runs
				begin(s.Submit)
				feed(Answered{Ask: s.Ask, Verdict: GivenUp})
			case 4:
				feed(Answered{Ask: s.Ask, Verdict: GivenUp})
			case 5:
				feed(Answered{Ask: s.Ask, Verdict: TurnedAway})
			}
		}
		feed(Set{"j", 3, Spec{}})
		for range 60 {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if len(asked) > 0 {
					answer(rapid.IntRange(0, 5).Draw(t, "how"))
				}
			case 2:
				d := rapid.IntRange(0, 1).Draw(t, "door")
				up[d] = !up[d]
				lives[d]++
				feed(Door{d, up[d]})
			case 3:
				pass(placer.Time(rapid.IntRange(1, 100_000).Draw(t, "span")))
			case 4:
				feed(Set{"j", rapid.IntRange(0, 4).Draw(t, "count"), Spec{}})
			case 5:
				for _, key := range []string{"j/0/", "j/1/", "j/2/"} {
					for run, ask := range keys {
						if strings.HasPrefix(run, key) && up[doors[run]] {
							stop(run)
							feed(Fated{ask, placer.Reset, placer.SentAway})
							break
						}
					}
				}
			}
		}
		for d := range up {
			up[d] = true
			feed(Door{d, true})
		}
		feed(Set{"j", 2, Spec{}})
		for range 200 {
			pass(sec)
			for len(asked) > 0 {
				answer(1)
			}
		}
		if runs["j/0"] != 1 || runs["j/1"] != 1 || runs["j/2"]+runs["j/3"] != 0 {
			t.Fatalf("in the end these run: %v; %+v", runs, k.ordered())
		}
		feed(Drop{"j"})
		pass(20 * sec)
		if n := len(k.jobs) + len(k.asks); n != 0 || runs["j/0"]+runs["j/1"] != 0 {
			t.Fatalf("%d left in tables, %v running", n, runs)
		}
	})
}
