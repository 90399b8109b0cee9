package main

import (
	"os"
	"strconv"
	"time"
)

func init() { cases["many"] = many }

// many asks for N containers at once, and records how many run. It is a trial of the report, not a case.
func many(l *lab, _ bool) (bool, error) {
	n, err := strconv.Atoi(os.Getenv("N"))
	if err != nil {
		return false, err
	}
	j := job{ID: "m", Service: "m", Workload: "matcher", Customer: "schools", Cores: 0.01, MemoryGiB: 0.01,
		RunForMS: hour, Count: n}
	if err := l.change("POST", "/v1/jobs", j); err != nil {
		return false, err
	}
	for range 12 {
		time.Sleep(5 * time.Second)
		l.rec.note("%d of %d containers run", len(l.live("m")), n)
	}
	return false, nil
}
