// The lab holds the stand-ins and the drivers of the cases in review/. It is started by the run.sh of a case, from the
// root of the repository:
//
//	bin/review-lab CASE RECORD
//
// TROUBLE=0 leaves the disruption out. The exit code is 0 if the rule held, 1 if it was broken, 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the exit code of a case.
type verdict int

const (
	ruleHeld   verdict = 0
	ruleBroken verdict = 1
	notRun     verdict = 2
)

// run is what a case is given.
type run struct {
	*record
	dir     string // temporary folder
	trouble bool

	platformEnv []string // variables of the environment that the platform gives its placer
}

// fail records why a case could not run.
func (r *run) fail(what string, err error) verdict {
	r.printf("not run: %s: %v", what, err)
	return notRun
}

var cases = map[string]func(*run) verdict{
	"release": runRelease,
	"once":    runOnce,
	"retry":   runRetry,
	"window":  runWindow,
	"reboot":  runReboot,
	"claims":  runClaims,
	"rollout": runRollout,
}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE RECORD")
		os.Exit(int(notRun))
	}
	os.Exit(int(start(os.Args[1], os.Args[2])))
}

// start runs a case, and ends every process that it has started.
func start(name, path string) verdict {
	r, err := openRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer endAll()
	c := &run{record: r, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	c.printf("case %s, disruption: %t", name, c.trouble)
	v := c.bounded(cases[name])
	c.printf("verdict: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[v])
	return v
}

// bounded runs a case until it ends, its time is over, or the process is told to stop.
func (r *run) bounded(run func(*run) verdict) verdict {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan verdict, 1)
	go func() { done <- run(r) }()
	select {
	case v := <-done:
		return v
	case s := <-signals:
		r.printf("not run: %s", s)
	case <-time.After(limit):
		r.printf("not run: it took over %s", limit)
	}
	return notRun
}
