package main

import (
	"io"

	"glenport/internal/config"

	"github.com/spf13/cobra"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files of schedulers",
		Long: "Check settings files of schedulers. The first error of each file is printed with file, line and " +
			"column; the exit code is then 1.",
		Example: "  glenport check deploy/scheduler.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			return checkFiles(files, c.OutOrStdout(), c.ErrOrStderr())
		},
	}
}

func checkFiles(files []string, out, errOut io.Writer) error {
	results, diagnostics := &printer{w: out}, &printer{w: errOut}
	valid := true
	for _, file := range files {
		s, err := config.LoadScheduler(file)
		if err != nil {
			diagnostics.printf("%v\n", err)
			valid = false
			continue
		}
		for _, d := range s.Deprecations {
			diagnostics.printf("%s:%d: %q is deprecated, use %q\n", d.File, d.Line, d.Old, d.New)
		}
		results.printf("%s: valid: scheduler %s (%d of %d), %d workload classes, %d machine types\n", file, s.Name,
			s.Policy.SchedulerIndex+1, s.Policy.SchedulerCount, len(s.WorkloadClasses), len(s.MachineTypes))
	}
	if results.err != nil {
		return results.err
	}
	if diagnostics.err != nil {
		return diagnostics.err
	}
	if !valid {
		return errNegativeResult
	}
	return nil
}
