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
	var code exitCode
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	fmt.Fprintln(os.Stderr, "glenport:", err)
	os.Exit(exitFailure)
}

// exitCode is an error that ends the program with this code; all that is to be said has been printed.
type exitCode int

// exitNegative is the exit code of a command that ran, and found something wrong or was refused.
const exitNegative exitCode = 1

// Error implements error.
func (c exitCode) Error() string { return fmt.Sprintf("exit %d", int(c)) }

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
