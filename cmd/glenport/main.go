// Command glenport places long-running work on the machines of a cluster: it runs the scheduler and the controller, and
// talks to them on behalf of a user or an operator.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitFailure is the exit code of an error that is printed by main.
const exitFailure = 2

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	if code, ok := errors.AsType[exitError](err); ok {
		os.Exit(int(code))
	}
	fmt.Fprintln(os.Stderr, "glenport:", err)
	os.Exit(exitFailure)
}

// exitError ends the program with its value as the exit code. The command has printed all there is to print.
type exitError int

// errNegative ends a command that ran and has a negative result: it found an error, or a request was refused.
const errNegative exitError = 1

// Error implements error.
func (c exitError) Error() string { return fmt.Sprintf("exit %d", int(c)) }

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "glenport",
		Short:         "Place long-running work on the machines of a cluster",
		Example:       "  glenport scheduler -c deploy/scheduler.yaml",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newSchedulerCommand(), newControllerCommand(), newPlatformCommand(), newCheckCommand(),
		newSubmitCommand(), newStatusCommand(), newBGPCommand(),
		newJobCommand(), newWhyCommand(), newMachinesCommand(),
		newStateCommand(),
	)
	return root
}

// requireFlag marks a flag of a command as required.
func requireFlag(c *cobra.Command, name string) {
	if err := c.MarkFlagRequired(name); err != nil {
		panic(err) // the command has no such flag: a mistake in this program
	}
}
