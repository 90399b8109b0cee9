package scenario

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/schedulerd"
	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/emulator"
	"glenport/scheduler"
)

// The test program is its own placer process, so that one can be killed for good.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "placer" {
		s, err := config.LoadScheduler(os.Args[3])
		if err != nil {
			panic(err)
		}
		h, err := schedulerd.New(s, scheduler.New(s.Policy), slog.New(slog.NewTextHandler(os.Stderr, nil)))
		if err != nil {
			panic(err)
		}
		h.Run()
		return
	}
	os.Exit(m.Run())
}

func day(t *testing.T) *Day {
	d, err := LoadDay("../../../scenarios/short.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d.Placers, d.Troubles = 1, nil
	return d
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in 30 s: %s", what)
		}
	}
}

// A placer is killed with 500 bids out. The next life calls off what has not started, takes over what runs, and
// no key of at-most-once work runs twice though its owners ask for all of it again.
func TestKilledWithBidsOut(t *testing.T) {
	d, dir := day(t), t.TempDir()
	d.Machine.StartTime, d.Machine.MaxQueuedOffers, d.Machine.ConcurrentStarts, d.Machine.ImageMissFactor = 150*time.Millisecond, 1000, 3, 1
	d.Works = []emulator.WorkloadProfile{{}, {}, {Share: 1, Services: 400, Cores: []float64{0.1}, Memory: []float64{0.1}, MeanRuntime: 30 * time.Second,
		PlacementTimeout: 4 * time.Second, RetryRejected: true, RetryUnanswered: true}}
	c, err := Bring(d, dir, []string{os.Args[0], "placer"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p := c.Placers[0]
	c.Owners.Start(4000, 1)
	until(t, "500 bids out", func() bool {
		s, err := p.Status()
		return err == nil && s["bids"] > 500 && s["containers running"] > 20 && s["containers known"]-s["containers running"] > 500
	})
	c.Owners.SetRate(0)
	c.Kill(p)
	ran := 0
	for _, m := range c.Machines {
		s, _ := m.Status()
		ran += s.Running
	}
	if err := c.Up(p); err != nil {
		t.Fatal(err)
	}
	until(t, "what runs is taken over", func() bool {
		s, err := p.Status()
		return err == nil && int(s["containers taken over"]) >= ran
	})
	until(t, "what was lost is asked for again, and answered", func() bool { return c.Owners.Retried() >= 400 && c.Owners.Pending() == 0 })
	tally := c.Owners.Close()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	j, err := audit.CheckRecording(filepath.Join(dir, "record"))
	if err != nil {
		t.Fatal(err)
	}
	if !j.Passed() || tally.DuplicateReplies > 0 || tally.Unanswered < 400 {
		t.Errorf("%v; %+v", j.Violations, tally)
	}
}

// A hall is lost and comes back cold at the same addresses, under load, in a cluster of one process.
func TestHallComesBack(t *testing.T) {
	d, dir := day(t), t.TempDir()
	d.Length, d.Placers = 3*time.Second, 2
	d.Troubles = []Trouble{{Kind: "hall restarts cold", At: 500 * time.Millisecond, For: 300 * time.Millisecond, Hall: 1}}
	var out bytes.Buffer
	o, err := d.Run(dir, []string{os.Args[0], "placer"}, &out)
	if err != nil {
		t.Fatal(err)
	}
	if o.Print(&out); !o.Held() || o.Audit.SlowStartPeak == 0 || o.Tally.Lost == 0 {
		t.Error(out.String())
	}
}

func TestDayFaults(t *testing.T) {
	good, err := os.ReadFile("../../../scenarios/short.yaml")
	if err != nil {
		t.Fatal(err)
	}
	terms, _ := os.ReadFile("../../../scenarios/placer.yaml")
	for _, tc := range []struct{ name, old, new, want string }{
		{"no such trouble", "kind: slow", "kind: sloth", `"sloth" is no trouble`},
		{"no such hall", "hall: middle", "hall: centre", `"centre" is none of north, middle, south`},
		{"no such workload", "workload: matcher", "workload: mather", `"mather" is none of`},
		{"missing", "seed: 11\n", "", "seed is missing"},
		{"no unit", "length: 12s", "length: 12", "has no unit"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			os.WriteFile(filepath.Join(dir, "placer.yaml"), terms, 0o644)
			path := filepath.Join(dir, "day.yaml")
			os.WriteFile(path, []byte(strings.Replace(string(good), tc.old, tc.new, 1)), 0o644)
			if _, err := LoadDay(path); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
}

// The kinds of trouble of a simulated day find their like; what has none is named.
func TestReplay(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.json")
	os.WriteFile(path, []byte(`{"site":"s","length":9000000,"servers":[{},{},{},{}],"balancers":[{},{}],"troubles":[
		{"kind":"mass_restart","at":1000000,"len":500000,"on":[1,2]},{"kind":"balancer_crash","at":2000000,"len":1,"on":[0]},
		{"kind":"report_late","at":1,"len":2}]}`), 0o644)
	var out bytes.Buffer
	d, err := LoadReplay(path, "../../../scenarios/short.yaml", 100, &out)
	if err != nil {
		t.Fatal(err)
	}
	want := []Trouble{{Kind: "crash", At: time.Second, For: 500 * time.Millisecond, Part: 0.5},
		{Kind: "placers killed", At: 2 * time.Second, For: time.Microsecond, Part: 0.5}}
	if len(d.Troubles) != 2 || d.Troubles[0] != want[0] || d.Troubles[1] != want[1] || !strings.Contains(out.String(), "left out: report_late") {
		t.Errorf("%+v\n%s", d.Troubles, out.String())
	}
	os.WriteFile(path, []byte(`{}`), 0o644)
	if _, err := LoadReplay(path, "../../../scenarios/short.yaml", 100, io.Discard); err == nil {
		t.Error("what is no day is played")
	}
}
