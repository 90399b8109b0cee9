package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"glenport/internal/protocol"
)

// job is a job as clients send it.
type job struct {
	ID        string  `json:"id,omitempty"`
	Service   string  `json:"service"`
	Workload  string  `json:"workload"`
	Customer  string  `json:"customer,omitempty"`
	Cores     float64 `json:"cores"`
	MemoryGiB float64 `json:"memory_gib"`
	RunForMS  int     `json:"run_for_ms,omitempty"`
	Once      bool    `json:"once,omitempty"`
	Count     int     `json:"count"`
}

const (
	hour = 3600_000

	// outage is the time for which a dead scheduler is away: the pages name 2.4 to 7.1 s, for up to 49% of the placers.
	outage = 4 * time.Second
	// silence is the time for which the path to a machine is cut: the pages name 6 s, for up to a fifth of the machines.
	silence = 5900 * time.Millisecond
	// endTold is the time within which the end of a container has to be told if no release could be sent (8 s), and the
	// slack of the check.
	endTold = 8*time.Second + 12*time.Second
)

// create creates a job and waits until all its containers run.
func (l *lab) create(j job) error {
	if err := l.change(http.MethodPost, "/v1/jobs", j); err != nil {
		return err
	}
	return l.await("job "+j.ID+" runs", 40*time.Second, func() bool { return l.runningCount(j.ID) == j.Count })
}

// runningCount is the number of a job's containers that the API shows as running; -1 if it does not answer.
func (l *lab) runningCount(id string) int {
	items, ok := l.containers(id)
	if !ok {
		return -1
	}
	n := 0
	for _, c := range items {
		if c.State == "running" {
			n++
		}
	}
	return n
}

// find returns a container of a job by its index.
func (l *lab) find(id string, index int) (container, error) {
	items, _ := l.containers(id)
	for _, c := range items {
		if c.ID == fmt.Sprintf("%s.%d", id, index) {
			return c, nil
		}
	}
	return container{}, fmt.Errorf("the API shows no container %d of job %s", index, id)
}

// die ends a scheduler as the death of its machine does: its connections stay open and silent.
func (l *lab) die(name string) {
	l.rec.note("the machine of scheduler %s dies", name)
	l.doors[name].die()
	l.scheduler(name).Stop(syscall.SIGKILL)
}

// comeBack starts a scheduler whose machine is back.
func (l *lab) comeBack(name string) error {
	l.rec.note("the machine of scheduler %s is back", name)
	if err := l.scheduler(name).Start(); err != nil {
		return err
	}
	l.doors[name].heal()
	return nil
}

// rollout changes the size of a job's containers while one of three schedulers is away. In the end all containers have
// to have the new size.
func rollout(l *lab, trouble bool) (bool, error) {
	spec := job{ID: "essays", Service: "essays", Workload: "matcher", Customer: "schools", Cores: 0.5, MemoryGiB: 1.5,
		RunForMS: hour, Count: 6}
	if err := l.create(spec); err != nil {
		return false, err
	}
	l.show("essays")
	first, err := l.find("essays", 0)
	if err != nil {
		return false, err
	}
	if trouble {
		l.die(first.Placer)
	}
	time.Sleep(time.Second)
	spec.Cores, spec.MemoryGiB = 1, 2
	if err := l.change(http.MethodPut, "/v1/jobs/essays", spec); err != nil {
		return false, err
	}
	time.Sleep(outage - time.Second)
	if trouble {
		if err := l.comeBack(first.Placer); err != nil {
			return false, err
		}
	}
	replaced := func() int {
		n := 0
		for _, i := range l.live("essays") {
			if i.cores == 1 {
				n++
			}
		}
		return n
	}
	err = l.await("all containers have the new size", time.Minute, func() bool {
		return replaced() == 6 && len(l.live("essays")) == 6 && l.runningCount("essays") == 6
	})
	l.show("essays")
	l.rec.note("%d of %d running containers have the new size, %s after the change was accepted", replaced(),
		len(l.live("essays")), time.Minute+outage-time.Second)
	if err == nil {
		return false, nil
	}
	return replaced() < 6, nil
}

// onceTwice runs a numbered container that is to run once, and kills the scheduler that placed it shortly before the
// container finishes.
func onceTwice(l *lab, trouble bool) (bool, error) {
	const runFor = 8 * time.Second
	spec := job{ID: "grades", Service: "grades", Workload: "report-run", Customer: "schools", Cores: 1, MemoryGiB: 2.5,
		RunForMS: int(runFor / time.Millisecond), Once: true, Count: 1}
	if err := l.create(spec); err != nil {
		return false, err
	}
	l.show("grades")
	c, err := l.find("grades", 0)
	if err != nil {
		return false, err
	}
	time.Sleep(runFor - outage/2 - time.Second)
	if trouble {
		l.rec.note("scheduler %s is killed", c.Placer)
		l.scheduler(c.Placer).Stop(syscall.SIGKILL)
	}
	time.Sleep(outage)
	if trouble {
		l.rec.note("scheduler %s is started again", c.Placer)
		if err := l.scheduler(c.Placer).Start(); err != nil {
			return false, err
		}
	}
	if l.await("a second run", 25*time.Second, func() bool { return len(l.instances("grades")) > 1 }) == nil {
		time.Sleep(runFor + time.Second)
	}
	l.show("grades")
	for _, i := range l.instances("grades") {
		l.rec.note("container %s (key %s) ran on %s for %.1f s", i.id, i.key, i.machine, i.to.Sub(i.from).Seconds())
	}
	return len(l.instances("grades")) > 1, nil
}

// cancelledRuns stops an at-most-once service while its container is being started on a machine to which the path is
// cut, and asks for it again.
func cancelledRuns(l *lab, trouble bool) (bool, error) {
	other := job{ID: "essays", Service: "essays", Workload: "matcher", Customer: "schools", Cores: 0.5, MemoryGiB: 1.5,
		RunForMS: hour, Count: 6}
	if err := l.create(other); err != nil {
		return false, err
	}
	offered := make(chan [2]string, 10) // machine and scheduler
	var mu sync.Mutex
	lastHeard := map[[2]string]time.Time{}
	for name, p := range l.proxies {
		p.setFilter(func(scheduler string, toServer bool, f protocol.Frame) bool {
			link := [2]string{name, scheduler}
			if !toServer {
				mu.Lock()
				lastHeard[link] = time.Now()
				mu.Unlock()
			} else if offer, ok := f.(*protocol.Offer); ok && offer.Spec.Service == "merge" {
				offered <- link
			}
			return false
		})
	}
	spec := job{ID: "merge", Service: "merge", Workload: "corpus-merge", Customer: "offices", Cores: 14, MemoryGiB: 22,
		RunForMS: hour, Count: 1}
	if err := l.change(http.MethodPost, "/v1/jobs", spec); err != nil {
		return false, err
	}
	var link [2]string
	select {
	case link = <-offered:
	case <-time.After(20 * time.Second):
		return false, errors.New("no offer")
	}
	machine := link[0]
	time.Sleep(100 * time.Millisecond) // the machine starts the container
	// A machine sends a beat each second. The path is cut late in that second: the scheduler gives a connection up that
	// was silent for 5 to 6 s, and does so before the path is back, also if it looks late.
	for {
		mu.Lock()
		silentFor := time.Since(lastHeard[link])
		mu.Unlock()
		if silentFor > 750*time.Millisecond {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cutAt := time.Now()
	if trouble {
		time.AfterFunc(silence, l.proxies[machine].heal)
		l.proxies[machine].cut()
	}
	time.Sleep(200 * time.Millisecond)
	l.show("merge")
	spec.Count = 0
	if err := l.change(http.MethodPut, "/v1/jobs/merge", spec); err != nil {
		return false, err
	}
	asked, stoppedAt := false, time.Now()
	for time.Since(cutAt) < 50*time.Second {
		items, ok := l.containers("merge")
		away := time.Since(stoppedAt) // the pages name 0.26 to 2.9 s until it is asked for again
		if ok && !asked && (len(items) == 0 && away > 500*time.Millisecond || away > 2500*time.Millisecond) {
			l.show("merge")
			spec.Count, asked = 1, true
			if err := l.change(http.MethodPut, "/v1/jobs/merge", spec); err != nil {
				return false, err
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.show("merge")
	for _, i := range l.instances("merge") {
		l.rec.note("container %s (key %s) ran on %s from %.1f s to %.1f s after the cut", i.id, i.key, i.machine,
			i.from.Sub(cutAt).Seconds(), i.to.Sub(cutAt).Seconds())
	}
	return overlap(l.instances("merge")) > time.Second, nil
}

// overlap is the longest time for which two containers ran at once.
func overlap(all []instance) (longest time.Duration) {
	for i, a := range all {
		for _, b := range all[i+1:] {
			from, to := a.from, a.to
			if b.from.After(from) {
				from = b.from
			}
			if b.to.Before(to) {
				to = b.to
			}
			longest = max(longest, to.Sub(from))
		}
	}
	return longest
}

// halfOpen lets the machine of a scheduler die and come back while a container that it placed runs on. The container
// ends later, and its end has to be told.
func halfOpen(l *lab, trouble bool) (bool, error) {
	other := job{ID: "essays", Service: "essays", Workload: "report-run", Customer: "schools", Cores: 0.5, MemoryGiB: 1,
		RunForMS: hour, Count: 6}
	if err := l.create(other); err != nil {
		return false, err
	}
	const runFor = 15 * time.Second
	spec := job{ID: "theses", Service: "theses", Workload: "matcher", Customer: "schools", Cores: 0.5, MemoryGiB: 1.5,
		RunForMS: int(runFor / time.Millisecond), Count: 1}
	if err := l.create(spec); err != nil {
		return false, err
	}
	c, err := l.find("theses", 0)
	if err != nil {
		return false, err
	}
	l.show("theses")
	time.Sleep(2 * time.Second)
	if trouble {
		l.die(c.Placer)
	}
	time.Sleep(outage)
	if trouble {
		if err := l.comeBack(c.Placer); err != nil {
			return false, err
		}
	}
	if err := l.await("the container has ended", 2*runFor, func() bool {
		all := l.instances("theses")
		return len(all) > 0 && all[0].over
	}); err != nil {
		return false, err
	}
	endedAt := time.Now()
	l.rec.note("the first container of job theses has ended")
	err = l.await("the job runs again", endTold, func() bool { return len(l.instances("theses")) > 1 })
	l.show("theses")
	if err == nil {
		l.rec.note("the job runs again, %.1f s after the end", time.Since(endedAt).Seconds())
		return false, nil
	}
	l.rec.note("%.0f s after the end no container of job theses runs on any machine: %d", time.Since(endedAt).Seconds(),
		len(l.live("theses")))
	return len(l.live("theses")) == 0 && l.runningCount("theses") == 1, nil
}

// unanswered lets half of the machines leave up to nine of ten offers of one workload unanswered for 25 s, and serve the other
// workload as usual. A minute later all containers have to run.
func unanswered(l *lab, trouble bool) (bool, error) {
	const lasts = 25 * time.Second
	other := job{ID: "essays", Service: "essays", Workload: "matcher", Customer: "schools", Cores: 0.5, MemoryGiB: 1.5,
		RunForMS: hour, Count: 60}
	if err := l.create(other); err != nil {
		return false, err
	}
	var mu sync.Mutex
	offers, until := 0, time.Now().Add(lasts)
	for i, m := range l.machines {
		if !trouble || i%2 == 1 {
			continue
		}
		l.rec.note("machine %s leaves offers of service merge unanswered", m.Name)
		l.proxies[m.Name].setFilter(func(_ string, toServer bool, f protocol.Frame) bool {
			offer, ok := f.(*protocol.Offer)
			if !ok || !toServer || offer.Spec.Service != "merge" {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			offers++
			return time.Now().Before(until) && offers%10 != 1 // at most 90%, however few offers there are
		})
	}
	spec := job{ID: "merge", Service: "merge", Workload: "corpus-merge", Customer: "offices", Cores: 14, MemoryGiB: 22,
		RunForMS: hour, Count: 12}
	if err := l.change(http.MethodPost, "/v1/jobs", spec); err != nil {
		return false, err
	}
	time.Sleep(time.Until(until))
	l.rec.note("all machines answer all offers again")
	l.show("merge")
	err := l.await("all containers run", time.Minute, func() bool { return l.runningCount("merge") == 12 })
	l.show("merge")
	if err == nil {
		return false, nil
	}
	mu.Lock()
	rec := offers
	mu.Unlock()
	l.rec.note("%d offers went to the machines that left offers unanswered, also after the trouble", rec)
	running := len(l.live("merge"))
	l.rec.note("%d of 12 containers run, a minute after the trouble", running)
	return running < 12, nil
}
