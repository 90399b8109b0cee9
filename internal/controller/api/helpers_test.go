package api

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
	"glenport/internal/schedulerd"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testutil"
	"glenport/scheduler"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"
)

var discardLog = slog.New(slog.DiscardHandler)

// fixture is a controller with its API, one scheduler and some emulated machines, all in this process.
type fixture struct {
	*testing.T
	config     server.Config
	controller *server.Server
	api        *httptest.Server
	machines   []*emulator.Machine
	router     routers.Router // for the paths in the API's description
}

func startFixture(t *testing.T, machines int) *fixture {
	t.Helper()
	f := &fixture{T: t}
	schedulerConfig, err := config.LoadScheduler("../../../scenarios/why-scheduler.yaml")
	testutil.NoError(t, err)
	f.startMachines(machines)
	list := &emulator.MachineList{
		FailureDetection: time.Second, PollInterval: 50 * time.Millisecond, Address: (*emulator.Machine).Addr,
	}
	schedulerConfig.MachineListAddr, err = list.Open(f.machines)
	testutil.NoError(t, err)
	t.Cleanup(list.Close)
	schedulerConfig.ListenAddr, schedulerConfig.StateDir, schedulerConfig.Policy.SchedulerCount = "127.0.0.1:0", "", 1
	schedulerProcess, err := schedulerd.New(schedulerConfig, scheduler.New(schedulerConfig.Policy), discardLog)
	testutil.NoError(t, err)
	testutil.RunUntilEnd(t, schedulerProcess.Run, schedulerProcess.Stop)
	f.config = server.Config{
		Name: "controller", Schedulers: []string{schedulerProcess.Addr()}, MachineList: schedulerConfig.MachineListAddr,
		Seed: 1, SchedulerConfig: schedulerConfig, StateDir: t.TempDir(),
	}
	f.startController()
	f.loadDescription()
	return f
}

func (f *fixture) startMachines(machines int) {
	f.Helper()
	group := &emulator.DedupGroup{}
	for i := range machines {
		m := emulator.NewMachine(emulator.MachineSpec{
			Name: fmt.Sprint("m", i), Cores: 24, Memory: 60, AcceptCores: 2, AcceptMemory: 1.5,
			AdmissionTime: time.Millisecond, MaxQueuedOffers: 100, ConcurrentStarts: 20,
			StartTime: 5 * time.Millisecond, ImageMissFactor: 1, CachedImages: 5,
			SlowStartPeriod: time.Second, SlowStartInitialPace: 1, AcceptMeansRunning: true,
			RequiredMachineType: []int{-1, -1, -1, -1},
		}, group, uint64(i))
		testutil.NoError(f, m.Start(true))
		f.Cleanup(m.Close)
		f.machines = append(f.machines, m)
	}
}

func (f *fixture) loadDescription() {
	f.Helper()
	description, err := openapi3.NewLoader().LoadFromData(OpenAPI)
	testutil.NoError(f, err)
	testutil.NoError(f, description.Validate(f.Context()))
	f.router, err = gorillamux.NewRouter(description)
	testutil.NoError(f, err)
}

// startController starts a controller on the fixture's state folder, and an API server for it.
func (f *fixture) startController() {
	f.Helper()
	var err error
	f.controller, err = server.New(f.config, watchcache.New(EncodeWatchEvent), discardLog)
	testutil.NoError(f, err)
	testutil.RunUntilEnd(f, f.controller.Run, f.controller.Stop)
	f.api = httptest.NewServer(New(f.controller))
	f.Cleanup(f.api.Close)
}

// newRequest returns a request that is cancelled at the end of the test. Headers are pairs of name and value.
func newRequest(tb testing.TB, method, url, body string, headers ...string) *http.Request {
	tb.Helper()
	request, err := http.NewRequestWithContext(tb.Context(), method, url, strings.NewReader(body))
	testutil.NoError(tb, err)
	if body != "" {
		request.Header.Set("Content-Type", contentTypeJSON)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// answer is the response to a request.
type answer struct {
	status int
	header http.Header
	body   io.Reader
}

// send sends a request. The response body is closed at the end of the test.
func send(tb testing.TB, request *http.Request) answer {
	tb.Helper()
	response, err := http.DefaultClient.Do(request)
	testutil.NoError(tb, err)
	tb.Cleanup(func() { testutil.ExpectNoError(tb, response.Body.Close()) })
	return answer{response.StatusCode, response.Header, response.Body}
}

// read returns the complete body.
func (a answer) read(tb testing.TB) []byte {
	tb.Helper()
	body, err := io.ReadAll(a.body)
	testutil.NoError(tb, err)
	return body
}

// do sends a request and checks the response against the API's description. It returns the status and the decoded body.
func (f *fixture) do(method, path, body string, headers ...string) (int, map[string]any) {
	f.Helper()
	request := newRequest(f, method, f.api.URL+path, body, headers...)
	response := send(f, request)
	data := response.read(f)
	f.checkAgainstDescription(request, response, data)
	var decoded map[string]any
	if len(data) > 0 {
		if err := json.Unmarshal(data, &decoded); err != nil {
			f.Errorf("%s %s: %q is not JSON: %v", method, path, data, err)
		}
	}
	return response.status, decoded
}

func (f *fixture) checkAgainstDescription(request *http.Request, response answer, body []byte) {
	f.Helper()
	route, params, err := f.router.FindRoute(request)
	if err != nil {
		testutil.Expect(f, response.status >= 400, "%s %s is not in the description", request.Method, request.URL)
		return
	}
	input := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{
			Request: request, PathParams: params, Route: route,
		},
		Status: response.status, Header: response.header,
		Options: &openapi3filter.Options{IncludeResponseStatus: true},
	}
	input.SetBodyBytes(body)
	if err := openapi3filter.ValidateResponse(f.Context(), input); err != nil {
		f.Errorf("%s %s: %d %s does not match the description: %v",
			request.Method, request.URL, response.status, body, err)
	}
}

// waitUntil waits until a condition holds. It checks the condition after each change that the controller publishes.
func (f *fixture) waitUntil(what string, holds func() bool) {
	f.Helper()
	cache := f.controller.Cache
	watcher, err := cache.Watch(cache.Version(), watchedKinds...)
	testutil.NoError(f, err)
	defer watcher.Close()
	deadline := time.After(20 * time.Second)
	for !holds() {
		select {
		case _, open := <-watcher.Changes:
			if !open {
				f.Fatal("the watcher fell behind while waiting for: " + what)
			}
		case <-deadline:
			f.Fatal("condition does not hold after 20 s: " + what)
		}
	}
}

// countContainers returns the number of containers that match a field selector.
func (f *fixture) countContainers(query string) int {
	_, out := f.do("GET", "/v1/containers?limit=1000&field="+query, "")
	items, _ := out["items"].([]any)
	return len(items)
}

// job returns the JSON of a job whose containers run for an hour.
func job(id string, count int, cores float64) string {
	const format = `{"id":%q,"service":"s","workload":"matcher","cores":%g,"memory_gib":0.1,"count":%d,` +
		`"run_for_ms":3600000}`
	return fmt.Sprintf(format, id, cores, count)
}
