package api

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller/pending"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
	"glenport/internal/golden"
	"glenport/internal/testutil"
)

// TestAnswersMatchGoldenBytes compares lists, objects, watch events and problems byte for byte with testdata. The
// controller holds fixed objects and has no scheduler.
func TestAnswersMatchGoldenBytes(t *testing.T) {
	s, err := server.New(server.Config{
		Name: "controller", Seed: 1, SchedulerConfig: &config.Scheduler{WorkloadClasses: []string{"matcher"}},
	}, watchcache.New(EncodeWatchEvent), discardLog)
	testutil.NoError(t, err)
	testutil.RunUntilEnd(t, s.Run, s.Stop)
	putGoldenObjects(s.Cache)
	handler := New(s)
	var got strings.Builder
	answer := func(method, path, body, name string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newRequest(t, method, path, body))
		record(&got, name, w)
	}
	for _, path := range []string{
		"/v1/jobs", "/v1/jobs?limit=1", "/v1/jobs?label=team%3Dnorth", "/v1/jobs?field=workload!%3Dmatcher",
		"/v1/jobs/reports", "/v1/jobs/none", "/v1/jobs/reports/why", "/v1/jobs/none/why", "/v1/containers",
		"/v1/containers/reports.2", "/v1/containers?field=state%3Drunning", "/v1/containers/none/why",
		"/v1/machines", "/v1/machines/m17", "/v1/jobs?limit=x", "/v1/jobs?field=color%3Dred", "/v1/jobs?label=x",
		"/v1/watch?kinds=x", "/v1/watch?from=x", "/v1/watch?from=99", "/v1/none",
	} {
		answer(http.MethodGet, path, "", "GET "+path)
	}
	for _, q := range []struct{ method, path, body string }{
		{"POST", "/v1/jobs", `{"id":"X"}`},
		{"POST", "/v1/jobs", `{"id":"x","color":1}`},
		{"POST", "/v1/jobs", `{"id":1}`},
		{"POST", "/v1/jobs", `{"id":"x"} {}`},
		{"POST", "/v1/jobs", `{`},
		{"PUT", "/v1/jobs/none", `{"id":"none"}`},
		{"PUT", "/v1/jobs/a", `{"id":"b"}`},
		{"DELETE", "/v1/jobs/none", ""},
		{"POST", "/v1/jobs", strings.Repeat(" ", 70_000)},
	} {
		answer(q.method, q.path, q.body, fmt.Sprintf("%s %s %.30s", q.method, q.path, strings.TrimSpace(q.body)))
	}
	recordErrors(&got)
	recordExplanation(t, &got)
	got.WriteString(watchToBookmark(t, handler))
	golden.CheckText(t, "testdata/answers.txt", got.String())
}

// recordErrors records the problems of the errors of the server and the cache.
func recordErrors(got *strings.Builder) {
	for _, err := range []error{
		&server.NotPersistedError{Err: errors.New("no space")}, server.ErrStopped,
		server.ErrNotFound, watchcache.ErrCompacted,
		&server.ConflictError{ID: "reports", Version: 41, Message: "it exists already"},
		&server.InvalidFieldError{Field: "cores", Message: "-1 is not above 0"},
	} {
		w := httptest.NewRecorder()
		writeError(w, err)
		record(got, "error", w)
	}
}

// recordExplanation records the JSON of an explanation, with an empty reason and a full one.
func recordExplanation(t *testing.T, got *strings.Builder) {
	t.Helper()
	full := pending.Reason{
		Code: pending.CodeNoCapacity, Text: "No room.", EndsAt: 70,
		Details: map[string]float64{"machines": 3, "full": 2.5},
	}
	line, err := json.Marshal(Explanation{
		Container: "reports.0", State: "waiting", Reasons: []Reason{{}, {Reason: full, UntilMS: 7}},
	})
	testutil.NoError(t, err)
	fmt.Fprintf(got, "why\n%s\n", line)
}

func putGoldenObjects(c *watchcache.Cache) {
	c.Put(server.KindJobs, "plain", server.Job{
		ID: "plain", Service: "web", WorkloadClass: "matcher", Cores: 0.5, MemoryGiB: 1, Count: 1,
	})
	c.Put(server.KindJobs, "reports", server.Job{
		ID: "reports", Labels: map[string]string{"team": "north", "tier": "2"}, Service: "report",
		WorkloadClass: "report-run", Tenant: "schools", Cores: 1.5, MemoryGiB: 2.25, RunForMS: 60_000, RunOnce: true,
		Count: 3,
	})
	c.Put(server.KindContainers, "reports.2", server.Container{
		ID: "reports.2", Job: "reports", Index: 2, State: "running", Terminating: true,
		Machine: "m17", Scheduler: "p1", SinceMS: 5, UntilMS: 6, Attempts: 7, Starts: 8, LastStatus: "runs",
	})
	c.Put(server.KindContainers, "plain.0", server.Container{
		ID: "plain.0", Job: "plain", State: "done", LastStatus: "finished",
	})
	c.Put(server.KindMachines, "m17", server.Machine{
		ID: "m17", Zone: 2, MachineType: "large", State: "serving", FreeCores: 1.5, FreeMemoryGiB: 2.5,
		Incarnation: 1 << 60,
	})
	c.Put(server.KindMachines, "m18", server.Machine{ID: "m18"})
	c.Delete(server.KindMachines, "m18")
}

func record(got *strings.Builder, label string, w *httptest.ResponseRecorder) {
	fmt.Fprintf(got, "%s\n%d %s", label, w.Code, w.Header().Get("Content-Type"))
	for _, name := range []string{"ETag", "Retry-After"} {
		if v := w.Header().Get(name); v != "" {
			fmt.Fprintf(got, " %s: %s", name, v)
		}
	}
	fmt.Fprintf(got, "\n%s", w.Body)
}

// watchToBookmark returns the lines of a watch from version 0 to the first bookmark.
func watchToBookmark(t *testing.T, handler http.Handler) string {
	t.Helper()
	testServer := httptest.NewServer(handler)
	defer testServer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r := send(t, newRequest(t, http.MethodGet, testServer.URL+"/v1/watch?from=0", "").WithContext(ctx))
	got := "watch " + r.header.Get("Content-Type") + "\n"
	lines := bufio.NewScanner(r.body)
	for lines.Scan() {
		got += lines.Text() + "\n"
		if strings.Contains(lines.Text(), `"bookmark"`) {
			return got
		}
	}
	t.Fatalf("the watch ended: %v", lines.Err())
	return ""
}
