package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// runLimit ends a case that takes too long.
const runLimit = 118 * time.Second

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
	var l *lab
	if platformCases[name] == nil {
		l, err = newLab(rec, root)
	}
	code := exitNotRun
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err != nil {
			return
		}
		var broken bool
		if run := platformCases[name]; run != nil {
			broken, err = run(rec, root, trouble)
		} else {
			broken, err = cases[name](l, trouble)
		}
		if err == nil {
			code = exitHeld
			if broken {
				code = exitBroken
			}
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-done:
	case <-signals:
		err, code = errTimeout, exitNotRun
	case <-time.After(runLimit):
		err, code = errTimeout, exitNotRun
	}
	if l != nil {
		l.close()
	}
	fmt.Fprintf(file, "\n")
	rec.note("exit code %d, error %v", code, err)
	fmt.Printf("%s: exit code %d, error %v\n", name, code, err)
	return code
}
