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

// jobLoad creates jobs of one container each at a steady rate and measures when a watch says that each runs.
type jobLoad struct {
	controller *process.Controller
	rate       int
	sent       []atomic.Int64 // when, in nanoseconds, by job
	delays     *delays
}

// MeasureJobs measures the way through a controller: from the request to the line of a watch that says running, against
// machines that answer at once.
func MeasureJobs(spec bench.Spec, rate int, length time.Duration, out io.Writer) error {
	return bench.WithController(spec, func(b *bench.Cluster, controller *process.Controller) error {
		total := int(float64(rate) * length.Seconds())
		load := &jobLoad{
			controller: controller,
			rate:       rate,
			sent:       make([]atomic.Int64, total),
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
		report.Printf(out, "%d jobs at %d a second, %d machines: request to running in a watch p50 %.1f ms, "+
			"p99 %.1f ms (of it the first 100 ms at most are the controller's jitter); "+
			"at the scheduler submission to first attempt p50 %.2f ms, p99 %.2f ms\n",
			running, rate, spec.Machines, load.delays.quantile(50), load.delays.quantile(99),
			stats["placing p50"], stats["placing p99"])
		return nil
	})
}

// run creates the jobs and returns how many run, which must be all.
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
		return 0, fmt.Errorf("not all of %d jobs run", len(l.sent))
	}
}

// readRunning reads events until all jobs run, and returns how many do.
func (l *jobLoad) readRunning(events io.Reader) int {
	running := 0
	for lines := bufio.NewScanner(events); running < len(l.sent) && lines.Scan(); {
		var event struct {
			ID     string
			Object struct{ State string }
		}
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue // a job that is never seen to run fails the measurement
		}
		var job int
		if _, err := fmt.Sscanf(event.ID, "j%d.0", &job); err == nil && event.Object.State == process.StateRunning {
			l.delays.record(time.Unix(0, l.sent[job].Load()))
			running++
		}
	}
	return running
}

// createJobs creates the jobs, each at its time, whatever the API's delays.
func (l *jobLoad) createJobs() error {
	var next atomic.Int64
	var creating sync.WaitGroup
	errs := make([]error, jobClients)
	began := time.Now()
	for client := range jobClients {
		creating.Go(func() {
			for errs[client] == nil {
				job := int(next.Add(1)) - 1
				if job >= len(l.sent) {
					return
				}
				time.Sleep(time.Until(began.Add(time.Duration(float64(job) / float64(l.rate) * float64(time.Second)))))
				l.sent[job].Store(time.Now().UnixNano())
				errs[client] = l.controller.CreateJob(fmt.Sprint("j", job), process.WorkloadMatcher, 1, 0.1, 0.1)
			}
		})
	}
	creating.Wait()
	return errors.Join(errs...)
}
