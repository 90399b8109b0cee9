package main

import (
	"errors"
	"strings"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testutil"

	"github.com/spf13/cobra"
)

// allCommands returns a command and all its subcommands, without those that cobra adds.
func allCommands(c *cobra.Command) []*cobra.Command {
	all := []*cobra.Command{c}
	for _, sub := range c.Commands() {
		all = append(all, allCommands(sub)...)
	}
	return all
}

func TestHelpOfEachCommandHasAnExampleThatParses(t *testing.T) {
	commands := allCommands(newRootCommand())
	testutil.Require(t, len(commands) >= 20, "only %d commands found", len(commands))
	for _, c := range commands {
		t.Run(c.CommandPath(), func(t *testing.T) {
			help, _, err := runCommand(append(strings.Fields(c.CommandPath())[1:], "--help")...)
			testutil.Expect(t, err == nil && strings.Contains(help, "Examples:\n"+c.Example),
				"help without the example, error %v:\n%s", err, help)
			testutil.Require(t, c.Example != "", "no example")
			for line := range strings.SplitSeq(c.Example, "\n") {
				checkExample(t, c, line)
			}
		})
	}
}

// checkExample checks that an example calls the command or one of its subcommands, with flags and arguments that the
// called command accepts.
func checkExample(t *testing.T, c *cobra.Command, line string) {
	t.Helper()
	call, _, _ := strings.Cut(strings.TrimSpace(line), " >")
	words := strings.Fields(call)
	if !strings.HasPrefix(call+" ", c.CommandPath()+" ") {
		t.Fatalf("%q does not call %s", call, c.CommandPath())
	}
	called, rest, err := newRootCommand().Find(words[1:])
	testutil.Require(t, err == nil, "%q: %v", call, err)
	if err := called.ParseFlags(rest); err != nil {
		t.Errorf("%q: %v", call, err)
	}
	if err := called.ValidateArgs(called.Flags().Args()); err != nil {
		t.Errorf("%q: %v", call, err)
	}
	if err := called.ValidateRequiredFlags(); err != nil {
		t.Errorf("%q: %v", call, err)
	}
	testutil.Expect(t, called.RunE != nil, "%q calls a command without a function to run", call)
}

func TestFormerNamesOfProcessesAreAliases(t *testing.T) {
	for former, name := range map[string]string{"placer": "scheduler", "keeper": "controller"} {
		c, _, err := newRootCommand().Find([]string{former, "-c", "FILE"})
		testutil.Expect(t, err == nil && c.Name() == name,
			"%s runs command %v, error %v; want %s", former, c, err, name)
	}
}

func TestFormerFlagsHaveTheSameEffect(t *testing.T) {
	scheduler, api := fakeScheduler(t, protocol.RoleScheduler), fakeAPI(t)
	for _, tc := range []struct{ name, command, former, current, value string }{
		{"status", "status", "--placer", "--scheduler", scheduler},
		{"bgp", "bgp routes", "--placer", "--scheduler", scheduler},
		{"submit to", "submit spec --key k", "--placer", "--scheduler", scheduler},
		{"submit tenant", "submit spec --key k --scheduler " + scheduler, "--customer", "--tenant", "7"},
		{"submit timeout", "submit spec --key k --scheduler " + scheduler, "--hard-stop", "--timeout", "250ms"},
		{"submit and wait", "submit ends --scheduler " + scheduler, "--stay", "--wait", ""},
		{"job tenant", "job run web --workload matcher -o json --api " + api, "--customer", "--tenant", "c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run := func(flag string) string {
				output, _, err := runCommand(strings.Fields(tc.command + " " + flag + " " + tc.value)...)
				if err != nil && !errors.Is(err, errNegativeResult) {
					t.Fatal(err)
				}
				return randomID.ReplaceAllString(output, "-RANDOM-$1")
			}
			// cobra prints the warning to standard error, or to the output that the test sets
			warning := "Flag " + tc.former + " has been deprecated, use " + tc.current + "\n"
			got, want := run(tc.former), warning+run(tc.current)
			testutil.Expect(t, got == want, "got %s\nwant %s", got, want)
			help, _, _ := runCommand(append(strings.Fields(tc.command), "--help")...)
			testutil.Expect(t, !strings.Contains(help, tc.former) && strings.Contains(help, tc.current),
				"help:\n%s", help)
		})
	}
}
