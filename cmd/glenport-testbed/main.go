// Command glenport-testbed starts clusters of emulated machines on loopback, runs fault scenarios on them with real
// schedulers, and audits recordings of the messages on the sockets.
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

// errFailed makes the program exit with status 1. The failed checks have been printed before it is returned.
var errFailed = errors.New("a check failed")

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

// outputDir creates the directory for a run's recording and logs: path or, if path is empty, a temporary directory that
// cleanup removes.
func outputDir(path string) (dir string, cleanup func(), err error) {
	if path != "" {
		return path, func() {}, os.MkdirAll(path, 0o755)
	}
	dir, err = os.MkdirTemp("", "glenport-testbed-")
	return dir, func() { _ = os.RemoveAll(dir) }, err // remains of a temporary directory are harmless
}

// testbedScheduler returns the command that runs the scheduler of this program with the given flags.
func testbedScheduler(flags ...string) ([]string, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return append([]string{executable, "scheduler"}, flags...), nil
}

// schedulerProgram returns the command that runs a scheduler: glenport in the directory of this program or, if rule is
// not 0, the scheduler of this program with that rule broken.
func schedulerProgram(rule int) ([]string, error) {
	if rule > 0 {
		return testbedScheduler("--sabotage", strconv.Itoa(rule))
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(filepath.Dir(executable), "glenport")
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("glenport must be in the directory of glenport-testbed: %w", err)
	}
	return []string{path, "scheduler"}, nil
}

// loadScenario reads a scenario file and logs a warning for each old spelling in it.
func loadScenario(path string) (*scenario.Scenario, error) {
	s, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	config.LogDeprecations(slog.New(slog.NewTextHandler(os.Stderr, nil)), s.Deprecations)
	return s, nil
}

// withSchedulers calls f with the command of a scheduler and a directory for the files of the run. Path is passed to
// outputDir and rule to schedulerProgram.
func withSchedulers(path string, rule int, f func(program []string, dir string) error) error {
	program, err := schedulerProgram(rule)
	if err != nil {
		return err
	}
	dir, cleanup, err := outputDir(path)
	if err != nil {
		return err
	}
	defer cleanup()
	return f(program, dir)
}

// runScenario runs a scenario and prints its outcome.
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
