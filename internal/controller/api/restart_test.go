package api

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// killController simulates a SIGKILL: it stops the controller and starts another on a copy of the state folder that was
// made before the stop.
func (f *fixture) killController() {
	f.Helper()
	crashed := f.TempDir()
	testutil.NoError(f, os.CopyFS(crashed, os.DirFS(f.config.StateDir)))
	f.controller.Stop()
	f.config.StateDir = crashed
	f.startController()
}

// runningOnMachines returns the number of containers that run on the machines.
func (f *fixture) runningOnMachines() (n int) {
	for _, m := range f.machines {
		if s, ok := m.Status(); ok {
			n += s.Running
		}
	}
	return n
}

// A controller that restarts after a SIGKILL has every acknowledged job with its version and finds the running
// containers. A retry of the request that created a job gets the same answer, and no version is assigned twice.
func TestKilledControllerRestoresJobsAndVersions(t *testing.T) {
	f := startFixture(t, 3)
	const text = `{"id":"j","service":"s","workload":"matcher","cores":1,"memory_gib":1,"count":5}`
	status, made := f.do("POST", "/v1/jobs", text, "Idempotency-Key", "k1")
	testutil.Require(t, status == 201, "%d %v", status, made)
	if status, _ := f.do("POST", "/v1/jobs", strings.Replace(text, `"j"`, `"gone"`, 1)); status != 201 {
		t.Fatal(status)
	}
	if status, _ := f.do("DELETE", "/v1/jobs/gone", ""); status != 204 {
		t.Fatal(status)
	}
	running := func() bool { return f.countContainers("state=running") == 5 }
	f.waitUntil("five run", running)
	_, before := f.do("GET", "/v1/jobs", "")
	f.killController()
	_, after := f.do("GET", "/v1/jobs", "")
	testutil.Expect(t, fmt.Sprint(before["items"]) == fmt.Sprint(after["items"]),
		"jobs before the restart %v, after it %v", before["items"], after["items"])
	f.waitUntil("five run again", running)
	n := f.runningOnMachines()
	testutil.Expect(t, n == 5, "%d containers run, want 5", n)
	status, again := f.do("POST", "/v1/jobs", text, "Idempotency-Key", "k1")
	testutil.Expect(t, status == 201 && again["version"] == made["version"], "the retry got %d %v", status, again)
	if status, _ := f.do("POST", "/v1/jobs", text, "Idempotency-Key", "k2"); status != 409 {
		t.Errorf("a request with another key got %d", status)
	}
	if status, _ := f.do("GET", fmt.Sprintf("/v1/watch?from=%.0f", before["version"]), ""); status != 410 {
		t.Errorf("a watch from a version of the earlier process got %d", status)
	}
	_, changed := f.do("PUT", "/v1/jobs/j", strings.Replace(text, `"count":5`, `"count":2`, 1))
	v, _ := changed["version"].(float64)
	testutil.Expect(t, v > before["version"].(float64), "version %v was assigned again", v)
	f.waitUntil("two run", func() bool { return f.runningOnMachines() == 2 })
}
