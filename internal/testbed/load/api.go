package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"glenport/internal/testbed/bench"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/report"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxDelay       = 60_000_000 // upper bound of a histogram, in microseconds
	pendingJob     = "many"
	whyRequests    = 2000
	requestClients = 8
	requestTime    = 4 * time.Second
	watchedChanges = 50
	watchedJob     = "watched"
)

// delays is a histogram of delays in microseconds. It may be used from any goroutine.
type delays struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newDelays() *delays { return &delays{histogram: hdrhistogram.New(1, maxDelay, 3)} }

// record records the time since a start time, capped to the range of the histogram.
func (d *delays) record(since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.histogram.RecordValue(min(maxDelay, max(1, time.Since(since).Microseconds()))) // always in range
}

// quantile returns a quantile, given in percent, in milliseconds.
func (d *delays) quantile(q float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return report.QuantileMS(d.histogram, q)
}

// MeasureAPI measures a controller with many containers that are pending because all machines are full: the latency of
// requests for the reasons of a pending container, the request rate, and the delay of changes to many watchers.
func MeasureAPI(spec bench.Spec, pending, watchers int, out io.Writer) error {
	spec.Capacity = bench.Full
	return bench.WithController(spec, func(_ *bench.Cluster, controller *process.Controller) error {
		if err := measureReads(controller, pending, spec.Machines, out); err != nil {
			return err
		}
		return measureFanOut(controller, watchers, out)
	})
}

// measureReads measures the latency of requests for the reasons of pending containers and the request rate.
func measureReads(controller *process.Controller, pending, machines int, out io.Writer) error {
	if err := createPending(controller, pending); err != nil {
		return err
	}
	api := &apiReader{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
		base:   "http://" + controller.APIAddr,
	}
	latencies, err := api.measureWhy(pending)
	if err != nil {
		return err
	}
	report.Printf(out, "why requests, %d pending containers, %d machines: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n",
		pending, machines, latencies.quantile(50), latencies.quantile(99), latencies.quantile(99.9))
	rate, err := api.measureRequests()
	if err != nil {
		return err
	}
	report.Printf(out, "request rate: %.0f per second with %d clients\n", rate, requestClients)
	return nil
}

// createPending creates a job whose containers stay pending, and waits until the last of them is listed as waiting.
func createPending(controller *process.Controller, n int) error {
	if err := controller.CreateJob(pendingJob, process.WorkloadMatcher, n, 1, 1); err != nil {
		return err
	}
	err := process.WaitUntil("all containers are pending", time.Minute, func() bool {
		var all struct{ Items []any }
		return controller.Get(
			fmt.Sprintf("/v1/containers?limit=1000&after=%s.%d&field=state=waiting", pendingJob, n-2),
			&all,
		) == nil &&
			controller.Get("/v1/containers/"+pendingJob+".0/why", nil) == nil &&
			len(all.Items) > 0
	})
	time.Sleep(3 * time.Second) // until the first retries of the schedulers have ended
	return err
}

// apiReader sends GET requests to the API over persistent connections.
type apiReader struct {
	client *http.Client
	base   string
}

func (a *apiReader) get(path string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, a.base+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read to its end
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, response.Status)
	}
	return nil
}

func (a *apiReader) measureWhy(pending int) (*delays, error) {
	latencies := newDelays()
	for i := range whyRequests {
		began := time.Now()
		if err := a.get(fmt.Sprintf("/v1/containers/%s.%d/why", pendingJob, i*7%pending)); err != nil {
			return nil, err
		}
		latencies.record(began)
	}
	return latencies, nil
}

// measureRequests returns the request rate with concurrent clients.
func (a *apiReader) measureRequests() (perSecond float64, err error) {
	var done atomic.Int64
	var clients sync.WaitGroup
	errs := make([]error, requestClients)
	began := time.Now()
	for i := range requestClients {
		clients.Go(func() {
			for time.Since(began) < requestTime && errs[i] == nil {
				if errs[i] = a.get("/v1/jobs/" + pendingJob); errs[i] == nil {
					done.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return float64(done.Load()) / time.Since(began).Seconds(), errors.Join(errs...)
}

// fanOut measures the delay between changes of a job and the events at its watchers.
type fanOut struct {
	sentAt [watchedChanges]atomic.Int64 // Unix time of each change, in nanoseconds
	delays *delays
	missed atomic.Int64 // number of events that watchers did not read
}

// measureFanOut changes a job repeatedly and measures the delay until each watcher reads the event.
func measureFanOut(controller *process.Controller, watchers int, out io.Writer) error {
	if err := controller.CreateJob(watchedJob, process.WorkloadMatcher, 0, 1, 1); err != nil {
		return err
	}
	f := &fanOut{delays: newDelays()}
	var ready, readers sync.WaitGroup
	ready.Add(watchers)
	for range watchers {
		readers.Go(func() {
			events, err := controller.Watch("jobs")
			ready.Done()
			if err != nil {
				f.missed.Add(watchedChanges)
				return
			}
			defer loopback.CloseQuietly(events)
			f.readChanges(events)
		})
	}
	ready.Wait()
	for i := range watchedChanges {
		job := process.NewJobSpec(watchedJob, process.WorkloadMatcher, 0, 1, 1)
		job.RunForMS = i + 1 // identifies the change in the events
		f.sentAt[i].Store(time.Now().UnixNano())
		if err := controller.Do(http.MethodPut, "/v1/jobs/"+watchedJob, job, nil); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	readers.Wait()
	report.Printf(out, "%d watchers, %d changes: from the request to the watch event p50 %.1f ms, p99 %.1f ms, "+
		"worst %.1f ms; %d events missed\n", watchers, watchedChanges,
		f.delays.quantile(50), f.delays.quantile(99), f.delays.quantile(100), f.missed.Load())
	return nil
}

// readChanges reads events until it has seen all changes or the server ends the watch.
func (f *fanOut) readChanges(events io.Reader) {
	lines := bufio.NewScanner(events)
	for n := 0; n < watchedChanges && lines.Scan(); {
		var event struct {
			Type   string
			Object struct {
				RunForMS int `json:"run_for_ms"`
			}
		}
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue // not a job event; a change in it counts as missed
		}
		switch event.Type {
		case "changed":
			f.delays.record(time.Unix(0, f.sentAt[event.Object.RunForMS-1].Load()))
			n++
		case "gone":
			f.missed.Add(int64(watchedChanges - n))
			return
		}
	}
}
