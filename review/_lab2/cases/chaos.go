package main

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"glenport/internal/protocol"
)

func init() { cases["chaos"] = chaos }

// chaos is a trial of the report, not a case: it draws events of the kinds that KINDS names for 50 s, lets the
// deployment rest for 35 s, and looks for containers that ran twice and for jobs with too few containers.
func chaos(l *lab, _ bool) (bool, error) {
	kinds := os.Getenv("KINDS")
	jobs := []job{
		{ID: "m1", Service: "m1", Workload: "corpus-merge", Customer: "offices", Cores: 4, MemoryGiB: 8, RunForMS: 20000, Count: 4},
		{ID: "m2", Service: "m2", Workload: "corpus-merge", Customer: "offices", Cores: 4, MemoryGiB: 8, RunForMS: hour, Count: 4},
		{ID: "r1", Service: "r1", Workload: "report-run", Customer: "schools", Cores: 1, MemoryGiB: 1, RunForMS: 12000, Count: 12},
		{ID: "r2", Service: "r2", Workload: "report-run", Customer: "schools", Cores: 1, MemoryGiB: 1, RunForMS: hour, Count: 12},
		{ID: "e1", Service: "e1", Workload: "matcher", Customer: "schools", Cores: 1, MemoryGiB: 1, RunForMS: 9000, Count: 12},
	}
	var mu sync.Mutex
	for _, j := range jobs {
		if err := l.change("POST", "/v1/jobs", j); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(50 * time.Second)
	done := make(chan bool, 100)
	pending := 0
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
		m := l.machines[rand.IntN(len(l.machines))]
		s := l.schedulers[rand.IntN(len(l.schedulers))]
		pending++
		k := kinds[rand.IntN(len(kinds))]
		go func() {
			defer func() { done <- true }()
			switch k {
			case 'k':
				l.rec.note("CHAOS kill %s", s.Name)
				s.Stop(syscall.SIGKILL)
				time.Sleep(3 * time.Second)
				_ = s.Start()
				l.rec.note("CHAOS back %s", s.Name)
			case 'T':
				l.rec.note("CHAOS stop %s", s.Name)
				s.Stop(syscall.SIGTERM)
				time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
				_ = s.Start()
				l.rec.note("CHAOS back %s", s.Name)
			case 'c':
				l.proxies[m.Name].cut()
				time.Sleep(time.Duration(1000+rand.IntN(9000)) * time.Millisecond)
				l.proxies[m.Name].heal()
			case 'x':
				l.rec.note("CHAOS machine %s crashes", m.Name)
				m.Crash()
				time.Sleep(2 * time.Second)
				_ = m.Start(false)
			case 's', 'p', 'D':
				mu.Lock()
				defer mu.Unlock()
				j := &jobs[rand.IntN(len(jobs))]
				if k == 'p' {
					j.Cores = 1.5 - j.Cores + 2
					_ = l.change("PUT", "/v1/jobs/"+j.ID, *j)
					return
				}
				stopped := *j
				stopped.Count = 0
				if k == 's' {
					_ = l.change("PUT", "/v1/jobs/"+j.ID, stopped)
				} else {
					_ = l.change("DELETE", "/v1/jobs/"+j.ID, nil)
				}
				time.Sleep(time.Duration(260+rand.IntN(2600)) * time.Millisecond)
				if k == 's' {
					_ = l.change("PUT", "/v1/jobs/"+j.ID, *j)
				} else {
					_ = l.change("POST", "/v1/jobs", *j)
				}
			case 'r':
				l.rec.note("CHAOS machine %s resets its connections", m.Name)
				m.ResetConns()
			case 'n':
				l.rec.note("CHAOS list unreachable")
				l.list.BecomeUnreachable()
				time.Sleep(6 * time.Second)
				l.list.BecomeReachable()
			case 'z':
				l.rec.note("CHAOS machine %s hangs", m.Name)
				m.Freeze()
				time.Sleep(time.Duration(1000+rand.IntN(9000)) * time.Millisecond)
				m.Thaw()
			case 'w':
				l.rec.note("CHAOS machine %s drains", m.Name)
				m.Evacuate()
				l.list.SetState(m, protocol.MachineDraining)
				time.Sleep(6 * time.Second)
				m.EndDrain()
				l.list.SetState(m, protocol.MachineServing)
			case 'h':
				l.rec.note("CHAOS host of %s dies", s.Name)
				l.doors[s.Name].die()
				s.Stop(syscall.SIGKILL)
				time.Sleep(4 * time.Second)
				_ = s.Start()
				l.doors[s.Name].heal()
			case 'd':
				l.rec.note("CHAOS controller killed")
				mu.Lock()
				defer mu.Unlock()
				l.killController()
				time.Sleep(time.Second)
				_ = l.launchController()
			case 'l':
				l.rec.note("CHAOS answers of %s are lost", m.Name)
				l.proxies[m.Name].setFilter(func(_ string, toServer bool, f protocol.Frame) bool {
					_, accept := f.(*protocol.Accept)
					return accept && rand.IntN(3) == 0
				})
				time.Sleep(5 * time.Second)
				l.proxies[m.Name].setFilter(nil)
			}
		}()
	}
	for range pending {
		<-done
	}
	time.Sleep(35 * time.Second)
	broken := false
	for _, service := range []string{"m1", "m2", "r1", "r2", "e1"} {
		byIndex := map[string][]instance{}
		byKey := map[string][]instance{}
		for _, i := range l.instances(service) {
			name, _, _ := strings.Cut(i.id, "#")
			byIndex[name] = append(byIndex[name], i)
			byKey[i.key] = append(byKey[i.key], i)
		}
		for name, all := range byIndex {
			if o := overlap(all); o > 500*time.Millisecond {
				l.rec.note("FOUND %s: two at once for %.1f s", name, o.Seconds())
				broken = true
			}
		}
		for key, all := range byKey {
			if len(all) > 1 && service != "e1" {
				l.rec.note("FOUND key %s ran %d times, overlap %.1f", key, len(all), overlap(all).Seconds())
				broken = true
			}
		}
		l.rec.note("FOUND-COUNT %s: %d live, API %d running", service, len(l.live(service)), l.runningCount(service))
		for _, i := range l.live(service) {
			for _, j := range jobs {
				if j.Service == service && i.cores != j.Cores {
					l.rec.note("FOUND-OLD %s has %g cores instead of %g", i.id, i.cores, j.Cores)
				}
			}
		}
		l.show(service)
	}
	return broken, nil
}
