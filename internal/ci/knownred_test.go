package ci

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// Files of the small repository in which the script runs.
var repositoryFiles = map[string]string{
	"go.mod": "module example\n",
	"red/a_test.go": `package red

import "testing"

func TestFails(t *testing.T) { t.Fail() }

func TestPasses(*testing.T) {}
`,
	"bad/a_test.go":  "package bad\n\nfunc TestDoesNotCompile( {}\n",
	"case/broken.sh": "#!/bin/sh\nexit 1\n",
	"case/held.sh":   "#!/bin/sh\nexit 0\n",
	"case/unable.sh": "#!/bin/sh\nexit 2\n",
	"bin/trial.sh":   "#!/bin/sh\n[ \"$1\" = --seed ] && exit \"$2\"\n",
}

const (
	failingTest   = "./red TestFails: the clock is read twice, go test ./red, seed 7: issue 9"
	failingTrial  = "bin/trial.sh --seed 1: a rule is broken, bin/trial.sh --seed 1, seed 1: issue 9"
	failingScript = "case/broken.sh: a rule is broken, case/broken.sh, seeds 1 and 2: issue 9"
)

// runKnownRed runs the script on a list of entries, in a small repository.
func runKnownRed(t *testing.T, entries ...string) (stdout, stderr string, code int) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range repositoryFiles {
		path := filepath.Join(dir, name)
		testutil.NoError(t, os.MkdirAll(filepath.Dir(path), 0o750))
		testutil.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		if strings.HasSuffix(name, ".sh") {
			testutil.NoError(t, os.Chmod(path, 0o700)) //nolint:gosec // the script has to be executable
		}
	}
	list := filepath.Join(dir, "list")
	testutil.NoError(t, os.WriteFile(list, []byte(strings.Join(entries, "\n")), 0o600))
	script, err := filepath.Abs("../../.ci/known-red")
	testutil.NoError(t, err)
	cmd := exec.CommandContext(t.Context(), script, list)
	var out, errOut strings.Builder
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, &out, &errOut
	err = cmd.Run()
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		return out.String(), errOut.String(), exit.ExitCode()
	}
	testutil.NoError(t, err)
	return out.String(), errOut.String(), 0
}

// Entries that fail as they have to are printed, and only tests are skipped.
func TestFailingEntriesAreListed(t *testing.T) {
	for name, tc := range map[string]struct {
		entries []string
		pattern string
	}{
		"none":                {nil, ""},
		"a test":              {[]string{failingTest}, "^(TestFails)$\n"},
		"a script":            {[]string{failingScript}, ""},
		"a script with setup": {[]string{"case/held.sh && " + failingScript}, ""},
		"with arguments":      {[]string{failingTrial}, ""},
		"both":                {[]string{failingScript, failingTest}, "^(TestFails)$\n"},
	} {
		t.Run(name, func(t *testing.T) {
			stdout, stderr, code := runKnownRed(t, tc.entries...)
			testutil.Equal(t, code, 0)
			testutil.Equal(t, stdout, tc.pattern)
			for _, entry := range tc.entries {
				printed := strings.Contains(stderr, "known red: "+entry)
				testutil.Expect(t, printed, "%q is not printed: %s", entry, stderr)
			}
		})
	}
}

// An entry that passes, cannot run, does not exist or is not complete is an error.
func TestOtherEntriesAreErrors(t *testing.T) {
	const rest = ": a rule is broken, the command, no seed: issue 9"
	for name, tc := range map[string]struct{ entry, message string }{
		"a test that passes":           {"./red TestPasses" + rest, "TestPasses passes"},
		"a test that does not exist":   {"./red TestMissing" + rest, "there is no TestMissing"},
		"a script that passes":         {"case/held.sh" + rest, "case/held.sh passes"},
		"a script that cannot run":     {"case/unable.sh" + rest, "cannot run: it exits with 2"},
		"a script that does not exist": {"case/missing.sh" + rest, "there is no command"},
		"a setup that fails":           {"case/broken.sh && case/broken.sh" + rest, "case/broken.sh exits with 1"},
		"arguments that make it pass":  {"bin/trial.sh --seed 0" + rest, "bin/trial.sh --seed 0 passes"},
		"arguments for a shell":        {"case/broken.sh $(x)" + rest, "not of the form"},
		"a path out of the repository": {"../case/broken.sh" + rest, "not of the form"},
		"no issue":                     {strings.TrimSuffix(failingScript, ": issue 9"), "not of the form"},
		"no command and seed":          {"case/broken.sh: a rule is broken: issue 9", "not of the form"},
		"four entries":                 {strings.Repeat(failingScript+"\n", 4), "entries at most"},
	} {
		t.Run(name, func(t *testing.T) {
			_, stderr, code := runKnownRed(t, tc.entry)
			testutil.Equal(t, code, 1)
			testutil.Expect(t, strings.Contains(stderr, tc.message), "got %q, want %q", stderr, tc.message)
		})
	}
	t.Run("a test that does not compile", func(t *testing.T) {
		_, _, code := runKnownRed(t, "./bad TestDoesNotCompile"+rest)
		testutil.Expect(t, code != 0, "it counts as one that fails")
	})
}
