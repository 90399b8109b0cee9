package restart

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"glenport/internal/schedulerd"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/report"
)

// killRun is a run in which processes are killed under load.
type killRun struct {
	kills      int64 // total kills of schedulers
	seed       uint64
	dir        string
	cluster    *cluster.Cluster
	controller *process.Controller
	client     *jobClient

	schedulerKills  atomic.Int64
	controllerKills atomic.Int64
	truncatedLogs   atomic.Int64 // logs that end with an incomplete commit group
	duplicates      atomic.Int64 // observations of an at-most-once container that runs more than once

	mu         sync.Mutex
	violations []string
}

// killProcesses kills schedulers and the controller under load and records the failed checks.
func (t *Trial) killProcesses() error {
	s, dir := t.scenario, t.path("kills")
	c, err := cluster.Start(s.Spec, dir, t.program)
	if err != nil {
		return err
	}
	defer c.Shutdown()
	r := &killRun{kills: int64(t.Kills), seed: s.Seed, dir: dir, cluster: c}
	if r.controller, err = c.StartController(t.program[0], c.Clients.SchedulerAddrs, r.controllerState()); err != nil {
		return err
	}
	defer r.controller.Terminate()
	r.client = &jobClient{Controller: r.controller, jobs: map[string]acknowledgedJob{}}
	began := time.Now()
	c.Clients.Start(s.Rate/2, s.Seed)
	stopWatching := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { r.watchDuplicates(stopWatching) })
	r.killUnderLoad()
	length := time.Since(began)
	c.Clients.SetRate(0)
	wanted, running := r.waitSettled()
	c.WaitForReplies(s.Settle)
	close(stopWatching)
	watching.Wait()
	tally := c.Clients.Close()
	r.controller.Terminate()
	findings, err := c.CloseAndAudit()
	if err != nil {
		return err
	}
	t.Printf("kills: %d of schedulers and %d of the controller by SIGKILL in %.0f s; the state folder was read after "+
		"each kill, %d logs ended with an incomplete commit group\n",
		r.schedulerKills.Load(), r.controllerKills.Load(), length.Seconds(), r.truncatedLogs.Load())
	t.Printf("jobs: %d changes acknowledged, %d retries; %d jobs with %d containers at the end, %d run; "+
		"duplicates of at-most-once containers seen: %d\n",
		r.client.acknowledgedChanges, r.client.retries, len(r.client.jobs), wanted, running, r.duplicates.Load())
	t.auditKills(&tally, findings)
	for _, violation := range r.violations {
		t.Failf("%s", violation)
	}
	return nil
}

// auditKills prints the figures of the clients and of the recording, and records the failed checks.
func (t *Trial) auditKills(tally *emulator.Tally, findings *audit.Report) {
	t.Printf("clients: %d submitted, %d placed, %d duplicate replies, %d unanswered; recording: %d frames, %d offers, "+
		"%d accepts; machines in slow start at most at %d of %d offers\n",
		tally.Submitted, tally.Placed, tally.DuplicateReplies, tally.Pending,
		findings.Frames, findings.Offers, findings.Accepted, findings.SlowStartPeak, findings.SlowStartBudget)
	report.RecordingLag(t.Out, findings)
	report.Violations(t.Out, findings)
	if findings.Passed() {
		t.Printf("rules: kept over all lives\n")
	} else {
		t.Failf("%d violations of rules in the recording", len(findings.Violations))
	}
	if tally.DuplicateReplies > 0 || tally.Pending > 0 {
		t.Failf("%d duplicate replies, %d unanswered submissions", tally.DuplicateReplies, tally.Pending)
	}
}

func (r *killRun) controllerState() string { return filepath.Join(r.dir, "controller.state") }

// report records a violation. It may be called from any goroutine.
func (r *killRun) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// killUnderLoad kills processes while a client changes jobs. It ends after the last kill of a scheduler.
func (r *killRun) killUnderLoad() {
	stop := make(chan struct{})
	var changing, killing sync.WaitGroup
	changing.Go(func() { r.client.changeJobs(stop, rand.New(rand.NewPCG(r.seed, 21))) })
	for i, p := range r.cluster.Schedulers {
		killing.Go(func() { r.killScheduler(p, rand.New(rand.NewPCG(r.seed, uint64(100+i)))) })
	}
	killing.Go(func() { r.killController(rand.New(rand.NewPCG(r.seed, 99))) })
	killing.Go(r.restartMachines)
	killing.Wait()
	close(stop)
	changing.Wait()
	if r.client.err != nil {
		r.report("%v", r.client.err)
	}
}

// killsDone reports whether all kills of schedulers are done.
func (r *killRun) killsDone() bool { return r.schedulerKills.Load() >= r.kills }

func (r *killRun) killScheduler(p *process.Scheduler, random *rand.Rand) {
	for r.schedulerKills.Add(1) <= r.kills {
		time.Sleep(time.Duration(30+random.IntN(150)) * time.Millisecond)
		r.cluster.KillScheduler(p)
		r.checkStateDir(p.Name, filepath.Join(r.dir, p.Name+".state"))
		if err := r.cluster.StartScheduler(p); err != nil {
			r.report("%v", err)
			return
		}
	}
	r.schedulerKills.Add(-1)
}

func (r *killRun) killController(random *rand.Rand) {
	for !r.killsDone() {
		time.Sleep(time.Duration(300+random.IntN(500)) * time.Millisecond)
		r.controller.Signal(syscall.SIGKILL)
		r.controllerKills.Add(1)
		r.checkStateDir("controller", r.controllerState())
		if err := r.controller.Launch(); err != nil {
			r.report("%v", err)
			return
		}
	}
}

// restartMachines restarts machines during the kills. Offers that earlier incarnations of schedulers sent to a machine
// in slow start must count against its budget.
func (r *killRun) restartMachines() {
	for i := 0; !r.killsDone(); i++ {
		time.Sleep(700 * time.Millisecond)
		m := r.cluster.Machines[i%len(r.cluster.Machines)]
		m.Crash()
		if err := m.Start(false); err != nil {
			r.report("%v", err)
			return
		}
	}
}

// checkStateDir checks that the state folder of a killed process can be read.
func (r *killRun) checkStateDir(name, folder string) {
	fs, err := vfs.OpenReadOnly(folder)
	if err != nil {
		r.report("%s: %v", name, err)
		return
	}
	state, err := wal.Load(fs, false)
	if err == nil {
		r.truncatedLogs.Add(int64(min(1, state.TruncatedBytes)))
		_, err = schedulerd.ReadWarmStart(fs)
	}
	if err != nil {
		r.report("%s after a kill: %v", name, err)
	}
}
