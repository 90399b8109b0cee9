package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"glenport/internal/testbed/bench"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/report"
)

const jobClients = 16

// jobLoad creates jobs with one container each at a steady rate and measures when a watch reports each as running.
type jobLoad struct {
	controller *process.Controller
	rate       int
	sentAt     []atomic.Int64 // Unix time of the creation of each job, in nanoseconds
	delays     *delays
}

// MeasureJobs measures the latency through a controller, from the request for a job to the watch event that reports its
// container as running, with machines that answer at once.
func MeasureJobs(spec bench.Spec, rate int, length time.Duration, out io.Writer) error {
	return bench.WithController(spec, func(b *bench.Cluster, controller *process.Controller) error {
		total := int(float64(rate) * length.Seconds())
		load := &jobLoad{
			controller: controller,
			rate:       rate,
			sentAt:     make([]atomic.Int64, total),
			delays:     newDelays(),
		}
		running, err := load.run()
		if err != nil {
			return err
		}
		stats, err := b.Scheduler.Status()
		if err != nil {
			return err
		}
		report.Printf(out, "%d jobs at %d per second, %d machines: request to running in a watch p50 %.1f ms, "+
			"p99 %.1f ms (including up to 100 ms of controller jitter); "+
			"at the scheduler submission to first attempt p50 %.2f ms, p99 %.2f ms\n",
			running, rate, spec.Machines, load.delays.quantile(50), load.delays.quantile(99),
			stats["placing p50"], stats["placing p99"])
		return nil
	})
}

// run creates the jobs and returns the number of running ones. It returns an error if not all of them run in time.
func (l *jobLoad) run() (running int, err error) {
	events, err := l.controller.Watch("containers")
	if err != nil {
		return 0, err
	}
	defer loopback.CloseQuietly(events)
	done := make(chan int, 1)
	go func() { done <- l.readRunning(events) }()
	if err := l.createJobs(); err != nil {
		return 0, err
	}
	select {
	case running = <-done:
		return running, nil
	case <-time.After(10 * time.Second):
		return 0, fmt.Errorf("not all of %d jobs are running 10 s after the last request", len(l.sentAt))
	}
}

// readRunning reads events until all jobs are running or the watch ends. It returns the number of running jobs.
func (l *jobLoad) readRunning(events io.Reader) int {
	running := 0
	for lines := bufio.NewScanner(events); running < len(l.sentAt) && lines.Scan(); {
		var event struct {
			ID     string
			Object struct{ State string }
		}
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue // a job without a running event fails the measurement
		}
		var job int
		if _, err := fmt.Sscanf(event.ID, "j%d.0", &job); err == nil && event.Object.State == process.StateRunning {
			l.delays.record(time.Unix(0, l.sentAt[job].Load()))
			running++
		}
	}
	return running
}

// createJobs creates each job at its scheduled time. It uses concurrent clients, so that a slow response does not delay
// the next job.
func (l *jobLoad) createJobs() error {
	var next atomic.Int64
	var clients sync.WaitGroup
	errs := make([]error, jobClients)
	began := time.Now()
	for client := range jobClients {
		clients.Go(func() {
			for errs[client] == nil {
				job := int(next.Add(1)) - 1
				if job >= len(l.sentAt) {
					return
				}
				time.Sleep(time.Until(began.Add(time.Duration(float64(job) / float64(l.rate) * float64(time.Second)))))
				l.sentAt[job].Store(time.Now().UnixNano())
				errs[client] = l.controller.CreateJob(fmt.Sprint("j", job), process.WorkloadMatcher, 1, 0.1, 0.1)
			}
		})
	}
	clients.Wait()
	return errors.Join(errs...)
}
