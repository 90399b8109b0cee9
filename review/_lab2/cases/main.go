package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// runLimit ends a case that takes too long, its start included. What it started is ended within the seconds left to 120.
const runLimit = 110 * time.Second

// exits holds what ends the processes of the case and removes its folder.
var exits struct {
	mu   sync.Mutex
	ends []func()
}

func atExit(end func()) {
	exits.mu.Lock()
	defer exits.mu.Unlock()
	exits.ends = append(exits.ends, end)
}

// cases are the cases by name. Each returns whether the rule was broken, and an error if it could not run.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){
	"rollout":    rollout,
	"once":       onceTwice,
	"cancel":     cancelledRuns,
	"halfopen":   halfOpen,
	"unanswered": unanswered,
}

// platformCases are the cases of `glenport platform`.
var platformCases = map[string]func(rec *recorder, root string, trouble bool) (broken bool, err error){
	"refused": refused,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil && platformCases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, record string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return exitNotRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec := &recorder{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption %v", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if run := platformCases[name]; run != nil {
			broken, err := run(rec, root, trouble)
			done <- result{broken, err}
			return
		}
		l, err := newLab(rec, root)
		if err != nil {
			done <- result{false, err}
			return
		}
		broken, err := cases[name](l, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = errTimeout
	case <-time.After(runLimit):
		r.err = errTimeout
	}
	code := exitHeld
	switch {
	case r.err != nil:
		code, err = exitNotRun, r.err
	case r.broken:
		code = exitBroken
	}
	exits.mu.Lock()
	for _, end := range exits.ends {
		end()
	}
	exits.mu.Unlock()
	fmt.Fprintf(file, "\n")
	rec.note("exit code %d, error %v", code, err)
	fmt.Printf("%s: exit code %d, error %v\n", name, code, err)
	return code
}
