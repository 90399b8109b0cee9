// Command glenport-testbed starts clusters of emulated machines on loopback, plays scenarios on them with real
// schedulers and audits what passed over the sockets.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"

	"glenport/internal/config"
	"glenport/internal/testbed/scenario"

	"github.com/spf13/cobra"
)

// errFailed ends the program with status 1; what did not hold has been printed.
var errFailed = errors.New("something did not hold")

func main() {
	root := &cobra.Command{
		Use: "glenport-testbed", Short: "Emulated clusters, fault scenarios and their audit, on loopback",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(
		scenarioCommand(),
		auditCommand(),
		replayCommand(),
		loadCommand(),
		trialCommand(),
		schedulerCommand(),
	)
	if err := root.Execute(); errors.Is(err, errFailed) {
		os.Exit(1)
	} else if err != nil {
		fmt.Fprintln(os.Stderr, "glenport-testbed:", err)
		os.Exit(2)
	}
}

// folder is where a run's recording and logs go: one that was named, or a new one that done removes again.
func folder(named string) (dir string, done func(), err error) {
	if named != "" {
		return named, func() {}, os.MkdirAll(named, 0o755)
	}
	dir, err = os.MkdirTemp("", "glenport-testbed-")
	return dir, func() { _ = os.RemoveAll(dir) }, err // what is left of a temporary folder does no harm
}

// ownScheduler is this program's own scheduler process with some flags.
func ownScheduler(flags ...string) ([]string, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return append([]string{own, "scheduler"}, flags...), nil
}

// schedulerProgram is glenport itself, from beside this program; with a rule to break it is this program's own
// scheduler.
func schedulerProgram(rule int) ([]string, error) {
	if rule > 0 {
		return ownScheduler("--sabotage", strconv.Itoa(rule))
	}
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(filepath.Dir(own), "glenport")
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("glenport must be in the folder of glenport-testbed: %w", err)
	}
	return []string{path, "scheduler"}, nil
}

// loadScenario reads a scenario file and warns of old spellings in it.
func loadScenario(path string) (*scenario.Scenario, error) {
	s, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	config.LogDeprecations(slog.New(slog.NewTextHandler(os.Stderr, nil)), s.Deprecations)
	return s, nil
}

// withSchedulers calls f with the program that schedulers run, and a folder for their files.
func withSchedulers(named string, rule int, f func(program []string, dir string) error) error {
	program, err := schedulerProgram(rule)
	if err != nil {
		return err
	}
	dir, done, err := folder(named)
	if err != nil {
		return err
	}
	defer done()
	return f(program, dir)
}

// runScenario plays a scenario and prints its outcome.
func runScenario(s *scenario.Scenario, dir string, rule int) error {
	return withSchedulers(dir, rule, func(program []string, dir string) error {
		outcome, err := s.Run(dir, program, os.Stdout)
		if err != nil {
			return err
		}
		outcome.Print(os.Stdout)
		if !outcome.Passed() {
			return errFailed
		}
		return nil
	})
}
