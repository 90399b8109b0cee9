package restart

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
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
	"glenport/internal/testbed/scenario"
	"glenport/scheduler"
)

// printedViolations is how many of the violations that a killRun found itself are printed.
const printedViolations = 8

// killRun is one run in which processes are killed while clients work.
type killRun struct {
	kills      int64 // of schedulers, in all
	seed       uint64
	dir        string
	cluster    *cluster.Cluster
	controller *process.Controller
	client     *jobClient

	schedulerKills  atomic.Int64
	controllerKills atomic.Int64
	truncatedLogs   atomic.Int64 // logs with an unfinished group at their end
	duplicates      atomic.Int64 // at-most-once containers seen twice at once

	mu         sync.Mutex
	violations []string
}

// killProcesses kills schedulers and the controller under load and reports whether all held.
func (t *Trial) killProcesses(s *scenario.Scenario, dir string, program []string) (bool, error) {
	c, err := cluster.Start(s.Spec, dir, program)
	if err != nil {
		return false, err
	}
	defer c.Shutdown()
	r := &killRun{kills: int64(t.Kills), seed: s.Seed, dir: dir, cluster: c}
	if r.controller, err = c.StartController(program[0], c.Clients.SchedulerAddrs, r.controllerState()); err != nil {
		return false, err
	}
	defer r.controller.Terminate()
	r.client = &jobClient{Controller: r.controller, jobs: map[string]acknowledgedJob{}}
	began := time.Now()
	c.Clients.Start(s.Rate/2, s.Seed)
	over := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { r.watchDuplicates(over) })
	r.killUnderLoad()
	length := time.Since(began)
	c.Clients.SetRate(0)
	wanted, running := r.waitSettled()
	c.WaitForReplies(s.Settle)
	close(over)
	watching.Wait()
	tally := c.Clients.Close()
	r.controller.Terminate()
	findings, err := c.CloseAndAudit()
	if err != nil {
		return false, err
	}
	report.Printf(
		t.Out,
		"kills: %d of placers and %d of the keeper by SIGKILL in %.0f s; every folder read after each, %d with an unfinished group "+
			"at its end\n",
		r.schedulerKills.Load(),
		r.controllerKills.Load(),
		length.Seconds(),
		r.truncatedLogs.Load(),
	)
	report.Printf(
		t.Out,
		"jobs: %d changes acknowledged, %d asked again; %d jobs with %d containers at the end, %d run; at-most-once seen twice: %d\n",
		r.client.acknowledged,
		r.client.retries,
		len(r.client.jobs),
		wanted,
		running,
		r.duplicates.Load(),
	)
	t.printKillAudit(&tally, findings, r.violations)
	return len(r.violations) == 0 && findings.Passed() && tally.DuplicateReplies == 0 && tally.Pending == 0, nil
}

func (t *Trial) printKillAudit(tally *emulator.Tally, findings *audit.Report, violations []string) {
	report.Printf(
		t.Out,
		"owners: %d submitted, %d placed, %d answers too many, %d without one; record: %d frames, %d offers, %d yeses; cold machines "+
			"at most at %d of %d\n",
		tally.Submitted,
		tally.Placed,
		tally.DuplicateReplies,
		tally.Pending,
		findings.Frames,
		findings.Offers,
		findings.Accepted,
		findings.SlowStartPeak,
		findings.SlowStartBudget,
	)
	report.Violations(t.Out, findings)
	for _, violation := range violations[:min(len(violations), printedViolations)] {
		report.Printf(t.Out, "fault: %s\n", violation)
	}
	if findings.Passed() {
		report.Printf(t.Out, "rules: kept over all lives\n")
	}
}

func (r *killRun) controllerState() string { return filepath.Join(r.dir, "keeper.state") }

// report notes a violation; it may be called from any goroutine.
func (r *killRun) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// killUnderLoad kills processes until the schedulers have had all their kills, while a client changes jobs.
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

// over reports whether the schedulers have had all their kills.
func (r *killRun) over() bool { return r.schedulerKills.Load() >= r.kills }

func (r *killRun) killScheduler(p *process.Scheduler, random *rand.Rand) {
	for r.schedulerKills.Add(1) <= r.kills {
		time.Sleep(time.Duration(30+random.IntN(150)) * time.Millisecond)
		r.cluster.KillScheduler(p)
		r.checkFolder(p.Name, filepath.Join(r.dir, p.Name+".state"))
		if err := r.cluster.StartScheduler(p); err != nil {
			r.report("%v", err)
			return
		}
	}
	r.schedulerKills.Add(-1)
}

func (r *killRun) killController(random *rand.Rand) {
	for !r.over() {
		time.Sleep(time.Duration(300+random.IntN(500)) * time.Millisecond)
		r.controller.Signal(syscall.SIGKILL)
		r.controllerKills.Add(1)
		r.checkFolder("keeper", r.controllerState())
		if err := r.controller.Launch(); err != nil {
			r.report("%v", err)
			return
		}
	}
}

// restartMachines restarts machines meanwhile: offers that earlier incarnations of schedulers sent to a machine in slow
// start count against its budget.
func (r *killRun) restartMachines() {
	for i := 0; !r.over(); i++ {
		time.Sleep(700 * time.Millisecond)
		m := r.cluster.Machines[i%len(r.cluster.Machines)]
		m.Crash()
		if err := m.Start(false); err != nil {
			r.report("%v", err)
			return
		}
	}
}

// checkFolder reads a folder as a process that was killed left it.
func (r *killRun) checkFolder(name, folder string) {
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

// watchDuplicates looks, in the machines' own state, for at-most-once containers that run twice at once.
func (r *killRun) watchDuplicates(over chan struct{}) {
	for {
		for id, copies := range runningJobCopies(r.cluster) {
			class := r.cluster.Config.Policy.WorkloadClasses[copies.workload]
			if copies.count > 1 && class.Idempotency == scheduler.AtMostOnce {
				r.duplicates.Add(1)
				r.report("%s runs %d times at once:%s", id, copies.count, copies.where)
			}
		}
		select {
		case <-over:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// waitSettled compares the API with what was acknowledged and waits until exactly the wanted containers run.
func (r *killRun) waitSettled() (wanted, running int) {
	wanted = r.client.wantedContainers()
	var all struct{ Items []listedJob }
	if err := process.WaitUntil("the keeper answers", process.ControllerTimeout, func() bool {
		return r.controller.Get("/v1/jobs?limit=1000", &all) == nil
	}); err != nil {
		r.report("%v", err)
		return wanted, 0
	}
	r.client.compareJobs(all.Items, r.report)
	err := process.WaitUntil("every wanted container runs, by the machines' own word", time.Minute, func() bool {
		running = 0
		for _, copies := range runningJobCopies(r.cluster) {
			running += copies.count
		}
		return running == wanted && r.controller.CountByState(process.StateRunning) == wanted
	})
	if err != nil {
		r.report(
			"%v: %d run, the API has %d, %d are wanted",
			err,
			running,
			r.controller.CountByState(process.StateRunning),
			wanted,
		)
		r.reportUnwanted()
	}
	return wanted, running
}

// reportUnwanted reports what runs of no job, and what runs more than once.
func (r *killRun) reportUnwanted() {
	for id, copies := range runningJobCopies(r.cluster) {
		job, _, _ := strings.Cut(id, "/")
		if _, ok := r.client.jobs[job]; !ok || copies.count > 1 {
			r.report("%s runs %d times:%s", id, copies.count, copies.where)
		}
	}
}

// runningCopies is what runs of one container.
type runningCopies struct {
	count    int
	workload int
	where    string // machines and keys
}

// runningJobCopies counts what runs of the jobs, by job, index and workload class, in the machines' own state: a job
// that was deleted and created again with another class is another.
func runningJobCopies(c *cluster.Cluster) map[string]runningCopies {
	all := map[string]runningCopies{}
	for _, m := range c.Machines {
		for _, spec := range m.RunningContainers() {
			if !strings.HasPrefix(spec.IdempotencyKey, "job-") {
				continue
			}
			container := spec.IdempotencyKey[:strings.LastIndex(spec.IdempotencyKey, "/")]
			id := fmt.Sprintf("%s of %s", container, c.Config.WorkloadClasses[spec.WorkloadClass])
			copies := all[id]
			copies.count++
			copies.workload = spec.WorkloadClass
			copies.where += " " + m.Name + " " + spec.IdempotencyKey + " as " + spec.ContainerID
			all[id] = copies
		}
	}
	return all
}
