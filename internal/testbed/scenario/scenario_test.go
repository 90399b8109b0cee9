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
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faults"
	"glenport/internal/testbed/process"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// schedulerArgument makes the test binary run as a scheduler.
const schedulerArgument = "scheduler"

// The test binary also runs as the scheduler process, so that tests can kill a scheduler.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == schedulerArgument {
		s, err := config.LoadScheduler(os.Args[3])
		if err != nil {
			panic(err)
		}
		instance, err := schedulerd.New(s, scheduler.New(s.Policy), slog.New(slog.NewTextHandler(os.Stderr, nil)))
		if err != nil {
			panic(err)
		}
		if err := instance.Run(); err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// shortScenario returns the short scenario with one scheduler and no faults.
func shortScenario(t *testing.T) *Scenario {
	t.Helper()
	s := readScenario(t, "../../../scenarios/short.yaml")
	s.Schedulers, s.Faults = 1, nil
	return s
}

// writeShortScenario writes the short scenario with a part of it replaced, and the scheduler configuration it uses.
func writeShortScenario(t *testing.T, replaced, replacement string) (path string) {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"short.yaml", "scheduler.yaml"} {
		text := testutil.ReadFile(t, filepath.Join("../../../scenarios", name))
		if name == "short.yaml" {
			text = []byte(strings.Replace(string(text), replaced, replacement, 1))
		}
		testutil.WriteFile(t, filepath.Join(dir, name), text)
	}
	return filepath.Join(dir, "short.yaml")
}

func requireWithin30s(t *testing.T, what string, holds func() bool) {
	t.Helper()
	testutil.NoError(t, process.Poll(5*time.Millisecond, 30*time.Second, what, holds))
}

// The next incarnation of a killed scheduler cancels the attempts that have not started and adopts the running
// containers. No at-most-once container runs twice although the clients retry all of them.
func TestSchedulerKilledWith500AttemptsRunsNothingTwice(t *testing.T) {
	s, dir := shortScenario(t), t.TempDir()
	s.Machine.StartTime, s.Machine.ImageMissFactor = 150*time.Millisecond, 1
	s.Machine.MaxQueuedOffers, s.Machine.ConcurrentStarts = 1000, 3
	s.Workloads = []emulator.WorkloadProfile{{}, {}, {
		Share: 1, Services: 400, Cores: []float64{0.1}, Memory: []float64{0.1}, MeanRuntime: 30 * time.Second,
		PlacementTimeout: 4 * time.Second, RetryRejected: true, RetryUnanswered: true,
	}}
	c, err := cluster.Start(s.Spec, dir, []string{os.Args[0], schedulerArgument})
	testutil.NoError(t, err)
	defer c.Shutdown()
	schedulerProcess := c.Schedulers[0]
	c.Clients.MaxPending = 1500 // more requests would queue unread if a process is short of processor time
	c.Clients.Start(4000, 1)
	requireWithin30s(t, "500 attempts are open", func() bool {
		stats, err := schedulerProcess.Status()
		return err == nil && stats["bids"] > 500 && stats["containers running"] > 20 &&
			stats["containers known"]-stats["containers running"] > 500
	})
	c.Clients.SetRate(0)
	c.KillScheduler(schedulerProcess)
	ran := 0
	for _, m := range c.Machines {
		status, _ := m.Status()
		ran += status.Running
	}
	testutil.NoError(t, c.StartScheduler(schedulerProcess))
	requireWithin30s(t, "the running containers are adopted", func() bool {
		stats, err := schedulerProcess.Status()
		return err == nil && int(stats["containers taken over"]) >= ran
	})
	requireWithin30s(t, "the lost requests are retried and answered", func() bool {
		return c.Clients.Retried() >= 400 && c.Clients.Pending() == 0
	})
	tally := c.Clients.Close()
	testutil.NoError(t, c.Close())
	findings, err := audit.CheckRecording(filepath.Join(dir, "record"))
	testutil.NoError(t, err)
	testutil.Expect(t, findings.Passed() && tally.DuplicateReplies <= 0 && tally.Unanswered >= 400,
		"%v; %+v", findings.Violations, tally)
}

// The machines of a restarted zone come back in slow start, at the same addresses and under load. The zone goes down
// late enough that containers already run there even if the test host is busy and starts are slow.
func TestZoneComesBackInSlowStart(t *testing.T) {
	s, dir := shortScenario(t), t.TempDir()
	s.Length, s.Schedulers = 5*time.Second, 2
	s.Faults = []faults.Fault{
		{Kind: faults.KindZoneRestart, At: 2500 * time.Millisecond, Duration: 300 * time.Millisecond, Zone: 1},
	}
	var out bytes.Buffer
	o, err := s.Run(dir, []string{os.Args[0], schedulerArgument}, &out)
	testutil.NoError(t, err)
	if o.Print(&out); !o.Passed() || o.Audit.SlowStartPeak == 0 || o.Tally.Lost == 0 {
		t.Error(out.String())
	}
}

// The error names the value or key that is wrong.
func TestInvalidScenarioFileIsRefused(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"no such kind of fault", "kind: slow", "kind: sloth", `"sloth" is not a kind of fault`},
		{"no such zone", "zone: middle", "zone: centre", `"centre" is none of north, middle, south`},
		{"no such workload", "workload_class: matcher", "workload_class: mather", `"mather" is none of`},
		{"missing", "seed: 11\n", "", "seed is missing"},
		{"no unit", "length: 12s", "length: 12", "has no unit"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := writeShortScenario(t, tc.old, tc.new)
			if _, err := Load(path); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
}

// Simulated faults are replayed by their counterparts. Faults without a counterpart are reported, and a file that is
// not a simulated day is refused.
func TestReplayPlaysTheCounterpartsOfSimulatedFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.json")
	testutil.WriteFile(t, path, []byte(`{"site":"s","length":9000000,
		"servers":[{},{},{},{}],"balancers":[{},{}],"troubles":[
		{"kind":"mass_restart","at":1000000,"len":500000,"on":[1,2]},
		{"kind":"balancer_crash","at":2000000,"len":1,"on":[0]},
		{"kind":"report_late","at":1,"len":2}]}`))
	var out bytes.Buffer
	s, err := LoadReplay(path, "../../../scenarios/short.yaml", 100, &out)
	testutil.NoError(t, err)
	want := []faults.Fault{
		{Kind: faults.KindCrash, At: time.Second, Duration: 500 * time.Millisecond, Fraction: 0.5},
		{Kind: faults.KindSchedulersKilled, At: 2 * time.Second, Duration: time.Microsecond, Fraction: 0.5},
	}
	if len(s.Faults) != 2 || s.Faults[0] != want[0] || s.Faults[1] != want[1] ||
		!strings.Contains(out.String(), "left out: report_late") {
		t.Errorf("%+v\n%s", s.Faults, out.String())
	}
	testutil.WriteFile(t, path, []byte(`{}`))
	if _, err := LoadReplay(path, "../../../scenarios/short.yaml", 100, io.Discard); err == nil {
		t.Error("a file that is not a simulated day is accepted")
	}
}
