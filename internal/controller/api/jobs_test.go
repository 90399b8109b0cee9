package api

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

// The fixture checks every response against the API's description.
func TestJobIsCreatedChangedAndDeletedWithItsContainers(t *testing.T) {
	f := startFixture(t, 3)
	if code, j := f.do("POST", "/v1/jobs", job("a", 3, 0.5)); code != 201 || j["version"] == 0.0 {
		t.Fatalf("create: status %d, %v", code, j)
	}
	f.waitUntil("three run", func() bool { return f.countContainers("job=a,state=running") == 3 })
	code, j := f.do("GET", "/v1/jobs/a", "")
	testutil.Expect(t, code == 200 && j["count"] == 3.0, "got %d %v", code, j)
	version := strconv.Itoa(int(j["version"].(float64)))
	if code, _ := f.do("PUT", "/v1/jobs/a", job("", 5, 0.5), "If-Match", version); code != 200 {
		t.Errorf("update: status %d", code)
	}
	if code, p := f.do("PUT", "/v1/jobs/a", job("", 1, 0.5), "If-Match", version); code != 409 || p["version"] == nil {
		t.Errorf("update with an old version: status %d, %v", code, p)
	}
	f.waitUntil("five run", func() bool { return f.countContainers("job=a,state=running") == 5 })
	if code, why := f.do("GET", "/v1/jobs/a/why", ""); code != 200 || len(why["items"].([]any)) != 0 {
		t.Errorf("reasons: status %d, %v", code, why)
	}
	f.do("GET", "/v1/containers/a.0", "")
	if code, m := f.do("GET", "/v1/machines/m0", ""); code != 200 || m["kind"] != "small" {
		t.Errorf("machine: status %d, %v", code, m)
	}
	f.do("GET", "/v1/machines?field=state=serving,kind!=large&limit=2", "")
	if code, _ := f.do("DELETE", "/v1/jobs/a", ""); code != 204 {
		t.Errorf("delete: status %d", code)
	}
	f.waitUntil("no container is left", func() bool { return f.countContainers("job=a") == 0 })
	for _, m := range f.machines {
		f.waitUntil("no container runs on a machine", func() bool { s, ok := m.Status(); return ok && s.Running == 0 })
	}
}

func TestRetryWithIdempotencyKeyGetsTheFirstAnswer(t *testing.T) {
	f := startFixture(t, 1)
	_, first := f.do("POST", "/v1/jobs", job("a", 1, 1), "Idempotency-Key", "k")
	code, second := f.do("POST", "/v1/jobs", job("a", 1, 1), "Idempotency-Key", "k")
	testutil.Expect(t, code == 201 && second["version"] == first["version"],
		"the retry got %d %v, the first request %v", code, second, first)
	code, p := f.do("POST", "/v1/jobs", job("b", 1, 1), "Idempotency-Key", "k")
	testutil.Expect(t, code == 422 && p["field"] == "Idempotency-Key",
		"a request with the same key and another body got %d %v", code, p)
	if code, _ := f.do("POST", "/v1/jobs", job("", 1, 1), "Idempotency-Key", "l"); code != 422 {
		t.Errorf("an invalid job got %d", code)
	}
	if code, _ := f.do("POST", "/v1/jobs", job("c", 1, 1), "Idempotency-Key", "l"); code != 201 {
		t.Errorf("the key of the invalid job cannot be used again: status %d", code)
	}
}

// reasonCodes returns the codes of the reasons in an explanation of one container.
func reasonCodes(explanation map[string]any) (codes []string) {
	reasons, _ := explanation["reasons"].([]any)
	for _, reason := range reasons {
		codes = append(codes, fmt.Sprint(reason.(map[string]any)["code"]))
	}
	return codes
}

func TestPendingContainerIsExplainedByAScheduler(t *testing.T) {
	f := startFixture(t, 2)
	if status, answer := f.do("POST", "/v1/jobs", job("large", 2, 1000)); status != 201 {
		t.Fatalf("create: status %d, %v", status, answer)
	}
	var answer map[string]any
	f.waitUntil("no machine is large enough", func() bool {
		_, answer = f.do("GET", "/v1/containers/large.1/why", "")
		return slices.Contains(reasonCodes(answer), "no_machine")
	})
	testutil.Expect(t, answer["container"] == "large.1" && answer["state"] != "running", "explained %v", answer)
	status, all := f.do("GET", "/v1/jobs/large/why", "")
	items, _ := all["items"].([]any)
	testutil.Require(t, status == 200 && len(items) == 2, "got %d %v, want both containers", status, all)
	for _, item := range items {
		explanation := item.(map[string]any)
		testutil.Expect(t, slices.Contains(reasonCodes(explanation), "no_machine"),
			"%v: want the reason no_machine", explanation)
	}
}

func TestRunningContainerHasNoReasons(t *testing.T) {
	f := startFixture(t, 1)
	f.do("POST", "/v1/jobs", job("a", 1, 0.5))
	f.waitUntil("the container runs", func() bool { return f.countContainers("job=a,state=running") == 1 })
	status, answer := f.do("GET", "/v1/containers/a.0/why", "")
	testutil.Expect(t, status == 200 && answer["state"] == "running" && len(reasonCodes(answer)) == 0,
		"got %d %v", status, answer)
}
