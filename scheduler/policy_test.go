package scheduler

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	deployFile      = "../deploy/balancer.toml"
	maxPolicyLines  = 910 // not blank, of all files together
	maxPolicyColumn = 110
)

// withoutDecisions are the files of this package that hold types, state and helpers only.
var withoutDecisions = []string{"actions.go", "answers.go", "config.go", "doc.go", "events.go", "log.go", "random.go", "state.go"}

// policyFiles reads the names of this package's files from the array "policy" of the deploy file.
func policyFiles(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile(deployFile)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(content), "policy = [")
	list, _, closed := strings.Cut(rest, "]")
	if !found || !closed {
		t.Fatalf("%s has no policy", deployFile)
	}
	var names []string
	for _, word := range strings.Split(list, ",") {
		path := strings.Trim(strings.TrimSpace(word), `"`)
		if path == "" {
			continue
		}
		name, inPackage := strings.CutPrefix(path, "scheduler/")
		if !inPackage {
			t.Errorf("%s is not in this package", path)
		}
		names = append(names, name)
	}
	return names
}

// The decisions are read aloud in reviews: they stay short, and the deploy file names all of them.
func TestPolicyFilesAreNamedAndShort(t *testing.T) {
	policy := policyFiles(t)
	lines := 0
	for _, name := range policy {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(content), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(line); n > maxPolicyColumn {
				t.Errorf("%s:%d has %d characters, at most %d are allowed", name, i+1, n, maxPolicyColumn)
			}
		}
	}
	if lines > maxPolicyLines {
		t.Errorf("the policy has %d lines, at most %d are allowed", lines, maxPolicyLines)
	}
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") && slices.Contains(policy, name) == slices.Contains(withoutDecisions, name) {
			t.Errorf("%s belongs either to the policy or to the files without decisions", name)
		}
	}
}
