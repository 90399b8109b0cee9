package main

import (
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["cold"] = cold }

// cold restarts a third of the machines while much work waits, with KILL=1 also one of three schedulers, and looks for
// a machine that falls over. It is a trial of the report, not a case.
func cold(l *lab, _ bool) (bool, error) {
	j := job{ID: "essays", Service: "essays", Workload: "matcher", Customer: "schools", Cores: 0.25, MemoryGiB: 0.5,
		RunForMS: hour, Count: 300}
	if err := l.change(http.MethodPost, "/v1/jobs", j); err != nil {
		return false, err
	}
	time.Sleep(20 * time.Second)
	for i := 0; i < len(l.machines); i += 3 {
		l.machines[i].Crash()
	}
	if os.Getenv("KILL") != "" {
		l.schedulers[1].Stop(syscall.SIGKILL)
	}
	j.ID, j.Service = "more", "more"
	if err := l.change(http.MethodPost, "/v1/jobs", j); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := 0; i < len(l.machines); i += 3 {
		if err := l.machines[i].Start(false); err != nil {
			return false, err
		}
	}
	if os.Getenv("KILL") != "" {
		time.Sleep(time.Second)
		if err := l.schedulers[1].Start(); err != nil {
			return false, err
		}
	}
	fallen := map[string]bool{}
	for range 50 {
		time.Sleep(time.Second)
		for _, m := range l.machines {
			if status, ok := m.Status(); ok && status.Overwhelmed && !fallen[m.Name] {
				fallen[m.Name] = true
				l.rec.note("machine %s has fallen over", m.Name)
			}
		}
	}
	l.rec.note("%d machines fell over; %d and %d of 300 containers run", len(fallen), len(l.live("essays")), len(l.live("more")))
	return len(fallen) > 0, nil
}
