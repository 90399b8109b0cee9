package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	ControllerTimeout = 20 * time.Second // until a controller answers and knows all machines
	jobTimeout        = 30 * time.Second // until a job runs or has ended
	pageLimit         = 1000             // items that the API lists at most at once
	HourMS            = 3600_000
)

// The states of a container in the API.
const (
	anyState     = ""
	StateRunning = "running"
)

// The workload classes of the settings in scenarios/.
const (
	WorkloadMatcher    = "matcher"
	WorkloadAtMostOnce = "corpus-merge"
	WorkloadReport     = "report-run"
	WorkloadLargeOnly  = "on-large"
)

// Controller is a controller's process and a client of its API.
type Controller struct {
	APIAddr string
	program string
	file    string
	log     string
	process *exec.Cmd
}

// JobSpec is a job as the API takes it.
type JobSpec struct {
	ID        string  `json:"id,omitempty"`
	Service   string  `json:"service"`
	Workload  string  `json:"workload"`
	Cores     float64 `json:"cores"`
	MemoryGiB float64 `json:"memory_gib"`
	Count     int     `json:"count"`
	RunForMS  int     `json:"run_for_ms"`
}

// NewController writes a controller's settings file beside that of the first scheduler. It submits to addresses, or to
// the schedulers' own where none are given; with a state folder it persists its jobs.
func NewController(
	dir, program, list string,
	schedulers []*Scheduler,
	addresses []string,
	state string,
) (*Controller, error) {
	api, err := freePort()
	if err != nil {
		return nil, err
	}
	k := &Controller{
		APIAddr: api,
		program: program,
		file:    filepath.Join(dir, "keeper.yaml"),
		log:     filepath.Join(dir, "keeper.log"),
	}
	if addresses == nil {
		for _, p := range schedulers {
			addresses = append(addresses, p.Address)
		}
	}
	text := fmt.Sprintf(
		"name: keeper\napi: %s\nplacer_file: %s\nlist: %s\ndoors: [%s]\n",
		k.APIAddr,
		filepath.Base(schedulers[0].File),
		list,
		strings.Join(addresses, ", "),
	)
	if state != "" {
		text += "state: " + state + "\n"
	}
	return k, os.WriteFile(k.file, []byte(text), 0o644)
}

// Start starts the process and waits until it knows so many machines.
func (k *Controller) Start(machines int) error {
	if err := k.Launch(); err != nil {
		return err
	}
	return WaitUntil("the keeper answers and knows all machines", ControllerTimeout, func() bool {
		var all struct{ Items []any }
		return k.Get(fmt.Sprintf("/v1/machines?limit=%d", pageLimit), &all) == nil &&
			len(all.Items) == min(machines, pageLimit)
	})
}

func (k *Controller) Launch() error {
	k.process = exec.Command(k.program, "controller", "-c", k.file)
	log, err := os.OpenFile(k.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer CloseQuietly(log) // the process has a descriptor of its own
	k.process.Stderr = log
	return k.process.Start()
}

// Signal sends a signal that ends the process and waits for its exit.
func (k *Controller) Signal(s syscall.Signal) {
	if k.process != nil && k.process.Process != nil {
		_ = k.process.Process.Signal(s) // fails only if the process has exited already
		_ = k.process.Wait()            // a process that was killed has no clean exit
	}
}

func (k *Controller) Terminate() { k.Signal(syscall.SIGTERM) }

// WaitUntil waits until a condition holds, for a time at most.
func WaitUntil(what string, atMost time.Duration, holds func() bool) error {
	for end := time.Now().Add(atMost); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", atMost, what)
		}
	}
	return nil
}

func (k *Controller) Get(path string, into any) error {
	return k.Do(http.MethodGet, path, nil, into)
}

// Do sends a request and decodes its response, unless into is nil.
func (k *Controller) Do(method, path string, in, into any) error {
	status, data, err := k.request(method, path, "", in)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: %s", method, path, data)
	}
	if into != nil {
		return json.Unmarshal(data, into)
	}
	return nil
}

// ChangeJob changes a job, by an idempotency key that a retry has too, and returns the job's version.
func (k *Controller) ChangeJob(method, path, key string, in any) (status int, version int64, err error) {
	status, data, err := k.request(method, path, key, in)
	var job struct{ Version int64 }
	if err == nil && status < http.StatusMultipleChoices && len(data) > 0 {
		err = json.Unmarshal(data, &job)
	}
	return status, job.Version, err
}

func (k *Controller) request(method, path, key string, in any) (status int, data []byte, err error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+k.APIAddr+path, body)
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer CloseQuietly(response.Body)
	data, err = io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// Watch opens a watch of a kind of object, one JSON line for each event.
func (k *Controller) Watch(kind string) (io.ReadCloser, error) {
	response, err := http.Get("http://" + k.APIAddr + "/v1/watch?kinds=" + kind)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// CreateJob creates a job whose service has the job's name.
func (k *Controller) CreateJob(id, workload string, count int, cores, memory float64) error {
	return k.Do(http.MethodPost, "/v1/jobs", NewJobSpec(id, workload, count, cores, memory), nil)
}

// ReplaceJob replaces a job by one whose service has the job's name.
func (k *Controller) ReplaceJob(id, workload string, count int, cores, memory float64) error {
	return k.Do(http.MethodPut, "/v1/jobs/"+id, NewJobSpec(id, workload, count, cores, memory), nil)
}

func NewJobSpec(id, workload string, count int, cores, memory float64) JobSpec {
	return JobSpec{
		ID:        id,
		Service:   id,
		Workload:  workload,
		Cores:     cores,
		MemoryGiB: memory,
		Count:     count,
		RunForMS:  HourMS,
	}
}

// DeleteJob deletes a job and waits until its containers have ended.
func (k *Controller) DeleteJob(id string) error {
	if err := k.Do(http.MethodDelete, "/v1/jobs/"+id, nil, nil); err != nil {
		return err
	}
	return WaitUntil(id+" has ended", jobTimeout, func() bool { return k.CountContainers(id, anyState) == 0 })
}

// CountContainers counts a job's containers in a state; it returns -1 if the API does not answer.
func (k *Controller) CountContainers(job, state string) int {
	var all struct{ Items []struct{ State string } }
	if k.Get(fmt.Sprintf("/v1/containers?limit=%d&field=job=%s", pageLimit, job), &all) != nil {
		return -1
	}
	n := 0
	for _, container := range all.Items {
		if state == anyState || container.State == state {
			n++
		}
	}
	return n
}

// CountByState counts the containers of all jobs in a state; it returns -1 if the API does not answer.
func (k *Controller) CountByState(state string) int {
	var all struct{ Items []any }
	if k.Get(fmt.Sprintf("/v1/containers?limit=%d&field=state=%s", pageLimit, state), &all) != nil {
		return -1
	}
	return len(all.Items)
}

// WaitRunning waits until exactly n containers of a job run.
func (k *Controller) WaitRunning(job string, n int) error {
	return WaitUntil(
		fmt.Sprintf("%d of %s run", n, job),
		jobTimeout,
		func() bool { return k.CountContainers(job, StateRunning) == n },
	)
}
