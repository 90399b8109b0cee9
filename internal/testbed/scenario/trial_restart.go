package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"glenport/internal/controller"
	"glenport/internal/controller/server"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testbed/audit"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// RestartTrial kills placers and the keeper while they write, and looks for anything that was promised and is not
// there: in every folder after every kill, in the API and on the machines at the end, in the record of the sockets.
type RestartTrial struct {
	Kills       int    // of placers; the keeper dies a tenth as often
	LogSizes    []int  // containers in the log at a start that is timed
	MeasureLost bool   // measure the starts lost after a restart
	Sabotage    string // sync or checksum: sabotage of the store
	Out         io.Writer
}

// Run returns whether all held.
func (t *RestartTrial) Run(day *Scenario, dir string, program []string) (bool, error) {
	ok, err := t.checkCrashStates()
	if err != nil || t.Sabotage != "" {
		return ok, err
	}
	if err := t.measureCommits(filepath.Join(dir, "commits")); err != nil {
		return false, err
	}
	killed, err := t.killProcesses(day, filepath.Join(dir, "kills"), program)
	if err != nil {
		return false, err
	}
	ok = ok && killed
	for _, n := range t.LogSizes {
		if err := t.measureStart(day, filepath.Join(dir, fmt.Sprint("start-", n)), program, n); err != nil {
			return false, err
		}
	}
	if t.MeasureLost {
		if err := t.measureLost(day, dir, program); err != nil {
			return false, err
		}
	}
	return ok, nil
}

// checkCrashStates walks through the states that a crash may leave; a fault found is printed and no error of the trial's.
func (t *RestartTrial) checkCrashStates() (bool, error) {
	var sum CrashCheck
	for seed := uint64(1); seed <= 5; seed++ {
		c := &CrashCheck{Seed: seed, Commits: 60, RandomStates: 8, Sabotage: t.Sabotage}
		err := c.Run()
		sum.Operations, sum.States, sum.SecondCrashes, sum.BitFlips, sum.Refused = sum.Operations+c.Operations, sum.States+c.States, sum.SecondCrashes+c.SecondCrashes, sum.BitFlips+c.BitFlips,
			sum.Refused+c.Refused
		if err != nil {
			fmt.Fprintf(t.Out, "crash states, history %d: %v\n", seed, err)
			return false, nil
		}
	}
	fmt.Fprintf(t.Out, "crash states: %d operations, %d states after one crash and %d after a second in recovery, all legal; "+
		"%d of %d single bits turned over were refused, the others were in the last group\n", sum.Operations, sum.States, sum.SecondCrashes, sum.Refused,
		sum.BitFlips)
	return true, nil
}

// measureCommits measures the store with and without group commit, on the disk that there is.
func (t *RestartTrial) measureCommits(dir string) error {
	for _, alone := range []bool{true, false} {
		d, err := vfs.OpenLocked(fmt.Sprint(dir, alone))
		if err != nil {
			return err
		}
		s, _, err := wal.Open(d, wal.Options{SyncEachCommit: alone})
		if err != nil {
			return err
		}
		const clients = 64
		var n, total, worst atomic.Int64
		var each sync.WaitGroup
		began := time.Now()
		for c := range clients {
			each.Go(func() {
				v := make([]byte, 200)
				for i := 0; time.Since(began) < time.Second; i++ {
					at, done := time.Now(), make(chan error, 1)
					s.Commit([]wal.Change{{Kind: "k", Key: fmt.Sprint(c, i%1000), Value: v}}, true, func(err error) { done <- err })
					if <-done != nil {
						return
					}
					took := time.Since(at).Microseconds()
					n.Add(1)
					total.Add(took)
					for w := worst.Load(); took > w && !worst.CompareAndSwap(w, took); w = worst.Load() {
					}
				}
			})
		}
		each.Wait()
		length := time.Since(began)
		s.Close()
		counts := s.Counters()
		d.Close()
		fmt.Fprintf(t.Out, "commits, %d clients, group commit %v: %.0f a second, mean %.2f ms, worst %.1f ms; %d syncs of mean %.3f ms\n", clients,
			!alone, float64(n.Load())/length.Seconds(), float64(total.Load())/1000/float64(max(1, n.Load())), float64(worst.Load())/1000,
			counts.Syncs, counts.SyncTime.Seconds()*1000/float64(max(1, counts.Syncs)))
	}
	return nil
}

// acknowledgedJob is what the API acknowledged last of a job.
type acknowledgedJob struct {
	document jobDocument
	version  int64
}

// jobClient makes, changes and drops jobs all the time, asking again until each is acknowledged, as an owner would.
type jobClient struct {
	*controllerProcess
	jobs         map[string]acknowledgedJob
	acknowledged int
	retries      int
	err          error
}

func (c *jobClient) changeJobs(stop chan struct{}, r *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+r.IntN(40)) * time.Millisecond):
		}
		id := fmt.Sprint("job-", r.IntN(24))
		_, there := c.jobs[id]
		text := jobDocument{"id": id, "service": id, "workload": []string{"matcher", "corpus-merge", "report-run"}[r.IntN(3)], "cores": 0.1,
			"memory_gib": 0.1, "count": 1 + r.IntN(4), "run_for_ms": 3600_000}
		if there { // a job keeps its sort of work
			text["workload"] = c.jobs[id].document["workload"]
		}
		method, path, in := "POST", "/v1/jobs", any(text)
		switch {
		case there && r.IntN(4) == 0:
			method, path, in = "DELETE", "/v1/jobs/"+id, nil
		case there:
			method, path = "PUT", "/v1/jobs/"+id
		}
		key := fmt.Sprintf("key-%d", n)
		for try := 0; ; try++ {
			status, version, err := c.changeJob(method, path, key, in)
			if err == nil && status < 300 || method == "DELETE" && status == 404 && try > 0 {
				c.acknowledged++
				if method == "DELETE" {
					delete(c.jobs, id)
				} else {
					c.jobs[id] = acknowledgedJob{text, version}
				}
				break
			}
			if err == nil && status < 500 {
				c.err = fmt.Errorf("%s %s, try %d: %d", method, path, try+1, status)
				return
			}
			c.retries++
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// killProcesses plays the killing.
func (t *RestartTrial) killProcesses(day *Scenario, dir string, program []string) (bool, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	c, err := StartCluster(day, dir, program)
	if err != nil {
		return false, err
	}
	defer c.Close()
	folder := filepath.Join(dir, "keeper.state")
	k, err := newController(dir, program[0], c.ListAddr, c.Schedulers, c.Clients.Doors, folder)
	if err != nil {
		return false, err
	}
	defer k.terminate()
	if err := k.start(len(c.Machines)); err != nil {
		return false, err
	}
	began := time.Now()
	c.Clients.Start(day.Rate/2, day.Seed)
	own := &jobClient{controllerProcess: &k, jobs: map[string]acknowledgedJob{}}
	stop, clientDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(clientDone)
		own.changeJobs(stop, rand.New(rand.NewPCG(day.Seed, 21)))
	}()
	var mu sync.Mutex
	var faults []string
	fault := func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		faults = append(faults, fmt.Sprintf(format, a...))
	}
	var killed, keeperKilled, cut atomic.Int64
	var twice atomic.Int64
	over := make(chan struct{})
	var watching, killing sync.WaitGroup
	watching.Go(func() { // by the machines' own word
		for {
			for key, x := range runningJobCopies(c) {
				if x.count > 1 && c.Config.Terms.WorkloadClasses[x.workload].Idempotency == scheduler.AtMostOnce {
					twice.Add(1)
					fault("%s runs %d times at once:%s", key, x.count, x.where)
				}
			}
			select {
			case <-over:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	look := func(name, folder string) {
		d, err := vfs.OpenReadOnly(folder)
		if err != nil {
			fault("%s: %v", name, err)
			return
		}
		s, err := wal.Load(d, false)
		if err == nil {
			cut.Add(int64(min(1, s.TruncatedBytes)))
			_, err = schedulerd.ReadWarmStart(d)
		}
		if err != nil {
			fault("%s after a kill: %v", name, err)
		}
	}
	for i, p := range c.Schedulers {
		killing.Go(func() {
			r := rand.New(rand.NewPCG(day.Seed, uint64(100+i)))
			for killed.Add(1) <= int64(t.Kills) {
				time.Sleep(time.Duration(30+r.IntN(150)) * time.Millisecond)
				c.KillScheduler(p)
				look(p.Name, filepath.Join(dir, p.Name+".state"))
				if err := c.StartScheduler(p); err != nil {
					fault("%v", err)
					return
				}
			}
			killed.Add(-1)
		})
	}
	killing.Go(func() {
		r := rand.New(rand.NewPCG(day.Seed, 99))
		for killed.Load() < int64(t.Kills) {
			time.Sleep(time.Duration(300+r.IntN(500)) * time.Millisecond)
			k.signal(syscall.SIGKILL)
			keeperKilled.Add(1)
			look("keeper", folder)
			if err := k.launch(); err != nil {
				fault("%v", err)
				return
			}
		}
	})
	killing.Go(func() { // and machines come back cold meanwhile: what went to them in an earlier life counts
		for i := 0; killed.Load() < int64(t.Kills); i++ {
			time.Sleep(700 * time.Millisecond)
			m := c.Machines[i%len(c.Machines)]
			m.Crash()
			if err := m.Up(false); err != nil {
				fault("%v", err)
				return
			}
		}
	})
	killing.Wait()
	close(stop)
	<-clientDone
	length := time.Since(began)
	c.Clients.Rate(0)
	if own.err != nil {
		fault("%v", own.err)
	}
	want, there := t.settled(c, own, fault)
	for end := time.Now().Add(day.Settle); c.Clients.Waiting() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	close(over)
	watching.Wait()
	tally := c.Clients.Close()
	k.terminate()
	if err := c.Close(); err != nil {
		return false, err
	}
	j, err := audit.CheckRecording(filepath.Join(dir, "record"))
	if err != nil {
		return false, err
	}
	fmt.Fprintf(t.Out, "kills: %d of placers and %d of the keeper by SIGKILL in %.0f s; every folder read after each, %d with an unfinished group "+
		"at its end\n", killed.Load(), keeperKilled.Load(), length.Seconds(), cut.Load())
	fmt.Fprintf(t.Out, "jobs: %d changes acknowledged, %d asked again; %d jobs with %d containers at the end, %d run; at-most-once seen twice: %d\n",
		own.acknowledged, own.retries, len(own.jobs), want, there, twice.Load())
	fmt.Fprintf(t.Out, "owners: %d submitted, %d placed, %d answers too many, %d without one; record: %d frames, %d offers, %d yeses; cold machines "+
		"at most at %d of %d\n", tally.Submitted, tally.Placed, tally.Twice, tally.Waiting, j.Frames, j.Offers, j.Accepted, j.SlowStartPeak, j.SlowStartBudget)
	PrintViolations(t.Out, j)
	for i, f := range faults {
		if i < 8 {
			fmt.Fprintln(t.Out, "fault:", f)
		}
	}
	if j.Passed() {
		fmt.Fprintln(t.Out, "rules: kept over all lives")
	}
	return len(faults) == 0 && j.Passed() && tally.Twice == 0 && tally.Waiting == 0, nil
}

// settled waits until every wanted container runs, and compares the API with what was acknowledged.
func (t *RestartTrial) settled(c *Cluster, own *jobClient, fault func(string, ...any)) (want, there int) {
	for _, w := range own.jobs {
		want += w.document["count"].(int)
	}
	var all struct {
		Items []struct {
			ID       string
			Workload string
			Count    int
			Version  int64
		}
	}
	if err := own.waitUntil("the keeper answers", 20*time.Second, func() bool { return own.get("/v1/jobs?limit=1000", &all) == nil }); err != nil {
		fault("%v", err)
		return want, 0
	}
	seen := map[string]bool{}
	for _, j := range all.Items {
		w, ok := own.jobs[j.ID]
		seen[j.ID] = true
		switch {
		case !ok:
			fault("job %s is there, its end was acknowledged", j.ID)
		case j.Version != w.version || j.Count != w.document["count"] || j.Workload != w.document["workload"]:
			fault("job %s is %+v, acknowledged was version %d of %v", j.ID, j, w.version, w.document)
		}
	}
	for id := range own.jobs {
		if !seen[id] {
			fault("job %s was acknowledged and is not there", id)
		}
	}
	err := own.waitUntil("every wanted container runs, by the machines' own word", 60*time.Second, func() bool {
		there = 0
		for _, x := range runningJobCopies(c) {
			there += x.count
		}
		return there == want && own.countByState("running") == want
	})
	if err != nil {
		fault("%v: %d run, the API has %d, %d are wanted", err, there, own.countByState("running"), want)
		for id, x := range runningJobCopies(c) {
			if _, ok := own.jobs[id[:strings.Index(id, "/")]]; !ok || x.count > 1 {
				fault("%s runs %d times:%s", id, x.count, x.where)
			}
		}
	}
	return want, there
}

func (k *controllerProcess) countByState(state string) int {
	var all struct{ Items []any }
	if k.get("/v1/containers?limit=1000&field=state="+state, &all) != nil {
		return -1
	}
	return len(all.Items)
}

// copy is what runs of one container.
type runningCopies struct {
	count    int
	workload int
	where    string // machines and keys
}

// runningJobCopies counts what runs of the jobs, by job, index and workload, as the machines say themselves: a job that was dropped
// and made anew with other work is another.
func runningJobCopies(c *Cluster) map[string]runningCopies {
	out := map[string]runningCopies{}
	for _, m := range c.Machines {
		for _, w := range m.Holds() {
			if strings.HasPrefix(w.IdempotencyKey, "job-") {
				id := fmt.Sprintf("%s of %s", w.IdempotencyKey[:strings.LastIndex(w.IdempotencyKey, "/")], c.Config.Workloads[w.WorkloadClass])
				out[id] = runningCopies{out[id].count + 1, w.WorkloadClass, out[id].where + " " + m.Name + " " + w.IdempotencyKey + " as " + w.ContainerID}
			}
		}
	}
	return out
}

// writeLog writes a log as an earlier life would have left it.
func writeLog(folder, kind string, n int, record func(i int) (key string, value any)) error {
	d, err := vfs.OpenLocked(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	s, _, err := wal.Open(d, wal.Options{})
	if err != nil {
		return err
	}
	var all []wal.Change
	var failed error
	for i := range n {
		key, value := record(i)
		v, err := cbor.Marshal(value)
		if err != nil {
			return err
		}
		if all = append(all, wal.Change{Kind: kind, Key: key, Value: v}); len(all) == 500 || i == n-1 {
			s.Commit(all, i == n-1, func(err error) {
				if err != nil {
					failed = err
				}
			})
			all = nil
		}
	}
	if err := s.Close(); err != nil {
		return err
	}
	return failed
}

// placeContainer submits one container and waits until it is placed.
func placeContainer(door string, w protocol.ContainerSpec) error {
	c, err := net.DialTimeout("tcp", door, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	p, _ := protocol.Append(nil, protocol.NewHello(protocol.RoleClient, "restart", 1))
	p, _ = protocol.Append(p, &protocol.Submit{TimeToDeadline: 40000, Spec: w})
	c.Write(p)
	for {
		f, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return err
		}
		if a, ok := f.(*protocol.PlacementReply); ok {
			if a.Verdict != protocol.VerdictPlaced {
				return fmt.Errorf("%s: %s %s", w.ContainerID, a.Verdict, a.Message)
			}
			return nil
		}
	}
}

// measureStart times a start with so many containers in the log: of a placer to its first container placed, of a keeper to
// the first that runs.
func (t *RestartTrial) measureStart(day *Scenario, dir string, program []string, n int) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	b, err := startBench(day.Template, dir, program, 20, false)
	if err != nil {
		return err
	}
	defer b.close()
	b.scheduler.Stop(syscall.SIGTERM) // its last list stays
	if err := writeLog(filepath.Join(dir, "state"), schedulerd.AttemptKind, n, func(i int) (string, any) {
		id := fmt.Sprint("old-", i)
		return fmt.Sprintf("%016x", i+1), reconcile.Attempt{Request: scheduler.PlacementRequest{ID: scheduler.ContainerID(id), IdempotencyKey: id, Service: fmt.Sprint("s", i%500),
			WorkloadClass: 2, Cores: 1, Memory: 1}, Machine: scheduler.MachineID(fmt.Sprintf("machine-%04d", i%20)), Incarnation: 1, Number: uint64(i + 1)}
	}); err != nil {
		return err
	}
	began := time.Now()
	if err := b.scheduler.Start(); err != nil {
		return err
	}
	door := time.Since(began)
	w := protocol.ContainerSpec{ContainerID: "first", IdempotencyKey: "first", Service: "s", Cores: 1, Memory: 1, ExpectedRuntime: 36_000_000}
	if err := placeContainer(b.scheduler.Address, w); err != nil {
		return err
	}
	first := time.Since(began)
	w.ContainerID, w.IdempotencyKey, w.WorkloadClass, w.ClientRetry = "once", "once", 2, true
	if err := placeContainer(b.scheduler.Address, w); err != nil {
		return err
	}
	once := time.Since(began)
	fmt.Fprintf(t.Out, "start of a placer, %d containers in its log: door open after %.0f ms, first container placed after %.0f ms, "+
		"first at-most-once one that came before after %.0f ms\n", n, milliseconds(door), milliseconds(first), milliseconds(once))
	folder := filepath.Join(dir, "keeper.state")
	const each = 1000
	spec := controller.Spec{Service: "s", Tenant: 2, Cores: 0.01, Memory: 0.01, RunFor: 36_000_000}
	if err := writeLog(folder, server.RecordJob, (n+each-1)/each, func(i int) (string, any) {
		id := fmt.Sprint("j", i)
		return id, server.JobRecord{Job: server.Job{ID: id, Service: "s", WorkloadClass: "matcher", Cores: 0.01, MemoryGiB: 0.01, RunForMS: 3600_000,
			Count: min(each, n-i*each), Version: int64(i + 1)}}
	}); err != nil {
		return err
	}
	if err := writeLog(folder, server.RecordContainer, n, func(i int) (string, any) {
		j := fmt.Sprint("j", i/each)
		return fmt.Sprintf("%s.%d", j, i%each), server.ContainerRecord{SchedulerAddress: b.scheduler.Address, Container: controller.Container{Job: j, Index: i % each,
			State: controller.StateRunning, Machine: "machine-0000", IdempotencyKey: fmt.Sprintf("%s/%d/%d", j, i%each, i), RequestID: fmt.Sprintf("%s/%d#%d", j, i%each, i),
			Submitted: true, Starts: 1, SubmittedSpec: spec}}
	}); err != nil {
		return err
	}
	k, err := newController(dir, program[0], b.list.Addr().String(), []*SchedulerProcess{b.scheduler}, nil, folder)
	if err != nil {
		return err
	}
	defer k.terminate()
	began = time.Now()
	if err := k.launch(); err != nil {
		return err
	}
	if err := k.waitUntil("the keeper answers", 30*time.Second, func() bool { return k.get("/v1/jobs?limit=1", nil) == nil }); err != nil {
		return err
	}
	door = time.Since(began)
	if err := k.waitUntil("the first runs", 30*time.Second, func() bool {
		var all struct{ Items []any }
		return k.get("/v1/containers?limit=1&field=state=running", &all) == nil && len(all.Items) > 0
	}); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "start of a keeper, %d containers in its log: API open after %.0f ms, the first found or started after %.0f ms\n", n,
		milliseconds(door), milliseconds(time.Since(began)))
	return nil
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// measureLost plays the same restart with and without what was kept: a hall restarts cold, a part of the machines hangs,
// and then every placer is killed. What is counted is what owners submit in the ten seconds after and do not get placed.
func (t *RestartTrial) measureLost(day *Scenario, dir string, program []string) error {
	const after = 10 * time.Second
	for i, with := range []bool{true, false, true, false} {
		d, folder := *day, filepath.Join(dir, fmt.Sprintf("lost-%d", i))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return err
		}
		c, err := StartCluster(&d, folder, program)
		if err != nil {
			return err
		}
		c.Clients.Start(d.Rate*2, d.Seed)
		time.Sleep(4 * time.Second)
		for i, m := range c.Machines {
			if m.ZoneN == 1 {
				m.Crash()
				if err := m.Up(false); err != nil {
					c.Close()
					return err
				}
			} else if i%5 == 0 {
				m.Freeze(true)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for _, p := range c.Schedulers {
			c.KillScheduler(p)
			if !with {
				if err := os.RemoveAll(filepath.Join(c.Dir, p.Name+".state")); err != nil {
					return err
				}
			}
		}
		before := c.Clients.Snapshot()
		for _, p := range c.Schedulers {
			if err := c.StartScheduler(p); err != nil {
				c.Close()
				return err
			}
		}
		time.Sleep(after)
		now := c.Clients.Snapshot()
		submitted, placed := now.Submitted-before.Submitted, now.Placed-before.Placed
		late := now.Late - before.Late
		fmt.Fprintf(t.Out, "ten seconds after a restart, kept state %-5v: %d submitted, %d not placed, %d of the placed after more than 1 s\n", with,
			submitted, submitted-placed, late)
		for _, m := range c.Machines {
			m.Freeze(false)
		}
		c.Clients.Close()
		if err := c.Close(); err != nil {
			return err
		}
	}
	return nil
}
