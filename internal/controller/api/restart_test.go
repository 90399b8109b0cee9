package api

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// killController starts another controller on the state folder as a SIGKILL leaves it.
func (f *fixture) killController() {
	f.Helper()
	crashed := f.TempDir()
	if err := os.CopyFS(crashed, os.DirFS(f.config.StateDir)); err != nil {
		f.Fatal(err)
	}
	f.controller.Stop()
	f.config.StateDir = crashed
	f.startController()
}

// machinesRun is the number of containers that the machines run.
func (f *fixture) machinesRun() (n int) {
	for _, m := range f.machines {
		if s, ok := m.Status(); ok {
			n += s.Running
		}
	}
	return n
}

// A restarted controller has every job that it acknowledged, with its version, and finds the containers that run; a
// retry of the request that created a job gets the same answer, and no version is given out twice.
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
	running := func() bool { return f.count("state=running") == 5 }
	f.until("five run", running)
	_, before := f.do("GET", "/v1/jobs", "")
	f.killController()
	_, after := f.do("GET", "/v1/jobs", "")
	if fmt.Sprint(before["items"]) != fmt.Sprint(after["items"]) {
		t.Errorf("jobs were %v, are %v", before["items"], after["items"])
	}
	f.until("five run again", running)
	if n := f.machinesRun(); n != 5 {
		t.Errorf("%d run, 5 are wanted", n)
	}
	status, again := f.do("POST", "/v1/jobs", text, "Idempotency-Key", "k1")
	testutil.Expect(t, status == 201 && again["version"] == made["version"], "the retry got %d %v", status, again)
	if status, _ := f.do("POST", "/v1/jobs", text, "Idempotency-Key", "k2"); status != 409 {
		t.Errorf("another request got %d", status)
	}
	if status, _ := f.do("GET", fmt.Sprintf("/v1/watch?from=%.0f", before["version"]), ""); status != 410 {
		t.Errorf("a watch from a version of the earlier process got %d", status)
	}
	_, changed := f.do("PUT", "/v1/jobs/j", strings.Replace(text, `"count":5`, `"count":2`, 1))
	if v, _ := changed["version"].(float64); v <= before["version"].(float64) {
		t.Errorf("version %v was given out again", v)
	}
	f.until("two run", func() bool { return f.machinesRun() == 2 })
}
