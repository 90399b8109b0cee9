// Command glenport places long-running work on the machines of a cluster. It runs the scheduler and the controller, and
// provides the client commands for users and operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitFailure is the exit code when main prints an error.
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

// exitError ends the program with its value as the exit code. main prints nothing for it.
type exitError int

// errNegativeResult ends a command that ran with a negative result: it found an error, or a container was not placed.
const errNegativeResult exitError = 1

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
		panic(err) // a bug in this program: the command has no such flag
	}
}
