package scenario

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WhyTrial brings up a cluster with a keeper, makes work wait for known reasons, and compares what an owner reads
// through the API with what the stand-ins themselves are like.
type WhyTrial struct {
	Cluster *Cluster
	Cycles  int  // of draining and filling; each holds four changes
	Steps   int  // how many of the trial's steps are played; 0: all
	Lie     bool // read another code than the API tells, to show that the trial sees it
	Out     io.Writer

	keeperProcess
	delays *hdrhistogram.Histogram
	checks int
	missed []string
}

const whyWithin = time.Second

// Run plays the trial; it returns whether all held.
func (t *WhyTrial) Run(day *Day, dir string, program []string) (ok bool, err error) {
	t.delays = hdrhistogram.New(1, 60_000, 3) // milliseconds
	if t.Cluster, err = Bring(day, dir, program); err != nil {
		return false, err
	}
	defer t.Cluster.Close()
	if t.keeperProcess, err = newKeeper(dir, program[0], t.Cluster.ListAddr, t.Cluster.Placers, nil, ""); err != nil {
		return false, err
	}
	defer t.stopKeeper()
	if err := t.start(len(t.Cluster.Machines)); err != nil {
		return false, err
	}
	for i, step := range []struct {
		name string
		play func() error
	}{{"drains and room", t.drainsAndRoom}, {"four reasons at once", t.four}, {"spread", t.spread}, {"guard", t.guard},
		{"scaled down in the guard", t.scaledInGuard}, {"list away", t.listAway}, {"placers killed while the owner asks", t.placersGone}} {
		if t.Steps > 0 && i >= t.Steps {
			break
		}
		began := time.Now()
		before := len(t.missed)
		if err := step.play(); err != nil {
			return false, fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Fprintf(t.Out, "%-38s %5.1f s, %d missed\n", step.name, time.Since(began).Seconds(), len(t.missed)-before)
	}
	for i, m := range t.missed {
		if i < 5 {
			fmt.Fprintln(t.Out, "missed:", m)
		}
	}
	fmt.Fprintf(t.Out, "%d changes: the true reason was read after p50 %d ms, p99 %d ms, worst %d ms\n", t.checks,
		t.delays.ValueAtQuantile(50), t.delays.ValueAtQuantile(99), t.delays.Max())
	return len(t.missed) == 0, nil
}

type whyAnswer struct {
	State   string
	Reasons []struct {
		Code    string
		Text    string
		Figures map[string]float64
		UntilMS int64 `json:"until_ms"`
	}
}

// codes reads a container's reasons.
func (t *WhyTrial) codes(container string) (map[string]bool, whyAnswer, error) {
	var a whyAnswer
	if err := t.get("/v1/containers/"+container+"/why", &a); err != nil {
		return nil, a, err
	}
	codes := map[string]bool{}
	for _, r := range a.Reasons {
		c := r.Code
		if t.Lie {
			c = map[string]string{"no_machine": "no_room", "no_room": "no_machine", "guard": "backing_off"}[c]
		}
		codes[c] = true
	}
	return codes, a, nil
}

// expect waits until the owner reads the codes wanted and none of those not, all of them ones that are judged; it
// counts the delay from since, and misses what takes longer than a second.
func (t *WhyTrial) expect(what, container string, since time.Time, want, not []string) error {
	return t.judge(what, container, since, want, not, func(whyAnswer) bool { return true })
}

// judge does so, and holds what was read against a further condition too.
func (t *WhyTrial) judge(what, container string, since time.Time, want, not []string, holds func(whyAnswer) bool) error {
	t.checks++
	var last map[string]bool
	var wrong whyAnswer
	for {
		codes, a, err := t.codes(container)
		if err != nil {
			return err
		}
		last = codes
		right := holds(a)
		for _, c := range want {
			right = right && codes[c]
		}
		for _, c := range not {
			right = right && !codes[c]
		}
		took := time.Since(since)
		if right {
			t.delays.RecordValue(max(1, took.Milliseconds()))
			if took > whyWithin {
				t.missed = append(t.missed, fmt.Sprintf("%s: the truth was read after %d ms, before that %s %+v", what, took.Milliseconds(),
					wrong.State, wrong.Reasons))
			}
			return nil
		}
		wrong = a
		if took > 5*whyWithin {
			var got []string
			for c := range last {
				got = append(got, c)
			}
			sort.Strings(got)
			t.missed = append(t.missed, fmt.Sprintf("%s: read [%s], true is [%s] and not [%s]", what, strings.Join(got, " "),
				strings.Join(want, " "), strings.Join(not, " ")))
			t.delays.RecordValue(took.Milliseconds())
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// fits counts, by the machines' own state, those that would take a container.
func (t *WhyTrial) fits(cores, memory float64) int {
	n := 0
	for _, m := range t.Cluster.Machines {
		s, ok := m.Status()
		if ok && s.Up && !s.Draining && m.Cores*(m.AcceptCores-1)+s.FreeCores >= cores &&
			m.Memory*(m.AcceptMemory-1)+s.FreeMemory >= memory {
			n++
		}
	}
	return n
}

func (t *WhyTrial) drain(on bool, which func(*emulator.Machine) bool) {
	state := protocol.MachineServing
	if on {
		state = protocol.MachineDraining
	}
	for _, m := range t.Cluster.Machines {
		if which(m) {
			t.Cluster.List.SetState(m, state)
			m.SetDraining(on, false)
		}
	}
}

// drainsAndRoom changes the reason of one waiting container again and again: no room, then all that could run it
// drain, then no room, then room.
func (t *WhyTrial) drainsAndRoom() error {
	large := func(m *emulator.Machine) bool { return m.MachineType == "large" || m.MachineTypeIndex == 1 }
	n := 0
	for _, m := range t.Cluster.Machines {
		if large(m) {
			n++
		}
	}
	// Each large machine takes one container of 60 cores, of 96 that it accepts; the next needs 60 more.
	if err := t.run("filler", "on-large", n, 60, 1); err != nil {
		return err
	}
	if err := t.running("filler", n); err != nil {
		return err
	}
	for range t.Cycles {
		if t.fits(60, 1) != 0 {
			return fmt.Errorf("the fleet was to be full, and has room on %d", t.fits(60, 1))
		}
		since := time.Now()
		if err := t.run("waits", "on-large", 1, 60, 1); err != nil {
			return err
		}
		if err := t.expect("full", "waits.0", since, []string{"no_room"}, []string{"no_machine"}); err != nil {
			return err
		}
		since = time.Now()
		t.drain(true, large)
		if err := t.expect("all draining", "waits.0", since, []string{"no_machine"}, []string{"no_room"}); err != nil {
			return err
		}
		since = time.Now()
		t.drain(false, large)
		if err := t.expect("in service, and full", "waits.0", since, []string{"no_room"}, []string{"no_machine"}); err != nil {
			return err
		}
		since = time.Now()
		if err := t.do("PUT", "/v1/jobs/filler", jobText{"service": "filler", "workload": "on-large", "cores": 60, "memory_gib": 1,
			"count": n - 1, "run_for_ms": 3600_000}, nil); err != nil {
			return err
		}
		if err := t.until("the stand-in has room", 5*time.Second, func() bool { return t.fits(60, 1) > 0 || t.count("waits", "running") > 0 }); err != nil {
			return err
		}
		if since = time.Now(); t.count("waits", "running") == 0 {
			// The machine with room may be left out for another reason: it drained a moment ago, and turned work
			// away then. But no more machines may be told as full than are.
			if err := t.judge("room", "waits.0", since, nil, []string{"no_machine"}, func(a whyAnswer) bool {
				for _, r := range a.Reasons {
					if r.Code == "no_room" {
						return int(r.Figures["full"]) == n-t.fits(60, 1)
					}
				}
				return true
			}); err != nil {
				return err
			}
		}
		if err := t.stop("waits"); err != nil {
			return err
		}
		if err := t.do("PUT", "/v1/jobs/filler", jobText{"service": "filler", "workload": "on-large", "cores": 60, "memory_gib": 1,
			"count": n, "run_for_ms": 3600_000}, nil); err != nil {
			return err
		}
		if err := t.running("filler", n); err != nil {
			return err
		}
	}
	return nil
}

// four makes a whole hall drain while the rest is full of what waits' own service and other work, so that several
// reasons hold at once, each by the machines' own state.
func (t *WhyTrial) four() error {
	since := time.Now()
	t.drain(true, func(m *emulator.Machine) bool { return m.ZoneIndex == 0 })
	if err := t.run("waits", "on-large", 1, 60, 1); err != nil {
		return err
	}
	if err := t.expect("a hall drains, the rest is full", "waits.0", since, []string{"hall_drains", "no_room", "backing_off"}, []string{"no_machine"}); err != nil {
		return err
	}
	since = time.Now()
	t.Cluster.List.SetUnreachable(true)
	if err := t.expect("and the list is away", "waits.0", since.Add(4*time.Second),
		[]string{"hall_drains", "no_room", "backing_off", "list_away"}, []string{"no_machine"}); err != nil {
		return err
	}
	t.Cluster.List.SetUnreachable(false)
	t.drain(false, func(m *emulator.Machine) bool { return m.ZoneIndex == 0 })
	if err := t.stop("waits"); err != nil {
		return err
	}
	return t.stop("filler")
}

// spread asks for more of a service than its spread leaves room for.
func (t *WhyTrial) spread() error {
	most := 2 * len(t.Cluster.Machines) * len(t.Cluster.Placers) // two a machine at each placer
	if err := t.run("spread", "corpus-merge", most+4, 0.1, 0.1); err != nil {
		return err
	}
	if err := t.until("the spread is full", 60*time.Second, func() bool { return t.count("spread", "running") >= most-2 }); err != nil {
		return err
	}
	// One placer's places may be full while the other has one; the true reason is that of the placer asked.
	if err := t.until("both placers are full", 60*time.Second, func() bool { return t.count("spread", "running") == most }); err != nil {
		return err
	}
	var all struct{ Items []struct{ ID string } }
	if err := t.get("/v1/containers?limit=1000&field=job=spread,state!=running", &all); err != nil || len(all.Items) == 0 {
		return fmt.Errorf("none of the spread job waits: %v", err)
	}
	if err := t.expect("spread full", all.Items[len(all.Items)-1].ID, time.Now(), []string{"spread_full"}, []string{"no_machine", "no_room"}); err != nil {
		return err
	}
	return t.stop("spread")
}

// guard loses the answer to an at-most-once bid: nothing may be done for the settling time, and then it is.
func (t *WhyTrial) guard() error {
	for _, m := range t.Cluster.Machines {
		m.SetFrozen(true)
	}
	since := time.Now()
	if err := t.run("guarded", "corpus-merge", 2, 0.1, 0.1); err != nil {
		return err
	}
	hardStop := 4 * time.Second
	err := t.expect("given up, and it may run", "guarded.0", since.Add(hardStop), []string{"guard"}, nil)
	_, a, _ := t.codes("guarded.0")
	for _, m := range t.Cluster.Machines {
		m.SetFrozen(false)
	}
	if err != nil {
		return err
	}
	var ends time.Time
	for _, r := range a.Reasons {
		if r.Code == "guard" {
			ends = time.UnixMilli(r.UntilMS)
		}
	}
	if left := time.Until(ends); left <= 0 || left > 9*time.Second {
		t.missed = append(t.missed, fmt.Sprintf("the guard is said to end in %v", left))
		return nil
	}
	time.Sleep(time.Until(ends))
	if err := t.expect("the guard is over", "guarded.0", ends, nil, []string{"guard"}); err != nil {
		return err
	}
	if err := t.running("guarded", 2); err != nil {
		return err
	}
	return t.stop("guarded")
}

// scaledInGuard scales a job down while its containers are in the guard: none of them may be left running.
func (t *WhyTrial) scaledInGuard() error {
	// The freeze before has cost links; a bid over a link that does not stand provably never runs, and asks for no
	// guard. So every machine is used once first.
	n := 2 * len(t.Cluster.Machines) * len(t.Cluster.Placers)
	if err := t.run("warm", "corpus-merge", n, 0.1, 0.1); err != nil {
		return err
	}
	if err := t.until("every machine is in use again", 60*time.Second, func() bool { return t.count("warm", "running") == n }); err != nil {
		return err
	}
	if err := t.stop("warm"); err != nil {
		return err
	}
	for _, m := range t.Cluster.Machines {
		m.SetFrozen(true)
	}
	since := time.Now()
	if err := t.run("shrinks", "corpus-merge", 2, 0.1, 0.1); err != nil {
		return err
	}
	err := t.expect("in the guard", "shrinks.1", since.Add(4*time.Second), []string{"guard"}, nil)
	if err == nil {
		err = t.do("PUT", "/v1/jobs/shrinks", jobText{"service": "shrinks", "workload": "corpus-merge", "cores": 0.1, "memory_gib": 0.1,
			"count": 0, "run_for_ms": 3600_000}, nil)
	}
	for _, m := range t.Cluster.Machines {
		m.SetFrozen(false)
	}
	if err != nil {
		return err
	}
	if err := t.stop("shrinks"); err != nil {
		return err
	}
	return t.until("nothing of it runs", 10*time.Second, func() bool {
		n := 0
		for _, m := range t.Cluster.Machines {
			if s, ok := m.Status(); ok {
				n += s.Running
			}
		}
		return n == 0
	})
}

// waiting is a container that never runs: no machine is large enough.
func (t *WhyTrial) waitsForever() error {
	return t.run("huge", "matcher", 1, 500, 1)
}

func (t *WhyTrial) listAway() error {
	since := time.Now()
	if err := t.waitsForever(); err != nil {
		return err
	}
	if err := t.expect("too large for all", "huge.0", since, []string{"no_machine"}, []string{"no_room", "list_away"}); err != nil {
		return err
	}
	since = time.Now()
	t.Cluster.List.SetUnreachable(true)
	// It counts as away once it has been silent for four seconds.
	if err := t.expect("the list is away", "huge.0", since.Add(4*time.Second), []string{"list_away", "no_machine"}, nil); err != nil {
		return err
	}
	t.Cluster.List.SetUnreachable(false)
	// The placers ask again after a pause of their own; the reason must go within a second of their hearing it.
	return t.until("the list is heard again", 10*time.Second, func() bool {
		codes, _, err := t.codes("huge.0")
		return err == nil && !codes["list_away"]
	})
}

func (t *WhyTrial) placersGone() error {
	since := time.Now()
	for _, p := range t.Cluster.Placers {
		t.Cluster.Kill(p)
	}
	if err := t.expect("all placers killed", "huge.0", since, []string{"no_placer"}, []string{"no_machine"}); err != nil {
		return err
	}
	for _, p := range t.Cluster.Placers {
		if err := t.Cluster.Up(p); err != nil {
			return err
		}
	}
	if err := t.expect("and up again", "huge.0", time.Now(), nil, []string{"no_placer"}); err != nil {
		return err
	}
	return t.stop("huge")
}
