package api

import (
	"fmt"
	"slices"
	"testing"

	"glenport/internal/testutil"
)

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
		t.Fatalf("created: %d %v", status, answer)
	}
	var answer map[string]any
	f.until("no machine is large enough", func() bool {
		_, answer = f.do("GET", "/v1/containers/large.1/why", "")
		return slices.Contains(reasonCodes(answer), "no_machine")
	})
	testutil.Expect(t, answer["container"] == "large.1" && answer["state"] != "running", "explained %v", answer)
	status, all := f.do("GET", "/v1/jobs/large/why", "")
	items, _ := all["items"].([]any)
	testutil.Require(t, status == 200 && len(items) == 2, "got %d %v, want both containers", status, all)
	for _, item := range items {
		explanation := item.(map[string]any)
		if !slices.Contains(reasonCodes(explanation), "no_machine") {
			t.Errorf("%v: no_machine is not among its reasons", explanation)
		}
	}
}

func TestRunningContainerHasNoReasons(t *testing.T) {
	f := startFixture(t, 1)
	f.do("POST", "/v1/jobs", job("a", 1, 0.5))
	f.until("it runs", func() bool { return f.count("job=a,state=running") == 1 })
	status, answer := f.do("GET", "/v1/containers/a.0/why", "")
	if status != 200 || answer["state"] != "running" || len(reasonCodes(answer)) != 0 {
		t.Errorf("got %d %v", status, answer)
	}
}
