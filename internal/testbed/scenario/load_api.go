package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MeasureAPI measures a keeper with many containers that wait: what a why costs, how many requests it answers a
// second, and how long a change takes to many watchers.
func MeasureAPI(template, dir string, program []string, machines, waiting, watchers int, out io.Writer) error {
	b, err := startBench(template, dir, program, machines, true)
	if err != nil {
		return err
	}
	defer b.close()
	t, err := newController(dir, program[0], b.list.Addr().String(), []*SchedulerProcess{b.scheduler}, nil, dir+"/kept")
	if err != nil {
		return err
	}
	defer t.terminate()
	if err := t.start(machines); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	get := func(path string) error {
		a, err := client.Get("http://" + t.api + path)
		if err != nil {
			return err
		}
		defer a.Body.Close()
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return err
		}
		if a.StatusCode != 200 {
			return fmt.Errorf("%s: %s", path, a.Status)
		}
		return nil
	}
	if err := t.createJob("many", "matcher", waiting, 1, 1); err != nil {
		return err
	}
	if err := t.waitUntil("all wait", time.Minute, func() bool {
		var all struct{ Items []any }
		return t.get(fmt.Sprintf("/v1/containers?limit=1000&after=many.%d&field=state=waiting", waiting-2), &all) == nil &&
			t.get("/v1/containers/many.0/why", nil) == nil && len(all.Items) > 0
	}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	whys := hdrhistogram.New(1, 60_000_000, 3)
	for i := range 2000 {
		began := time.Now()
		if err := get(fmt.Sprintf("/v1/containers/many.%d/why", i*7%waiting)); err != nil {
			return err
		}
		whys.RecordValue(max(1, time.Since(began).Microseconds()))
	}
	fmt.Fprintf(out, "why, %d containers waiting, %d machines: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", waiting, machines,
		quantileMS(whys, 50), quantileMS(whys, 99), quantileMS(whys, 99.9))
	var done atomic.Int64
	var fault atomic.Value
	var each sync.WaitGroup
	began := time.Now()
	for range 8 {
		each.Go(func() {
			for time.Since(began) < 4*time.Second {
				if err := get("/v1/jobs/many"); err != nil {
					fault.Store(err)
					return
				}
				done.Add(1)
			}
		})
	}
	each.Wait()
	if err, ok := fault.Load().(error); ok {
		return err
	}
	fmt.Fprintf(out, "requests answered: %.0f a second, 8 clients\n", float64(done.Load())/time.Since(began).Seconds())
	return t.fanOut(watchers, out)
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// fanOut changes a job and has every watcher tell when it read of it.
func (t *controllerProcess) fanOut(watchers int, out io.Writer) error {
	const changes = 50
	if err := t.createJob("watched", "matcher", 0, 1, 1); err != nil {
		return err
	}
	var sent [changes]atomic.Int64
	delays := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var ready, each sync.WaitGroup
	var missed atomic.Int64
	ready.Add(watchers)
	for range watchers {
		each.Go(func() {
			a, err := http.Get("http://" + t.api + "/v1/watch?kinds=jobs")
			ready.Done()
			if err != nil {
				missed.Add(changes)
				return
			}
			defer a.Body.Close()
			lines := bufio.NewScanner(a.Body)
			for n := 0; n < changes && lines.Scan(); {
				var c struct {
					Type   string
					Object struct {
						RunForMS int `json:"run_for_ms"`
					}
				}
				json.Unmarshal(lines.Bytes(), &c)
				if c.Type == "changed" {
					mu.Lock()
					delays.RecordValue(max(1, (time.Now().UnixNano()-sent[c.Object.RunForMS-1].Load())/1000))
					mu.Unlock()
					n++
				} else if c.Type == "gone" {
					missed.Add(int64(changes - n))
					return
				}
			}
		})
	}
	ready.Wait()
	for i := range changes {
		sent[i].Store(time.Now().UnixNano())
		if err := t.do("PUT", "/v1/jobs/watched", jobDocument{"service": "watched", "workload": "matcher", "cores": 1, "memory_gib": 1,
			"count": 0, "run_for_ms": i + 1}, nil); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	each.Wait()
	fmt.Fprintf(out, "%d watchers, %d changes: from the request to the line p50 %.1f ms, p99 %.1f ms, worst %.1f ms; %d lines missed\n",
		watchers, changes, quantileMS(delays, 50), quantileMS(delays, 99), quantileMS(delays, 100), missed.Load())
	return nil
}

// MeasureJobs measures the way through a keeper: jobs of one container each, posted at a steady rate, from the
// request to the line of a watch that says running, against machines that answer at once.
func MeasureJobs(template, dir string, program []string, machines, rate int, length time.Duration, out io.Writer) error {
	b, err := startBench(template, dir, program, machines, false)
	if err != nil {
		return err
	}
	defer b.close()
	t, err := newController(dir, program[0], b.list.Addr().String(), []*SchedulerProcess{b.scheduler}, nil, dir+"/kept")
	if err != nil {
		return err
	}
	defer t.terminate()
	if err := t.start(machines); err != nil {
		return err
	}
	total := int(float64(rate) * length.Seconds())
	sent := make([]atomic.Int64, total)
	took := hdrhistogram.New(1, 60_000_000, 3)
	a, err := http.Get("http://" + t.api + "/v1/watch?kinds=containers")
	if err != nil {
		return err
	}
	defer a.Body.Close()
	done := make(chan int, 1)
	go func() {
		n := 0
		for lines := bufio.NewScanner(a.Body); n < total && lines.Scan(); {
			var c struct {
				ID     string
				Object struct{ State string }
			}
			json.Unmarshal(lines.Bytes(), &c)
			var i int
			if _, err := fmt.Sscanf(c.ID, "j%d.0", &i); err == nil && c.Object.State == "running" {
				took.RecordValue(max(1, (time.Now().UnixNano()-sent[i].Load())/1000))
				n++
			}
		}
		done <- n
	}()
	var each sync.WaitGroup
	var next atomic.Int64
	began := time.Now()
	for range 16 {
		each.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= total {
					return
				}
				time.Sleep(time.Until(began.Add(time.Duration(float64(i) / float64(rate) * float64(time.Second)))))
				sent[i].Store(time.Now().UnixNano())
				t.createJob(fmt.Sprint("j", i), "matcher", 1, 0.1, 0.1)
			}
		})
	}
	each.Wait()
	n := 0
	select {
	case n = <-done:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("not all of %d jobs run", total)
	}
	s, err := b.scheduler.Status()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d jobs at %d a second, %d machines: request to running in a watch p50 %.1f ms, p99 %.1f ms (of it the first "+
		"100 ms at most are the keeper's spreading by chance); at the placer submission to bid p50 %.2f ms, p99 %.2f ms\n", n, rate,
		machines, quantileMS(took, 50), quantileMS(took, 99), s["placing p50"], s["placing p99"])
	return nil
}
