package api

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
	"glenport/internal/schedulerd"
	"glenport/internal/testbed/emulator"
	"glenport/scheduler"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// rig is a keeper with its API, one placer and some stand-in machines, all in this process.
type rig struct {
	place server.Config
	*testing.T
	server   *httptest.Server
	host     *server.Server
	machines []*emulator.Machine
	router   routers.Router
}

func start(t *testing.T, machines int) *rig {
	t.Helper()
	r := &rig{T: t}
	s, err := config.Load("../../../scenarios/why-placer.yaml")
	if err != nil {
		t.Fatal(err)
	}
	g := &emulator.Group{}
	for i := range machines {
		m := emulator.NewMachine(emulator.Shape{Name: fmt.Sprint("m", i), Cores: 24, Memory: 60, AcceptCores: 2, AcceptMemory: 1.5,
			Admit: time.Millisecond, Queue: 100, Starts: 20, Start: 5 * time.Millisecond, Setup: 1, Kept: 5, ColdFor: time.Second,
			ColdFrom: 1, YesRuns: true, NeedsKind: []int{-1, -1, -1, -1}}, g, uint64(i))
		if err := m.Up(true); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Close)
		r.machines = append(r.machines, m)
	}
	l := &emulator.List{Lag: 0, Notice: time.Second, Period: 50 * time.Millisecond, Address: (*emulator.Machine).Addr}
	if s.ListAddr, err = l.Open(r.machines); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	s.Door, s.State, s.Terms.SchedulerCount = "127.0.0.1:0", "", 1
	h, err := schedulerd.New(s, scheduler.New(s.Terms), quiet)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, h.Run, h.Stop)
	r.place = server.Config{Name: "keeper", Schedulers: []string{h.Addr()}, MachineList: s.ListAddr, Seed: 1, SchedulerConfig: s, StateDir: t.TempDir()}
	r.keep()
	doc, err := openapi3.NewLoader().LoadFromData(OpenAPI)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	if r.router, err = gorillamux.NewRouter(doc); err != nil {
		t.Fatal(err)
	}
	return r
}

// keep brings up a keeper and its server.
func (r *rig) keep() {
	r.Helper()
	var err error
	if r.host, err = server.New(r.place, watchcache.New(EncodeWatchEvent), quiet); err != nil {
		r.Fatal(err)
	}
	serve(r.T, r.host.Run, r.host.Stop)
	r.server = httptest.NewServer(New(r.host))
	r.Cleanup(r.server.Close)
}

func serve(t *testing.T, run func() error, stop func()) {
	done := make(chan error, 1)
	go func() { done <- run() }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// do sends a request and holds the answer against the description.
func (r *rig) do(method, path, body string, head ...string) (int, map[string]any) {
	r.Helper()
	q, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.Fatal(err)
	}
	if body != "" {
		q.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i+1 < len(head); i += 2 {
		q.Header.Set(head[i], head[i+1])
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		r.Fatal(err)
	}
	defer a.Body.Close()
	data, _ := io.ReadAll(a.Body)
	if route, params, err := r.router.FindRoute(q); err == nil {
		in := &openapi3filter.ResponseValidationInput{RequestValidationInput: &openapi3filter.RequestValidationInput{Request: q,
			PathParams: params, Route: route}, Status: a.StatusCode, Header: a.Header, Options: &openapi3filter.Options{IncludeResponseStatus: true}}
		in.SetBodyBytes(data)
		if err := openapi3filter.ValidateResponse(context.Background(), in); err != nil {
			r.Errorf("%s %s: %d %s is not as described: %v", method, path, a.StatusCode, data, err)
		}
	} else if a.StatusCode < 400 {
		r.Errorf("%s %s is not described", method, path)
	}
	var out map[string]any
	json.Unmarshal(data, &out)
	return a.StatusCode, out
}

func (r *rig) until(what string, holds func() bool) {
	r.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.Fatal("not in 20 s: " + what)
		}
	}
}

func (r *rig) count(query string) int {
	_, out := r.do("GET", "/v1/containers?limit=1000&field="+query, "")
	items, _ := out["items"].([]any)
	return len(items)
}

func job(id string, count int, cores float64) string {
	return fmt.Sprintf(`{"id":%q,"service":"s","workload":"matcher","cores":%g,"memory_gib":0.1,"count":%d,"run_for_ms":3600000}`, id, cores, count)
}

// A job's whole life, every answer held against the description.
func TestJobLife(t *testing.T) {
	r := start(t, 3)
	if code, j := r.do("POST", "/v1/jobs", job("a", 3, 0.5)); code != 201 || j["version"] == 0.0 {
		t.Fatalf("created: %d %v", code, j)
	}
	r.until("three run", func() bool { return r.count("job=a,state=running") == 3 })
	code, j := r.do("GET", "/v1/jobs/a", "")
	if code != 200 || j["count"] != 3.0 {
		t.Errorf("got %d %v", code, j)
	}
	version := fmt.Sprint(int(j["version"].(float64)))
	if code, _ := r.do("PUT", "/v1/jobs/a", job("", 5, 0.5), "If-Match", version); code != 200 {
		t.Errorf("changed: %d", code)
	}
	if code, p := r.do("PUT", "/v1/jobs/a", job("", 1, 0.5), "If-Match", version); code != 409 || p["version"] == nil {
		t.Errorf("changed by an old version: %d %v", code, p)
	}
	r.until("five run", func() bool { return r.count("job=a,state=running") == 5 })
	if code, why := r.do("GET", "/v1/jobs/a/why", ""); code != 200 || len(why["items"].([]any)) != 0 {
		t.Errorf("why: %d %v", code, why)
	}
	r.do("GET", "/v1/containers/a.0", "")
	if code, m := r.do("GET", "/v1/machines/m0", ""); code != 200 || m["kind"] != "small" {
		t.Errorf("machine: %d %v", code, m)
	}
	r.do("GET", "/v1/machines?field=state=serving,kind!=large&limit=2", "")
	if code, _ := r.do("DELETE", "/v1/jobs/a", ""); code != 204 {
		t.Errorf("ended: %d", code)
	}
	r.until("nothing is left", func() bool { return r.count("job=a") == 0 })
	for _, m := range r.machines {
		r.until("nothing runs", func() bool { s, ok := m.State(); return ok && s.Running == 0 })
	}
}

// What is wrong is told with its field and cause.
func TestProblems(t *testing.T) {
	r := start(t, 1)
	r.do("POST", "/v1/jobs", job("a", 0, 1))
	for _, tc := range []struct {
		name, method, path, body string
		head                     []string
		code                     int
		field, detail            string
	}{
		{"no JSON", "POST", "/v1/jobs", `{`, nil, 400, "", "unexpected EOF"},
		{"wrong type", "POST", "/v1/jobs", `{"count":"three"}`, nil, 400, "count", "a string stands where a int is wanted"},
		{"unknown field", "POST", "/v1/jobs", `{"cuont":3}`, nil, 422, "cuont", "is unknown"},
		{"no id", "POST", "/v1/jobs", job("", 1, 1), nil, 422, "id", "is not 1 to 63"},
		{"no such workload", "POST", "/v1/jobs", strings.Replace(job("b", 1, 1), "matcher", "mather", 1), nil, 422, "workload", "is none of matcher"},
		{"no cores", "POST", "/v1/jobs", job("b", 1, 0), nil, 422, "cores", "is not above 0"},
		{"too many", "POST", "/v1/jobs", job("b", 1e6, 1), nil, 422, "count", "is not from 0 to 100000"},
		{"too large", "POST", "/v1/jobs", `{"service":"` + strings.Repeat("x", 70000) + `"}`, nil, 413, "", "more than 65536 bytes"},
		{"made already", "POST", "/v1/jobs", job("a", 1, 1), nil, 409, "", "exists already"},
		{"no version", "PUT", "/v1/jobs/a", job("", 1, 1), []string{"If-Match", "soon"}, 422, "If-Match", "is no version"},
		{"another id", "PUT", "/v1/jobs/a", job("b", 1, 1), nil, 422, "id", "is not that of the path"},
		{"unknown job", "GET", "/v1/jobs/none", "", nil, 404, "", "none of that id"},
		{"unknown job, changed", "PUT", "/v1/jobs/none", job("", 1, 1), nil, 404, "", "none of that id"},
		{"unknown container", "GET", "/v1/containers/a.9/why", "", nil, 404, "", "none of that id"},
		{"page", "GET", "/v1/jobs?limit=0", "", nil, 422, "limit", "is not from 1 to 1000"},
		{"selector", "GET", "/v1/jobs?field=colour=red", "", nil, 422, "field", "with a name of id service"},
		{"label", "GET", "/v1/jobs?label=red", "", nil, 422, "label", "is no term such as key=value"},
		{"kind to watch", "GET", "/v1/watch?kinds=cats", "", nil, 422, "kinds", "is none of jobs"},
		{"version of another life", "GET", "/v1/watch?from=99999999", "", nil, 410, "", "list again"},
		{"no such path", "GET", "/v2", "", nil, 404, "", "there is no GET /v2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, p := r.do(tc.method, tc.path, tc.body, tc.head...)
			if code != tc.code || !strings.Contains(fmt.Sprint(p["detail"]), tc.detail) || tc.field != "" && p["field"] != tc.field {
				t.Errorf("got %d %v", code, p)
			}
		})
	}
}

func TestIdempotencyKey(t *testing.T) {
	r := start(t, 1)
	_, first := r.do("POST", "/v1/jobs", job("a", 1, 1), "Idempotency-Key", "k")
	if code, second := r.do("POST", "/v1/jobs", job("a", 1, 1), "Idempotency-Key", "k"); code != 201 || second["version"] != first["version"] {
		t.Errorf("the repeat got %d %v, the first %v", code, second, first)
	}
	if code, p := r.do("POST", "/v1/jobs", job("b", 1, 1), "Idempotency-Key", "k"); code != 422 || p["field"] != "Idempotency-Key" {
		t.Errorf("another body got %d %v", code, p)
	}
	if code, _ := r.do("POST", "/v1/jobs", job("", 1, 1), "Idempotency-Key", "l"); code != 422 {
		t.Errorf("a broken one got %d", code)
	}
	if code, _ := r.do("POST", "/v1/jobs", job("c", 1, 1), "Idempotency-Key", "l"); code != 201 {
		t.Errorf("its key is not free again: %d", code)
	}
}

// A watch drops in the middle of placing and is taken up again from its last version: nothing is missed, nothing
// comes twice, and every container that a client submits ends placed exactly once.
func TestWatchResumes(t *testing.T) {
	r := start(t, 3)
	_, list := r.do("GET", "/v1/containers", "")
	from := int64(list["version"].(float64))
	r.do("POST", "/v1/jobs", job("a", 40, 0.2))
	running, seen := map[string]int{}, map[int64]bool{}
	for round := 0; len(running) < 40; round++ {
		if round > 50 {
			t.Fatalf("%d run after %d watches", len(running), round)
		}
		a, err := http.Get(fmt.Sprintf("%s/v1/watch?kinds=containers&from=%d", r.server.URL, from))
		if err != nil || a.StatusCode != 200 {
			t.Fatalf("%v %v", a, err)
		}
		lines := bufio.NewScanner(a.Body)
		for n := 0; n < 9 && lines.Scan(); n++ { // then the watch drops
			var c struct {
				Type    string
				Version int64
				ID      string
				Object  server.Container
			}
			if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
				t.Fatal(err)
			}
			if c.Type == "bookmark" {
				from = max(from, c.Version)
				break
			}
			if seen[c.Version] || c.Version <= from {
				t.Fatalf("version %d came twice, after %d", c.Version, from)
			}
			seen[c.Version], from = true, c.Version
			if c.Object.State == "running" {
				running[c.ID]++
			}
		}
		a.Body.Close()
	}
	for id, n := range running {
		if n != 1 {
			t.Errorf("%s began to run %d times", id, n)
		}
	}
}

// A reader that stalls is let go; the others go on.
func TestStalledReader(t *testing.T) {
	r := start(t, 1)
	stalled, err := http.Get(r.server.URL + "/v1/watch?kinds=jobs")
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Body.Close()
	live, err := http.Get(r.server.URL + "/v1/watch?kinds=jobs")
	if err != nil {
		t.Fatal(err)
	}
	defer live.Body.Close()
	labels := fmt.Sprintf(`"labels":{"x":%q},`, strings.Repeat("y", 60))
	const n = 3000
	go func() {
		for i := range n {
			body := strings.Replace(job("a", 0, 1), `"service"`, labels+`"service"`, 1)
			method, path := "PUT", "/v1/jobs/a"
			if i == 0 {
				method, path = "POST", "/v1/jobs"
			}
			q, _ := http.NewRequest(method, r.server.URL+path, bytes.NewReader([]byte(body)))
			if a, err := http.DefaultClient.Do(q); err == nil {
				io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
		}
	}()
	lines, got := bufio.NewScanner(live.Body), 0
	for got < n && lines.Scan() {
		if strings.Contains(lines.Text(), `"changed"`) {
			got++
		}
	}
	if got != n {
		t.Errorf("the live reader got %d of %d", got, n)
	}
}

// A keeper killed and started anew has every job that it acknowledged, with its version, and finds what runs; a repeat
// of the request that made one gets the same answer, and no version comes twice.
func TestKeeperKilled(t *testing.T) {
	r := start(t, 3)
	const text = `{"id":"j","service":"s","workload":"matcher","cores":1,"memory_gib":1,"count":5}`
	status, made := r.do("POST", "/v1/jobs", text, "Idempotency-Key", "k1")
	if status != 201 {
		t.Fatalf("%d %v", status, made)
	}
	if status, _ := r.do("POST", "/v1/jobs", strings.Replace(text, `"j"`, `"gone"`, 1)); status != 201 {
		t.Fatal(status)
	}
	if status, _ := r.do("DELETE", "/v1/jobs/gone", ""); status != 204 {
		t.Fatal(status)
	}
	running := func() bool { return r.count("state=running") == 5 }
	r.until("five run", running)
	ran := func() (n int) {
		for _, m := range r.machines {
			if s, ok := m.State(); ok {
				n += s.Running
			}
		}
		return n
	}
	_, before := r.do("GET", "/v1/jobs", "")
	crashed := t.TempDir() // the folder as a kill -9 leaves it
	if err := os.CopyFS(crashed, os.DirFS(r.place.StateDir)); err != nil {
		t.Fatal(err)
	}
	r.host.Stop()
	r.place.StateDir = crashed
	r.keep()
	_, after := r.do("GET", "/v1/jobs", "")
	if fmt.Sprint(before["items"]) != fmt.Sprint(after["items"]) {
		t.Errorf("jobs were %v, are %v", before["items"], after["items"])
	}
	r.until("five run again", running)
	if n := ran(); n != 5 {
		t.Errorf("%d run, 5 are wanted", n)
	}
	if status, again := r.do("POST", "/v1/jobs", text, "Idempotency-Key", "k1"); status != 201 || again["version"] != made["version"] {
		t.Errorf("the repeat got %d %v", status, again)
	}
	if status, _ := r.do("POST", "/v1/jobs", text, "Idempotency-Key", "k2"); status != 409 {
		t.Errorf("another request got %d", status)
	}
	if status, _ := r.do("GET", fmt.Sprintf("/v1/watch?from=%.0f", before["version"]), ""); status != 410 {
		t.Errorf("a watch from the earlier life got %d", status)
	}
	_, changed := r.do("PUT", "/v1/jobs/j", strings.Replace(text, `"count":5`, `"count":2`, 1))
	if v, _ := changed["version"].(float64); v <= before["version"].(float64) {
		t.Errorf("version %v came again", v)
	}
	r.until("two run", func() bool { return ran() == 2 })
}
