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
	Kills int    // of placers; the keeper dies a tenth as often
	Sizes []int  // containers in the log at a start that is timed
	Lost  bool   // measure the starts lost after a restart
	Spoil string // sync or checksum: sabotage of the store
	Out   io.Writer
}

// Run returns whether all held.
func (t *RestartTrial) Run(day *Day, dir string, program []string) (bool, error) {
	ok, err := t.crashes()
	if err != nil || t.Spoil != "" {
		return ok, err
	}
	if err := t.commits(filepath.Join(dir, "commits")); err != nil {
		return false, err
	}
	killed, err := t.kill(day, filepath.Join(dir, "kills"), program)
	if err != nil {
		return false, err
	}
	ok = ok && killed
	for _, n := range t.Sizes {
		if err := t.start(day, filepath.Join(dir, fmt.Sprint("start-", n)), program, n); err != nil {
			return false, err
		}
	}
	if t.Lost {
		if err := t.lost(day, dir, program); err != nil {
			return false, err
		}
	}
	return ok, nil
}

// crashes walks through the states that a crash may leave; a fault found is printed and no error of the trial's.
func (t *RestartTrial) crashes() (bool, error) {
	var sum Crashes
	for seed := uint64(1); seed <= 5; seed++ {
		c := &Crashes{Seed: seed, Commits: 60, Mixed: 8, Spoil: t.Spoil}
		err := c.Run()
		sum.Ops, sum.States, sum.Again, sum.Flips, sum.Refused = sum.Ops+c.Ops, sum.States+c.States, sum.Again+c.Again, sum.Flips+c.Flips,
			sum.Refused+c.Refused
		if err != nil {
			fmt.Fprintf(t.Out, "crash states, history %d: %v\n", seed, err)
			return false, nil
		}
	}
	fmt.Fprintf(t.Out, "crash states: %d operations, %d states after one crash and %d after a second in recovery, all legal; "+
		"%d of %d single bits turned over were refused, the others were in the last group\n", sum.Ops, sum.States, sum.Again, sum.Refused,
		sum.Flips)
	return true, nil
}

// commits measures the store with and without group commit, on the disk that there is.
func (t *RestartTrial) commits(dir string) error {
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

// wantedJob is what the API acknowledged last of a job.
type wantedJob struct {
	text    jobText
	version int64
}

// client makes, changes and drops jobs all the time, asking again until each is acknowledged, as an owner would.
type client struct {
	*keeperProcess
	wanted map[string]wantedJob
	acked  int
	again  int
	fault  error
}

func (c *client) work(stop chan struct{}, r *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+r.IntN(40)) * time.Millisecond):
		}
		id := fmt.Sprint("job-", r.IntN(24))
		_, there := c.wanted[id]
		text := jobText{"id": id, "service": id, "workload": []string{"matcher", "corpus-merge", "report-run"}[r.IntN(3)], "cores": 0.1,
			"memory_gib": 0.1, "count": 1 + r.IntN(4), "run_for_ms": 3600_000}
		if there { // a job keeps its sort of work
			text["workload"] = c.wanted[id].text["workload"]
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
			status, version, err := c.send(method, path, key, in)
			if err == nil && status < 300 || method == "DELETE" && status == 404 && try > 0 {
				c.acked++
				if method == "DELETE" {
					delete(c.wanted, id)
				} else {
					c.wanted[id] = wantedJob{text, version}
				}
				break
			}
			if err == nil && status < 500 {
				c.fault = fmt.Errorf("%s %s, try %d: %d", method, path, try+1, status)
				return
			}
			c.again++
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// kill plays the killing.
func (t *RestartTrial) kill(day *Day, dir string, program []string) (bool, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	c, err := Bring(day, dir, program)
	if err != nil {
		return false, err
	}
	defer c.Close()
	folder := filepath.Join(dir, "keeper.state")
	k, err := newKeeper(dir, program[0], c.ListAddr, c.Placers, c.Owners.SchedulerAddrs, folder)
	if err != nil {
		return false, err
	}
	defer k.stopKeeper()
	if err := k.start(len(c.Machines)); err != nil {
		return false, err
	}
	began := time.Now()
	c.Owners.Start(day.Rate/2, day.Seed)
	own := &client{keeperProcess: &k, wanted: map[string]wantedJob{}}
	stop, clientDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(clientDone)
		own.work(stop, rand.New(rand.NewPCG(day.Seed, 21)))
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
			for key, x := range copies(c) {
				if x.n > 1 && c.Site.Policy.WorkloadClasses[x.workload].Idempotency == scheduler.AtMostOnce {
					twice.Add(1)
					fault("%s runs %d times at once:%s", key, x.n, x.at)
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
	for i, p := range c.Placers {
		killing.Go(func() {
			r := rand.New(rand.NewPCG(day.Seed, uint64(100+i)))
			for killed.Add(1) <= int64(t.Kills) {
				time.Sleep(time.Duration(30+r.IntN(150)) * time.Millisecond)
				c.Kill(p)
				look(p.Name, filepath.Join(dir, p.Name+".state"))
				if err := c.Up(p); err != nil {
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
			k.end(syscall.SIGKILL)
			keeperKilled.Add(1)
			look("keeper", folder)
			if err := k.begin(); err != nil {
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
			if err := m.Start(false); err != nil {
				fault("%v", err)
				return
			}
		}
	})
	killing.Wait()
	close(stop)
	<-clientDone
	length := time.Since(began)
	c.Owners.SetRate(0)
	if own.fault != nil {
		fault("%v", own.fault)
	}
	want, there := t.settled(c, own, fault)
	for end := time.Now().Add(day.Settle); c.Owners.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	close(over)
	watching.Wait()
	tally := c.Owners.Close()
	k.stopKeeper()
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
		own.acked, own.again, len(own.wanted), want, there, twice.Load())
	fmt.Fprintf(t.Out, "owners: %d submitted, %d placed, %d answers too many, %d without one; record: %d frames, %d offers, %d yeses; cold machines "+
		"at most at %d of %d\n", tally.Submitted, tally.Placed, tally.DuplicateReplies, tally.Pending, j.Frames, j.Offers, j.Accepted, j.SlowStartPeak, j.SlowStartBudget)
	PrintViolations(t.Out, j)
	for i, f := range faults {
		if i < 8 {
			fmt.Fprintln(t.Out, "fault:", f)
		}
	}
	if j.Passed() {
		fmt.Fprintln(t.Out, "rules: kept over all lives")
	}
	return len(faults) == 0 && j.Passed() && tally.DuplicateReplies == 0 && tally.Pending == 0, nil
}

// settled waits until every wanted container runs, and compares the API with what was acknowledged.
func (t *RestartTrial) settled(c *Cluster, own *client, fault func(string, ...any)) (want, there int) {
	for _, w := range own.wanted {
		want += w.text["count"].(int)
	}
	var all struct {
		Items []struct {
			ID       string
			Workload string
			Count    int
			Version  int64
		}
	}
	if err := own.until("the keeper answers", 20*time.Second, func() bool { return own.get("/v1/jobs?limit=1000", &all) == nil }); err != nil {
		fault("%v", err)
		return want, 0
	}
	seen := map[string]bool{}
	for _, j := range all.Items {
		w, ok := own.wanted[j.ID]
		seen[j.ID] = true
		switch {
		case !ok:
			fault("job %s is there, its end was acknowledged", j.ID)
		case j.Version != w.version || j.Count != w.text["count"] || j.Workload != w.text["workload"]:
			fault("job %s is %+v, acknowledged was version %d of %v", j.ID, j, w.version, w.text)
		}
	}
	for id := range own.wanted {
		if !seen[id] {
			fault("job %s was acknowledged and is not there", id)
		}
	}
	err := own.until("every wanted container runs, by the machines' own word", 60*time.Second, func() bool {
		there = 0
		for _, x := range copies(c) {
			there += x.n
		}
		return there == want && own.countAll("running") == want
	})
	if err != nil {
		fault("%v: %d run, the API has %d, %d are wanted", err, there, own.countAll("running"), want)
		for id, x := range copies(c) {
			if _, ok := own.wanted[id[:strings.Index(id, "/")]]; !ok || x.n > 1 {
				fault("%s runs %d times:%s", id, x.n, x.at)
			}
		}
	}
	return want, there
}

func (k *keeperProcess) countAll(state string) int {
	var all struct{ Items []any }
	if k.get("/v1/containers?limit=1000&field=state="+state, &all) != nil {
		return -1
	}
	return len(all.Items)
}

// copy is what runs of one container.
type copyOf struct {
	n        int
	workload int
	at       string // machines and keys
}

// copies counts what runs of the jobs, by job, index and workload, as the machines say themselves: a job that was dropped
// and made anew with other work is another.
func copies(c *Cluster) map[string]copyOf {
	out := map[string]copyOf{}
	for _, m := range c.Machines {
		for _, w := range m.RunningContainers() {
			if strings.HasPrefix(w.IdempotencyKey, "job-") {
				id := fmt.Sprintf("%s of %s", w.IdempotencyKey[:strings.LastIndex(w.IdempotencyKey, "/")], c.Site.WorkloadClasses[w.WorkloadClass])
				out[id] = copyOf{out[id].n + 1, w.WorkloadClass, out[id].at + " " + m.Name + " " + w.IdempotencyKey + " as " + w.ContainerID}
			}
		}
	}
	return out
}

// fill writes a log as an earlier life would have left it.
func fill(folder, kind string, n int, record func(i int) (key string, value any)) error {
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

// placeOne submits one container and waits until it is placed.
func placeOne(door string, w protocol.ContainerSpec) error {
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

// start times a start with so many containers in the log: of a placer to its first container placed, of a keeper to
// the first that runs.
func (t *RestartTrial) start(day *Day, dir string, program []string, n int) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	b, err := bringBench(day.Template, dir, program, 20, false)
	if err != nil {
		return err
	}
	defer b.close()
	b.placer.Stop(syscall.SIGTERM) // its last list stays
	if err := fill(filepath.Join(dir, "state"), schedulerd.AttemptKind, n, func(i int) (string, any) {
		id := fmt.Sprint("old-", i)
		return fmt.Sprintf("%016x", i+1), reconcile.Attempt{Request: scheduler.PlacementRequest{ID: scheduler.ContainerID(id), IdempotencyKey: id, Service: fmt.Sprint("s", i%500),
			WorkloadClass: 2, Cores: 1, Memory: 1}, Machine: scheduler.MachineID(fmt.Sprintf("machine-%04d", i%20)), Incarnation: 1, Number: uint64(i + 1)}
	}); err != nil {
		return err
	}
	began := time.Now()
	if err := b.placer.Start(); err != nil {
		return err
	}
	door := time.Since(began)
	w := protocol.ContainerSpec{ContainerID: "first", IdempotencyKey: "first", Service: "s", Cores: 1, Memory: 1, ExpectedRuntime: 36_000_000}
	if err := placeOne(b.placer.Door, w); err != nil {
		return err
	}
	first := time.Since(began)
	w.ContainerID, w.IdempotencyKey, w.WorkloadClass, w.ClientRetry = "once", "once", 2, true
	if err := placeOne(b.placer.Door, w); err != nil {
		return err
	}
	once := time.Since(began)
	fmt.Fprintf(t.Out, "start of a placer, %d containers in its log: door open after %.0f ms, first container placed after %.0f ms, "+
		"first at-most-once one that came before after %.0f ms\n", n, ms1(door), ms1(first), ms1(once))
	folder := filepath.Join(dir, "keeper.state")
	const each = 1000
	spec := controller.Spec{Service: "s", Tenant: 2, Cores: 0.01, Memory: 0.01, RunFor: 36_000_000}
	if err := fill(folder, server.RecordJob, (n+each-1)/each, func(i int) (string, any) {
		id := fmt.Sprint("j", i)
		return id, server.JobRecord{Job: server.Job{ID: id, Service: "s", WorkloadClass: "matcher", Cores: 0.01, MemoryGiB: 0.01, RunForMS: 3600_000,
			Count: min(each, n-i*each), Version: int64(i + 1)}}
	}); err != nil {
		return err
	}
	if err := fill(folder, server.RecordContainer, n, func(i int) (string, any) {
		j := fmt.Sprint("j", i/each)
		return fmt.Sprintf("%s.%d", j, i%each), server.ContainerRecord{SchedulerAddress: b.placer.Door, Container: controller.Container{Job: j, Index: i % each,
			State: controller.StateRunning, Machine: "machine-0000", IdempotencyKey: fmt.Sprintf("%s/%d/%d", j, i%each, i), RequestID: fmt.Sprintf("%s/%d#%d", j, i%each, i),
			Submitted: true, Starts: 1, SubmittedSpec: spec}}
	}); err != nil {
		return err
	}
	k, err := newKeeper(dir, program[0], b.list.Addr().String(), []*Placer{b.placer}, nil, folder)
	if err != nil {
		return err
	}
	defer k.stopKeeper()
	began = time.Now()
	if err := k.begin(); err != nil {
		return err
	}
	if err := k.until("the keeper answers", 30*time.Second, func() bool { return k.get("/v1/jobs?limit=1", nil) == nil }); err != nil {
		return err
	}
	door = time.Since(began)
	if err := k.until("the first runs", 30*time.Second, func() bool {
		var all struct{ Items []any }
		return k.get("/v1/containers?limit=1&field=state=running", &all) == nil && len(all.Items) > 0
	}); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "start of a keeper, %d containers in its log: API open after %.0f ms, the first found or started after %.0f ms\n", n,
		ms1(door), ms1(time.Since(began)))
	return nil
}

func ms1(d time.Duration) float64 { return d.Seconds() * 1000 }

// lost plays the same restart with and without what was kept: a hall restarts cold, a part of the machines hangs,
// and then every placer is killed. What is counted is what owners submit in the ten seconds after and do not get placed.
func (t *RestartTrial) lost(day *Day, dir string, program []string) error {
	const after = 10 * time.Second
	for i, with := range []bool{true, false, true, false} {
		d, folder := *day, filepath.Join(dir, fmt.Sprintf("lost-%d", i))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return err
		}
		c, err := Bring(&d, folder, program)
		if err != nil {
			return err
		}
		c.Owners.Start(d.Rate*2, d.Seed)
		time.Sleep(4 * time.Second)
		for i, m := range c.Machines {
			if m.ZoneIndex == 1 {
				m.Crash()
				if err := m.Start(false); err != nil {
					c.Close()
					return err
				}
			} else if i%5 == 0 {
				m.SetFrozen(true)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for _, p := range c.Placers {
			c.Kill(p)
			if !with {
				if err := os.RemoveAll(filepath.Join(c.Dir, p.Name+".state")); err != nil {
					return err
				}
			}
		}
		before := c.Owners.Snapshot()
		for _, p := range c.Placers {
			if err := c.Up(p); err != nil {
				c.Close()
				return err
			}
		}
		time.Sleep(after)
		now := c.Owners.Snapshot()
		submitted, placed := now.Submitted-before.Submitted, now.Placed-before.Placed
		late := now.PlacedLate - before.PlacedLate
		fmt.Fprintf(t.Out, "ten seconds after a restart, kept state %-5v: %d submitted, %d not placed, %d of the placed after more than 1 s\n", with,
			submitted, submitted-placed, late)
		for _, m := range c.Machines {
			m.SetFrozen(false)
		}
		c.Owners.Close()
		if err := c.Close(); err != nil {
			return err
		}
	}
	return nil
}
