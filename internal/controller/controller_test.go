package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"glenport/scheduler"

	"pgregory.net/rapid"
)

const sec = scheduler.Second

func terms(effect scheduler.Idempotency) Config {
	return Config{Seed: 3, SchedulerCount: 2, WorkloadClasses: []WorkloadClass{{Idempotency: effect, PlacementTimeout: 4 * sec, DedupWindow: 8 * sec}}}
}

// rig runs a keeper on a clock of its own and remembers what it asked for last.
type rig struct {
	*testing.T
	k    *Controller
	now  scheduler.Time
	wake scheduler.Time
	sent []SubmitRequest
	off  []string
	view map[string]Container
}

func newRig(t *testing.T, effect scheduler.Idempotency, count int) *rig {
	r := &rig{T: t, k: New(terms(effect)), view: map[string]Container{}}
	r.do(SchedulerConnection{0, true})
	r.do(JobSet{"j", count, Spec{Service: "s", Cores: 1}})
	r.pass(sec)
	return r
}

func (r *rig) do(e ...Event) {
	for _, a := range r.k.Handle(r.now, e) {
		switch a := a.(type) {
		case SubmitRequest:
			r.sent = append(r.sent, a)
		case LookupRequest:
			r.sent = append(r.sent, SubmitRequest{Scheduler: a.Scheduler, RequestID: a.RequestID, IdempotencyKey: a.IdempotencyKey, Retry: true})
		case CancelRequest:
			r.off = append(r.off, a.RequestID)
		case ContainerChanged:
			r.view[fmt.Sprint(a.Container.Index)] = a.Container
		case ContainerRemoved:
			delete(r.view, fmt.Sprint(a.Index))
		case SetTimer:
			if r.wake == 0 || r.now+a.After < r.wake {
				r.wake = r.now + a.After
			}
		}
	}
}

// pass lets time pass, with the wakings that were asked for.
func (r *rig) pass(span scheduler.Time) {
	for end := r.now + span; ; {
		if r.wake == 0 || r.wake > end {
			r.now = end
			return
		}
		r.now, r.wake = max(r.now, r.wake), 0
		r.do(TimerFired{})
	}
}

func (r *rig) last() SubmitRequest { return r.sent[len(r.sent)-1] }

// Each step is a word: what a placer says of the ask sent last, or what happens. want is the state and the number
// of asks so far.
func TestHistories(t *testing.T) {
	for _, tc := range []struct {
		name   string
		effect scheduler.Idempotency
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
		// A key that ran must not run again: what is not there any more is begun anew.
		{"given up, at-most-once, nothing of it runs", 2, "givenup 9s pushed 1s", "asking 3"},
		{"its placer is back, and nothing runs", 2, "placed away back 2s pushed 1s", "asking 3"},
		{"finished, and started again", 0, "placed finished 1s", "asking 2"},
		{"evicted", 0, "placed evicted 300ms", "waiting 1"},
		{"evicted, and asked again", 0, "placed evicted 2s", "asking 2"},
		{"lost, reissuable", 0, "placed lost 1s", "asking 2"},
		{"lost, at-most-once", 2, "placed lost 7s", "guarded 1"},
		{"no placer", 0, "pushed away 9s", "waiting 1"},
		{"the placer is back", 0, "pushed away 9s back 2s", "asking 2"},
		{"its placer lost while asking, reissuable: what it may have started is ended", 0, "away back 2s", "asking 2, 1 cancelled"},
		{"its placer lost while asking, at-most-once", 2, "away back 7s", "guarded 1"},
		{"its placer lost while running", 2, "placed away 60s", "unwatched 1"},
		{"and back", 2, "placed away 60s back 2s", "asking 2"},
		{"its placer lost for long, reissuable", 0, "placed away other 11s", "asking 2"},
		{"scaled down while asking", 0, "down", "asking 1, 1 cancelled"},
		{"scaled down, answered", 0, "down givenup", "removed 1, 1 cancelled"},
		{"scaled down in the guard", 2, "givenup down 5s", "guarded 1"},
		{"scaled down, the guard is over", 2, "givenup down 9s", "asking 1, 1 cancelled"},
		{"and its placer says that nothing runs", 2, "givenup down 9s ceased", "removed 1, 1 cancelled"},
		// Without the wait a copy that its placer had not heard of yet ran on, and nobody knew of it.
		{"and its placer is not sure", 2, "givenup down 9s unsure 1s", "asking 1, 2 cancelled"},
		{"and it ran, and was stopped", 2, "givenup down 9s ended", "removed 1, 1 cancelled"},
		{"scaled down and up in the guard", 2, "givenup down up 9s", "asking 2"},
		{"scaled down while running", 0, "placed down stopped", "removed 1, 1 cancelled"},
		{"a new spec", 0, "placed spec stopped 1s", "asking 2, 1 cancelled"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, tc.effect, 1)
			for _, w := range strings.Fields(tc.steps) {
				ask := r.last().RequestID
				switch w {
				case "placed":
					r.do(PlacementAnswered{RequestID: ask, Verdict: VerdictAccepted, Machine: "m"})
				case "pushed":
					r.do(PlacementAnswered{RequestID: ask, Verdict: VerdictRejected})
				case "held-off":
					r.do(PlacementAnswered{RequestID: ask, Verdict: VerdictRejected, RetryAfter: 5 * sec})
				case "givenup":
					r.do(PlacementAnswered{RequestID: ask, Verdict: VerdictFailed})
				case "finished":
					r.do(ContainerEnded{ask, scheduler.OutcomeFinished, 0})
				case "evicted":
					r.do(ContainerEnded{ask, scheduler.OutcomeLost, scheduler.ReasonOutOfMemory})
				case "stopped":
					r.do(ContainerEnded{ask, scheduler.OutcomeStopped, 0})
				case "ceased":
					r.do(PlacementAnswered{RequestID: r.off[len(r.off)-1], Verdict: VerdictFailed, Message: "cancelled"})
				case "unsure":
					r.do(PlacementAnswered{RequestID: r.off[len(r.off)-1], Verdict: VerdictRefused})
				case "ended":
					r.do(ContainerEnded{r.off[len(r.off)-1], scheduler.OutcomeStopped, 0})
				case "lost":
					r.do(ContainerEnded{ask, scheduler.OutcomeLost, 0})
				case "away":
					r.do(SchedulerConnection{0, false})
				case "back":
					r.do(SchedulerConnection{0, true})
				case "other":
					r.do(SchedulerConnection{1, true})
				case "down":
					r.do(JobSet{"j", 0, Spec{Service: "s", Cores: 1}})
				case "up":
					r.do(JobSet{"j", 1, Spec{Service: "s", Cores: 1}})
				case "spec":
					r.do(JobSet{"j", 1, Spec{Service: "s", Cores: 2}})
				case "300ms":
					r.pass(300 * scheduler.Millisecond)
				default:
					var n scheduler.Time
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
	r := newRig(t, scheduler.Idempotent, 1000)
	for _, s := range r.sent {
		r.do(PlacementAnswered{RequestID: s.RequestID, Verdict: VerdictRejected})
	}
	first, most := len(r.sent), 0
	for range 100 {
		n := len(r.sent)
		r.pass(20 * scheduler.Millisecond)
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
		effect := scheduler.Idempotency(rapid.IntRange(1, 2).Draw(t, "effect"))
		k, now, wake := New(terms(effect)), scheduler.Time(0), scheduler.Time(0)
		runs := map[string]int{}    // containers (job and index), by copies
		keys := map[string]string{} // key that runs, to its ask
		doors := map[string]int{}   // key, to the placer that knows
		type sent struct {
			SubmitRequest
			at   scheduler.Time
			life int // of its placer
		}
		var asked []sent
		lives := []int{0, 0}
		up := []bool{false, false}
		looks := map[string]bool{}
		name := func(key string) string { return key[:strings.LastIndex(key, "/")] }
		var feed func(e ...Event)
		begin := func(s SubmitRequest) {
			runs[name(s.IdempotencyKey)]++
			keys[s.IdempotencyKey], doors[s.IdempotencyKey] = s.RequestID, s.Scheduler
			if runs[name(s.IdempotencyKey)] > 1 {
				t.Fatalf("%s runs twice at %d", name(s.IdempotencyKey), now)
			}
		}
		stop := func(key string) {
			runs[name(key)]--
			delete(keys, key)
		}
		feed = func(e ...Event) {
			for _, a := range k.Handle(now, e) {
				switch a := a.(type) {
				case SubmitRequest:
					asked = append(asked, sent{a, now, lives[a.Scheduler]})
				case LookupRequest:
					asked = append(asked, sent{SubmitRequest{Scheduler: a.Scheduler, RequestID: a.RequestID, IdempotencyKey: a.IdempotencyKey, Retry: true}, now, lives[a.Scheduler]})
					looks[a.RequestID] = true
				case CancelRequest:
					if !up[a.Scheduler] {
						continue
					}
					if _, on := keys[a.IdempotencyKey]; on && doors[a.IdempotencyKey] == a.Scheduler {
						stop(a.IdempotencyKey)
						asked = slices.DeleteFunc(asked, func(s sent) bool { return s.IdempotencyKey == a.IdempotencyKey && s.life == lives[a.Scheduler] })
						feed(ContainerEnded{a.RequestID, scheduler.OutcomeStopped, 0})
						continue
					}
					// While an earlier bid may start yet the placer is not sure, and takes no ask of its key either.
					verdict, pending := VerdictFailed, -1
					for i, s := range asked {
						if s.IdempotencyKey == a.IdempotencyKey && s.Scheduler == a.Scheduler && s.life != lives[a.Scheduler] && now-s.at < 4*sec {
							verdict = VerdictRefused
						} else if s.IdempotencyKey == a.IdempotencyKey && s.Scheduler == a.Scheduler && s.life == lives[a.Scheduler] {
							pending = i
						}
					}
					if pending >= 0 {
						s := asked[pending]
						asked = append(asked[:pending:pending], asked[pending+1:]...)
						if s.RequestID != a.RequestID {
							feed(PlacementAnswered{RequestID: s.RequestID, Verdict: verdict, Message: "cancelled"})
						}
					}
					feed(PlacementAnswered{RequestID: a.RequestID, Verdict: verdict, Message: "cancelled"})
				case SetTimer:
					wake = now + a.After
				}
			}
		}
		pass := func(span scheduler.Time) {
			for end := now + span; ; {
				if wake == 0 || wake > end {
					now = end
					return
				}
				now, wake = max(now, wake), 0
				feed(TimerFired{})
			}
		}
		// answer settles the oldest ask in one of the ways a placer may.
		answer := func(how int) {
			s := asked[0]
			asked = asked[1:]
			if !up[s.Scheduler] || lives[s.Scheduler] != s.life {
				// The keeper heard of its loss. The bid may start all the same, until it lapses.
				if _, on := keys[s.IdempotencyKey]; !on && how == 0 && now-s.at < 4*sec && !looks[s.RequestID] {
					begin(s.SubmitRequest)
				}
				return
			}
			if _, on := keys[s.IdempotencyKey]; on {
				if doors[s.IdempotencyKey] == s.Scheduler {
					keys[s.IdempotencyKey] = s.RequestID
					feed(PlacementAnswered{RequestID: s.RequestID, Verdict: VerdictAccepted, Machine: "m"})
				} else {
					t.Fatalf("%s is asked for at %d and runs by %d", s.IdempotencyKey, s.Scheduler, doors[s.IdempotencyKey])
				}
				return
			}
			if looks[s.RequestID] {
				verdict := VerdictRejected
				for _, x := range asked {
					if x.IdempotencyKey == s.IdempotencyKey && !looks[x.RequestID] && now-x.at < 4*sec {
						verdict = VerdictRefused
					}
				}
				feed(PlacementAnswered{RequestID: s.RequestID, Verdict: verdict})
				return
			}
			switch how {
			case 0, 1:
				begin(s.SubmitRequest)
				feed(PlacementAnswered{RequestID: s.RequestID, Verdict: VerdictAccepted, Machine: "m"})
			case 2:
				feed(PlacementAnswered{RequestID: s.RequestID, Verdict: VerdictRejected})
			case 3: // given up, and it runs
				begin(s.SubmitRequest)
				feed(PlacementAnswered{RequestID: s.RequestID, Verdict: VerdictFailed})
			case 4:
				feed(PlacementAnswered{RequestID: s.RequestID, Verdict: VerdictFailed})
			case 5:
				feed(PlacementAnswered{RequestID: s.RequestID, Verdict: VerdictRefused})
			}
		}
		feed(JobSet{"j", 3, Spec{}})
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
				feed(SchedulerConnection{d, up[d]})
			case 3:
				pass(scheduler.Time(rapid.IntRange(1, 100_000).Draw(t, "span")))
			case 4:
				feed(JobSet{"j", rapid.IntRange(0, 4).Draw(t, "count"), Spec{}})
			case 5:
				for _, key := range []string{"j/0/", "j/1/", "j/2/"} {
					for run, ask := range keys {
						if strings.HasPrefix(run, key) && up[doors[run]] {
							stop(run)
							feed(ContainerEnded{ask, scheduler.OutcomeLost, scheduler.ReasonDrained})
							break
						}
					}
				}
			}
		}
		for d := range up {
			up[d] = true
			feed(SchedulerConnection{d, true})
		}
		feed(JobSet{"j", 2, Spec{}})
		for range 200 {
			pass(sec)
			for len(asked) > 0 {
				answer(1)
			}
		}
		if runs["j/0"] != 1 || runs["j/1"] != 1 || runs["j/2"]+runs["j/3"] != 0 {
			t.Fatalf("in the end these run: %v; %+v", runs, k.sortedReplicas())
		}
		feed(JobDeleted{"j"})
		pass(20 * sec)
		if n := len(k.jobs) + len(k.requests); n != 0 || runs["j/0"]+runs["j/1"] != 0 {
			t.Fatalf("%d left in tables, %v running", n, runs)
		}
	})
}

// A keeper that comes up does the right thing first with what its log names. Each case is a container as it was, the
// wanted count and what happens; the state, the asks and the cancels are compared.
func TestRestored(t *testing.T) {
	spec := Spec{Service: "s", Cores: 1}
	was := Container{Job: "j", Scheduler: 0, IdempotencyKey: "j/0/41", RequestID: "j/0#42", Submitted: true, SubmittedSpec: spec}
	for _, tc := range []struct {
		name   string
		effect scheduler.Idempotency
		state  ContainerState
		change func(c *Container)
		count  int
		steps  string
		want   string
	}{
		{"never asked for", 2, StatePending, func(c *Container) { c.Scheduler, c.RequestID, c.Submitted = -1, "", false }, 1, "other 1s", "asking 1 at 1 with j/0/41"},
		{"asked: its placer has to tell", 2, StatePlacing, nil, 1, "other 9s", "unwatched 0"},
		{"asked, reissuable: nor is that started twice", 0, StatePlacing, nil, 1, "other 5s", "unwatched 0"},
		{"asked, its placer is there", 2, StatePlacing, nil, 1, "back 2s", "asking 1 at 0 with j/0/41"},
		{"asked, and it runs", 2, StatePlacing, nil, 1, "back 2s placed", "running 1 at 0 with j/0/41"},
		{"ran", 2, StateRunning, nil, 1, "back 2s placed", "running 1 at 0 with j/0/41"},
		{"ran, reissuable, its placer stays away", 0, StateRunning, nil, 1, "other 11s", "asking 1 at 1 with another key"},
		{"ran, its placer stays away", 2, StateRunning, nil, 1, "other 60s", "unwatched 0"},
		{"pinned while it waited", 2, StatePending, func(c *Container) { c.Sticky = true }, 1, "other 9s", "unwatched 0"},
		{"guarded", 2, StateFencing, nil, 1, "back 7s", "guarded 0"},
		{"guarded, the wait is over", 2, StateFencing, nil, 1, "back 9s", "asking 1 at 0 with j/0/41"},
		{"finished", 0, StateCompleted, nil, 1, "back 9s", "done 0"},
		{"its job was dropped", 2, StateRunning, nil, -1, "back 2s ceased", "removed 0, 1 cancelled"},
		{"scaled down", 2, StateRunning, nil, 0, "back 2s ceased", "removed 0, 1 cancelled"},
		{"scaled down, never asked for", 2, StatePending, func(c *Container) { c.Scheduler, c.Submitted = -1, false }, 0, "", "removed 0"},
		{"its placer is none any more", 2, StateRunning, func(c *Container) { c.Scheduler = -1 }, 1, "other 60s", "waiting 0"},
		{"its placer is none any more, reissuable", 0, StateRunning, func(c *Container) { c.Scheduler = -1 }, 1, "other 1s", "asking 1 at 1 with another key"},
		// Without the check this fell over: there is no door -1.
		{"its placer is none any more, and it is to leave", 2, StateRunning, func(c *Container) { c.Scheduler = -1 }, 0, "back 9s", "unwatched 0"},
		{"a job without its container", 2, StatePending, func(c *Container) { c.Job = "" }, 1, "back 1s", "asking 1 at 0 with another key"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &rig{T: t, k: New(terms(tc.effect)), view: map[string]Container{}}
			c := was
			if c.State = tc.state; tc.change != nil {
				tc.change(&c)
			}
			e := StateRestored{Containers: []Container{c}}
			if tc.count >= 0 {
				e.Jobs = []JobSet{{"j", tc.count, spec}}
			}
			if c.Job == "" {
				e.Containers = nil
			}
			r.view["0"] = c
			r.do(e)
			for _, w := range strings.Fields(tc.steps) {
				switch w {
				case "back":
					r.do(SchedulerConnection{0, true})
				case "other":
					r.do(SchedulerConnection{1, true})
				case "placed":
					r.do(PlacementAnswered{RequestID: r.last().RequestID, Verdict: VerdictAccepted, Machine: "m"})
				case "ceased":
					r.do(PlacementAnswered{RequestID: r.off[len(r.off)-1], Verdict: VerdictFailed, Message: "cancelled"})
				default:
					var n scheduler.Time
					fmt.Sscanf(w, "%ds", &n)
					r.pass(n * sec)
				}
			}
			got := "removed"
			if v, ok := r.view["0"]; ok {
				got = v.State.String()
			}
			got += fmt.Sprint(" ", len(r.sent))
			if len(r.sent) > 0 {
				key := r.last().IdempotencyKey
				if key != c.IdempotencyKey {
					key = "another key"
				}
				if r.last().RequestID == c.RequestID {
					t.Error("an ask of the earlier life has come again")
				}
				got += fmt.Sprintf(" at %d with %s", r.last().Scheduler, key)
			}
			if len(r.off) > 0 {
				got += fmt.Sprintf(", %d cancelled", len(r.off))
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Drawn histories of a keeper that is killed at any moment, with placers that run, lose, push back and fall silent. What
// its log holds is what was there before an ask went out. Whatever happens, no container of at-most-once work runs
// twice at once, and when all is well again each wanted one runs and no other does.
func TestKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := rapid.SampledFrom([]scheduler.Idempotency{scheduler.Idempotent, scheduler.AtMostOnce}).Draw(t, "effect")
		spec := Spec{Service: "s", Cores: 1}
		jobs := map[string]JobSet{}          // kept
		log := map[string]Container{}        // kept
		strays := map[Orphan]bool{}          // kept
		runs := [2]map[string]string{{}, {}} // by door: key to ask
		open := [2]bool{}
		began := map[string]bool{} // keys that ran
		now, wake, life := scheduler.Time(0), scheduler.Time(0), uint64(0)
		var k *Controller
		var todo []Action
		calm := false
		chance := func(n int, label string) bool { return !calm && rapid.IntRange(0, n-1).Draw(t, label) == 0 }
		var do func(e ...Event)
		start := func() {
			life += 1000
			k = New(Config{Seed: life, FirstSequence: life, SchedulerCount: 2, WorkloadClasses: []WorkloadClass{{Idempotency: effect, PlacementTimeout: 4 * sec, DedupWindow: 8 * sec}}})
			todo, wake, open = nil, 0, [2]bool{}
			e := StateRestored{}
			for _, id := range []string{"a", "b"} {
				if j, ok := jobs[id]; ok {
					e.Jobs = append(e.Jobs, j)
				}
			}
			for _, c := range log {
				e.Containers = append(e.Containers, c)
			}
			for x := range strays {
				e.Orphans = append(e.Orphans, x)
			}
			do(e)
		}
		perform := func() {
			for len(todo) > 0 {
				a := todo[0]
				todo = todo[1:]
				switch a := a.(type) {
				case LookupRequest:
					if _, there := runs[a.Scheduler][a.IdempotencyKey]; there && open[a.Scheduler] {
						runs[a.Scheduler][a.IdempotencyKey] = a.RequestID // who asked last hears its fate
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictAccepted, Machine: "m"})
					} else if open[a.Scheduler] && chance(3, "not sure yet") {
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRefused})
					} else if open[a.Scheduler] {
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRejected})
					}
				case SubmitRequest:
					if !open[a.Scheduler] {
						continue
					}
					if began[a.IdempotencyKey] && effect == scheduler.AtMostOnce {
						t.Fatalf("key %s ran, and is asked for again", a.IdempotencyKey)
					}
					at := runs[a.Scheduler]
					_, there := at[a.IdempotencyKey]
					switch {
					case there:
						at[a.IdempotencyKey] = a.RequestID
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictAccepted, Machine: "m"})
					case chance(4, "pushed back"):
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRejected})
					case effect == scheduler.AtMostOnce && chance(4, "given up, and it runs"): // a placer calls other work off then
						at[a.IdempotencyKey], began[a.IdempotencyKey] = a.RequestID, true
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictFailed})
					case chance(6, "its link breaks, and it runs"):
						at[a.IdempotencyKey], began[a.IdempotencyKey] = a.RequestID, true
						open[a.Scheduler] = false
						do(SchedulerConnection{a.Scheduler, false})
					default:
						at[a.IdempotencyKey], began[a.IdempotencyKey] = a.RequestID, true
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictAccepted, Machine: "m"})
					}
					if effect == scheduler.AtMostOnce {
						seen := map[string]bool{}
						for _, at := range runs {
							for key := range at {
								c := key[:strings.LastIndex(key, "/")]
								if seen[c] {
									t.Fatalf("%s runs twice: %v", c, runs)
								}
								seen[c] = true
							}
						}
					}
				case CancelRequest:
					if _, there := runs[a.Scheduler][a.IdempotencyKey]; there && open[a.Scheduler] {
						delete(runs[a.Scheduler], a.IdempotencyKey)
						do(ContainerEnded{a.RequestID, scheduler.OutcomeStopped, 0})
					} else if open[a.Scheduler] && chance(3, "not sure yet") {
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRefused})
					} else if open[a.Scheduler] {
						do(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictFailed, Message: "cancelled"})
					}
				}
			}
		}
		do = func(e ...Event) {
			for _, a := range k.Handle(now, e) {
				switch a := a.(type) {
				case ContainerChanged:
					log[fmt.Sprintf("%s.%d", a.Container.Job, a.Container.Index)] = a.Container
				case ContainerRemoved:
					delete(log, fmt.Sprintf("%s.%d", a.Job, a.Index))
				case OrphanRecorded:
					strays[a.Orphan] = true
				case OrphanResolved:
					delete(strays, a.Orphan)
				case SetTimer:
					if wake == 0 || now+a.After < wake {
						wake = now + a.After
					}
				default:
					todo = append(todo, a)
				}
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
				perform()
			}
		}
		start()
		for range rapid.IntRange(10, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
				s := JobSet{id, rapid.IntRange(0, 3).Draw(t, "count"), spec}
				jobs[id] = s
				do(s)
			case 2:
				if id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job"); jobs[id].Job != "" {
					delete(jobs, id)
					do(JobDeleted{id})
				}
			case 3: // kill -9: what was written is there, what was to be done is not
				start()
			case 4:
				d := rapid.IntRange(0, 1).Draw(t, "door")
				open[d] = !open[d]
				do(SchedulerConnection{d, open[d]})
			case 5:
				for d := range runs {
					keys := slices.Sorted(maps.Keys(runs[d]))
					if open[d] && len(keys) > 0 {
						ask := runs[d][keys[0]]
						delete(runs[d], keys[0])
						do(ContainerEnded{ask, scheduler.OutcomeFinished, 0})
					}
				}
			}
			perform()
			pass(scheduler.Time(rapid.IntRange(0, 120_000).Draw(t, "on")))
		}
		calm = true
		for d := range open {
			if !open[d] {
				open[d] = true
				do(SchedulerConnection{d, true})
			}
		}
		perform()
		pass(300 * sec)
		want, got := 0, 0
		for _, j := range jobs {
			want += j.Count
		}
		for _, at := range runs {
			got += len(at)
		}
		if got != want || len(strays) > 0 { // without strays a second copy of reissuable work ran on for ever
			t.Fatalf("%d run, %d are wanted: %v, log %+v", got, want, runs, log)
		}
	})
}
